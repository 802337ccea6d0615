#pragma once

#include <optional>
#include <relay/latency_baseline.h>
#include <relay/rollout_system.h>

namespace pollen {

// Times the attempts of one request up to their first bytes, for the verdict on a version that is being rolled out.
class first_byte_timer {
public:
    first_byte_timer(latency_baseline& baseline, const rollout_table& table, rollout_system& rollouts)
        : m_baseline(baseline)
        , m_table(table)
        , m_rollouts(rollouts)
    {
    }

    // An attempt that has been sent. model: index among those of the route. unreadTokens: prompt tokens that the server
    // is expected to read.
    struct attempt {
        rollout_subject subject;
        size_t model = 0;
        uint32_t unreadTokens = 0;
        // The server has more to do than baseline, so that its first byte says nothing of its version.
        bool excluded = false;
    };
    void start(const attempt& attempt, time_point now);

    // The first byte has come.
    void stop(time_point now);

    // A first byte that has not come in the time in which it would be very slow counts as such before it comes, so that
    // a verdict need not wait for it. Quick ones count at that age too: otherwise they would outnumber the slow ones
    // for as long as these take.
    void tick(time_point now);

private:
    latency_baseline::kind kind() const { return { m_attempt.subject.service.text(), m_attempt.model }; }
    bool isOnTrial() const;

    latency_baseline& m_baseline;
    const rollout_table& m_table;
    rollout_system& m_rollouts;
    attempt m_attempt;
    time_point m_sentAt {};
    bool m_running = false;
    // When it counts as very slow; none while that is not known.
    std::optional<time_point> m_overdueAt;
    bool m_counted = false;
};

} // namespace pollen
