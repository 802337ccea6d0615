#pragma once

#include <relay/pace_baseline.h>
#include <relay/rollout_system.h>
#include <relay/stream_pace.h>

namespace pollen {

// Measures the pace of the streams of one request, as evidence for roll-outs.
class pace_timer {
public:
    pace_timer(pace_baseline& baseline, const rollout_table& table, rollout_system& rollouts)
        : m_baseline(baseline)
        , m_table(table)
        , m_rollouts(rollouts)
    {
    }

    // A new attempt. model: index among the models of the route. excluded: the server has more load than usual, so its
    // pace is no evidence about its version.
    void start(const rollout_subject& subject, size_t model, bool excluded);

    // Complete events that arrived together.
    void addEvents(size_t count, time_point now);

    // The stream of the current attempt has ended.
    void stop();

    const stream_pace& pace() const { return m_pace; }

private:
    void count();

    pace_baseline& m_baseline;
    const rollout_table& m_table;
    rollout_system& m_rollouts;
    rollout_subject m_subject;
    size_t m_model = 0;
    bool m_excluded = false;
    bool m_counted = false;
    stream_pace m_pace;
};

} // namespace pollen
