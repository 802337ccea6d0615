#pragma once

#include <base/clock.h>
#include <base/random_source.h>
#include <base/typed_id.h>
#include <fleet/server_table.h>
#include <optional>
#include <scheduling/warm_up_table.h>
#include <unordered_map>
#include <vector>

namespace pollen {

// The last statement of a server about the rate of requests that it accepts from all daemons together.
struct rate_limit_notice {
    instance_id server;
    // Random; recognizes a statement that comes back from another daemon, where its age is inexact by the time on the
    // way.
    uint64_t statement = 0;
    // Requests a second; none if the server no longer names a limit.
    std::optional<double> limit;
    // Time since the answer with the statement arrived.
    duration age { 0 };

    friend bool operator==(const rate_limit_notice&, const rate_limit_notice&) = default;
};

// What a server takes from all daemons together.
struct send_limit {
    double requestsPerSecond = 0;
    // Permits that all daemons together may hold unused.
    double burst = 0;
    // Holds for as long as daemons do not hear of each other, at the expense of the parts of those that have ended.
    bool isStrict = false;

    friend bool operator==(const send_limit&, const send_limit&) = default;
};

// The rate limits that servers have named, from answers to this daemon and from notices of other daemons, and those of
// servers that are cold. Where both apply, the lower one counts.
class server_rate_limits {
public:
    explicit server_rate_limits(random_source& random)
        : m_random(random)
        , m_warmUps(random)
    {
    }

    warm_up_table& warmUps() { return m_warmUps; }
    const warm_up_table& warmUps() const { return m_warmUps; }

    // Records the limit named in an answer that arrived now, or that the answer names none. sentAt: when the request
    // was sent. An answer without a limit ends a known limit only if its request was sent after that limit was last
    // named, because answers overtake each other. Returns whether the limit has changed.
    bool recordAnswer(const instance_id& server, std::optional<double> limit, time_point sentAt, time_point now);

    // Applies a notice of another daemon unless this or a newer statement is known. receivedAt: may be too early, not
    // too late by more than the time on the way. Returns whether the limit has changed.
    bool merge(const rate_limit_notice& notice, time_point receivedAt);

    // Requests a second that the server has named; none if it has named no limit.
    std::optional<double> find(const instance_id& server) const;

    // None if the server is warm and has named no limit.
    std::optional<send_limit> limitOf(const instance_id& server) const;

    bool empty() const { return m_statements.empty() && m_warmUps.empty(); }

    // The last statements, for other daemons; includes limits that ended recently.
    std::vector<rate_limit_notice> notices(time_point now) const;

    // Forgets the limits of servers that are no longer listed, and those that ended long enough ago for other daemons
    // to know.
    void removeExpired(const server_table& servers, time_point now);

private:
    struct statement {
        uint64_t id = 0;
        std::optional<double> limit;
        time_point statedAt;
    };

    random_source& m_random;
    warm_up_table m_warmUps;
    std::unordered_map<instance_id, statement> m_statements;
};

} // namespace pollen
