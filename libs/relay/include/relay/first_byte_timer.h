#pragma once

#include <relay/rollout_system.h>
#include <relay/usual_latency.h>

namespace pollen {

// Times the attempts of one request up to their first bytes, for the verdict on a version that is being rolled out.
class first_byte_timer {
public:
    first_byte_timer(usual_latency& usual, const rollout_table& table, rollout_system& rollouts)
        : m_usual(usual)
        , m_table(table)
        , m_rollouts(rollouts)
    {
    }

    // An attempt has been sent. model: index among those of the route.
    struct attempt {
        service_name service;
        version_name version;
        size_t model = 0;
        uint32_t promptTokens = 0;
    };
    void start(const attempt& attempt, time_point now);

    // The first byte has come.
    void stop(time_point now);

    // A first byte that has not come in the time in which it would be slow will be slow: it counts before it comes, so
    // that a verdict need not wait for it.
    void tick(time_point now);

private:
    // Time since the attempt was sent, against what its size makes usual.
    double relativeLatency(time_point now) const;
    bool isSlow(time_point now) const;
    bool isOnTrial() const;

    usual_latency& m_usual;
    const rollout_table& m_table;
    rollout_system& m_rollouts;
    attempt m_attempt;
    time_point m_sent {};
    bool m_running = false;
    bool m_counted = false;
};

} // namespace pollen
