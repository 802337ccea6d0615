#include <scheduling/slow_answer_policy.h>

#include <algorithm>

namespace pollen {

namespace {

// Plain services take 15 to 60 ms for a request, so differences below this are noise.
constexpr duration minimumDelay = std::chrono::milliseconds(60);
// Share of first bytes that are not slow. With 0.95, a slow server that gets one request in 20 already sets the
// percentile itself and no longer counts as slow.
constexpr double usualShare = 0.9;
constexpr double medianShare = 0.5;
// With fewer samples, a tenth of them is a single one.
constexpr size_t minimumSamples = 20;
// An attempt whose server is expected to take long, for its load or the prompt, is not slow before this multiple.
constexpr double expectedWaitFactor = 1.5;
// The time already waited must be at least this multiple of the other server's expected wait, and so must the time left
// until the deadline: estimates are inexact, and cancelling gives up the work done so far.
constexpr int gainFactor = 2;
// Latency assumed for an attempt that is overdue, as a multiple of the time waited.
constexpr int overdueFactor = 2;

} // namespace

const latency_window* slow_answer_policy::find(const waiting_attempt& attempt) const
{
    const auto known = m_latencies.find({ attempt.service, attempt.model });
    return known != m_latencies.end() && known->second.size() >= minimumSamples ? &known->second : nullptr;
}

void slow_answer_policy::countFirstByte(const service_name& service, const model_name& model, duration latency,
    std::optional<latency_window::sample_id> overdue)
{
    latency_window& latencies = m_latencies[{ service, model }];
    if (overdue)
        latencies.replace(*overdue, latency);
    else
        latencies.add(latency);
}

latency_window::sample_id slow_answer_policy::countOverdue(
    const service_name& service, const model_name& model, duration waited)
{
    latency_window& latencies = m_latencies[{ service, model }];
    // An attempt cancelled early for the sake of its latency objective must not lower the learned time.
    return latencies.add(std::max(waited * overdueFactor, latencies.percentile(usualShare)));
}

std::optional<duration> slow_answer_policy::usualDelay(const waiting_attempt& attempt) const
{
    const latency_window* latencies = find(attempt);
    if (!latencies)
        return std::nullopt;
    const auto expected = std::chrono::duration_cast<duration>(attempt.expectedWait * expectedWaitFactor);
    return std::max({ minimumDelay, latencies->percentile(usualShare), expected });
}

std::optional<duration> slow_answer_policy::repeatDelay(const waiting_attempt& attempt) const
{
    const std::optional<duration> usual = usualDelay(attempt);
    if (!usual || !attempt.objective)
        return usual;
    const duration latest = *attempt.objective - find(attempt)->percentile(medianShare);
    return std::min(*usual, std::max(latest, minimumDelay));
}

duration slow_answer_policy::expectedWait(const waiting_attempt& attempt, duration otherServersWait) const
{
    const latency_window* latencies = find(attempt);
    return latencies ? std::max(otherServersWait, latencies->percentile(medianShare)) : otherServersWait;
}

slow_answer_decision slow_answer_policy::decide(
    const waiting_attempt& attempt, duration otherServersWait, time_point now) const
{
    const std::optional<duration> delay = repeatDelay(attempt);
    if (!delay || attempt.waited < *delay)
        return slow_answer_decision::NotSlow;
    const duration expected = expectedWait(attempt, otherServersWait);
    if (expected * gainFactor > attempt.waited || expected * gainFactor > attempt.timeLeft)
        return slow_answer_decision::NoGain;
    // Before the usual delay, only a repeat that is in time for the objective has a purpose.
    if (attempt.waited < *usualDelay(attempt) && attempt.waited + expected > attempt.objective)
        return slow_answer_decision::NoGain;
    return m_limit.allows(attempt.service, now) ? slow_answer_decision::Repeat : slow_answer_decision::DeniedByLimit;
}

} // namespace pollen
