#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <map>
#include <optional>
#include <scheduling/extra_request_limit.h>
#include <scheduling/latency_window.h>
#include <utility>

namespace pollen {

// An attempt without a first byte.
struct waiting_attempt {
    service_name service;
    // Empty where the caller names the model.
    model_name model;
    // Since it was sent.
    duration waited { 0 };
    // Expected when it was sent.
    duration expectedWait { 0 };
    // From sending until the request misses the latency objective of its route; none if it has missed it already or
    // the route has no objective.
    std::optional<duration> objective;
    // From now until the request's deadline.
    duration timeLeft { 0 };

    friend bool operator==(const waiting_attempt&, const waiting_attempt&) = default;
};

enum class slow_answer_decision {
    // The attempt is not slow, or too little is known to tell.
    NotSlow,
    // The other server is not expected to answer clearly sooner.
    NoGain,
    // The share that the operators allow is used up.
    DeniedByLimit,
    Repeat,
};

// Decides when a request that waits for its first byte is sent to another server. Learns from this daemon's attempts
// how long a first byte of each service and model usually takes. Under a load peak that slows down all servers, the
// learned times rise with the load, so that fewer requests count as slow, and no other server is expected to answer
// sooner; the operators' limit holds in any case.
class slow_answer_policy {
public:
    // extraRequests: the operators' limit, as a share of the requests to a service; 0 turns the policy off.
    explicit slow_answer_policy(double extraRequests)
        : m_limit(extraRequests)
    {
    }

    bool isEnabled() const { return m_limit.share() > 0; }

    // A caller's request is sent to the service for the first time.
    void onRequest(const service_name& service, time_point now) { m_limit.onRequest(service, now); }

    // The first byte of an attempt has arrived. overdue: as returned by countOverdue() for this attempt.
    void countFirstByte(const service_name& service, const model_name& model, duration latency,
        std::optional<latency_window::sample_id> overdue);
    // The attempt is slow, or cancelled, and has no first byte yet. Counts it as taking twice the time that it has
    // waited until countFirstByte() corrects this. It stays so for an attempt that is cancelled: if more than a tenth
    // of the attempts is cancelled, the delay doubles even though no slow answer is ever seen.
    latency_window::sample_id countOverdue(const service_name& service, const model_name& model, duration waited);

    // Time from sending after which the attempt is slow by the learned time alone; none while too little is known.
    std::optional<duration> usualDelay(const waiting_attempt& attempt) const;
    // As usualDelay(), but early enough for a repeat to be answered within the latency objective where it can be.
    std::optional<duration> repeatDelay(const waiting_attempt& attempt) const;
    // How long another server is expected to take: its own estimate, but not less than is usual for the service, since
    // estimates of single servers can be far too low under load.
    duration expectedWait(const waiting_attempt& attempt, duration otherServersWait) const;
    // otherServersWait: the estimate for the server that a repeat would go to.
    slow_answer_decision decide(const waiting_attempt& attempt, duration otherServersWait, time_point now) const;
    // A repeat is sent.
    void onRepeat(const service_name& service, time_point now) { m_limit.onExtraRequest(service, now); }

private:
    using kind = std::pair<service_name, model_name>;

    // Null while too little is known.
    const latency_window* find(const waiting_attempt& attempt) const;

    extra_request_limit m_limit;
    std::map<kind, latency_window> m_latencies;
};

} // namespace pollen
