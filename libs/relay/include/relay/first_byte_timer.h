#pragma once

#include <optional>
#include <relay/latency_baseline.h>
#include <relay/rollout_system.h>

namespace pollen {

// Measures the time to the first byte for the attempts of one request, as evidence for roll-outs.
class first_byte_timer {
public:
    first_byte_timer(latency_baseline& baseline, const rollout_table& table, rollout_system& rollouts)
        : m_baseline(baseline)
        , m_table(table)
        , m_rollouts(rollouts)
    {
    }

    // An attempt that has been sent. model: index among the models of the route. unreadTokens: prompt tokens that the
    // server is expected to process.
    struct attempt {
        rollout_subject subject;
        size_t model = 0;
        uint32_t unreadTokens = 0;
        // The server has more load than usual, so its latency is no evidence about its version.
        bool excluded = false;
    };
    void start(const attempt& attempt, time_point now);

    // The first byte has arrived.
    void stop(time_point now);

    // Counts a first byte as very slow once it is overdue, so that a verdict need not wait for it. Fast first bytes are
    // counted at the same age: otherwise they would outnumber the slow ones until these arrive.
    void tick(time_point now);

private:
    latency_baseline::kind kind() const { return { m_attempt.subject.service.text(), m_attempt.model }; }

    latency_baseline& m_baseline;
    const rollout_table& m_table;
    rollout_system& m_rollouts;
    attempt m_attempt;
    time_point m_sentAt {};
    bool m_running = false;
    // When the first byte counts as very slow; none while the threshold is unknown.
    std::optional<time_point> m_overdueAt;
    bool m_counted = false;
};

} // namespace pollen
