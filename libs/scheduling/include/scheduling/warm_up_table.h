#pragma once

#include <base/clock.h>
#include <base/random_source.h>
#include <base/typed_id.h>
#include <fleet/server_table.h>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollen {

// What the cold servers of a service bear.
struct warm_up_rule {
    // How long a server is cold after its start.
    duration time { 0 };
    // Requests a second that a cold server takes from all daemons together.
    double requestsPerSecond = 0;
    // Requests that may arrive at once in addition, from all daemons together.
    double burst = 0;

    friend bool operator==(const warm_up_rule&, const warm_up_rule&) = default;
};

// What a daemon has learned of a cold server other than from the server's entry, for daemons that cannot know it.
struct warm_up_notice {
    instance_id server;
    service_name service;
    // Random; recognizes a statement that comes back from another daemon, where its age is inexact by the time on the
    // way.
    uint64_t statement = 0;
    // Whether the receiver passes the statement on to all daemons.
    bool isShared = false;
    // The server refuses connections; its warm-up begins with its next answer.
    bool isUnreachable = false;
    // How much longer the server is cold, at the time of the statement.
    duration left { 0 };
    // Time since the statement.
    duration age { 0 };

    friend bool operator==(const warm_up_notice&, const warm_up_notice&) = default;
};

// The servers that are cold: their entry or an answer says so, or they have refused connections, as they do during a
// restart. Of several statements the newest counts. Statements of entries are not passed on, since all daemons read
// the entries.
class warm_up_table {
public:
    explicit warm_up_table(random_source& random)
        : m_random(random)
    {
    }

    // The services whose servers have a warm-up. Until the first call, all services may have one.
    void setRules(std::map<service_name, warm_up_rule> rules);

    // Applies the remaining time that the server's entry states. An entry that states none leaves what is known, and
    // an unknown server counts as cold, as does a new process of a known one. processStart: as in listed_server.
    void recordEntry(const instance_id& server, const service_name& service, std::optional<duration> left,
        time_point now, int64_t processStart = 0);

    // Applies the remaining time that the server names in an answer. Returns whether the server has become cold or warm
    // by it.
    bool recordAnswer(const instance_id& server, const service_name& service, duration left, time_point now);

    // The server's process may have ended. It counts as cold until the warm-up has passed since its next answer.
    void recordRefusedConnection(const instance_id& server, const service_name& service, time_point now);
    void recordReachable(const instance_id& server, time_point now);

    // The server may have become cold without notice. Applies only to this daemon.
    void presumeCold(const instance_id& server, const service_name& service, time_point now);

    // Applies a notice of another daemon unless a newer statement is known. receivedAt: as in server_rate_limits.
    void merge(const warm_up_notice& notice, time_point receivedAt);

    // What the server bears while it is cold; none if it is not.
    std::optional<warm_up_rule> find(const instance_id& server) const;

    bool empty() const { return m_servers.empty(); }
    size_t size() const { return m_servers.size(); }

    // What other daemons cannot know.
    std::vector<warm_up_notice> notices(time_point now) const;
    // Everything that is known of these servers, for a daemon that is to decide on them now.
    std::vector<warm_up_notice> noticesOf(const std::vector<instance_id>& servers, time_point now) const;

    // Removes the servers that are warm by now. Called on every tick.
    void removeWarm(time_point now);
    // Removes the servers that refuse connections and are no longer listed, and forgets the processes of unlisted ones.
    void removeUnlisted(const server_table& servers);

private:
    struct cold_server {
        service_name service;
        time_point statedAt;
        time_point until;
        // As in warm_up_notice.
        uint64_t statement = 0;
        bool isShared = false;
        bool isUnreachable = false;
    };

    void store(const instance_id& server, const cold_server& cold);
    static warm_up_notice toNotice(const instance_id& server, const cold_server& cold, time_point now);
    // Null if the service has no warm-up.
    const warm_up_rule* ruleOf(const service_name& service) const;
    bool mayHaveWarmUp(const service_name& service) const { return !m_rules || ruleOf(service); }

    random_source& m_random;
    std::optional<std::map<service_name, warm_up_rule>> m_rules;
    std::unordered_map<instance_id, cold_server> m_servers;
    // The time of the last statement by which a server is warm now, so that older ones of other daemons do not return.
    std::unordered_map<instance_id, time_point> m_warmSince;
    // Start of the process of each server whose entry has been read.
    std::unordered_map<instance_id, int64_t> m_processes;
};

} // namespace pollen
