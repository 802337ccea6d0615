#include <scheduling/latency_window.h>

#include <algorithm>

namespace pollen {

namespace {

// 20 samples lie above the 90th percentile, so single ones do not move it.
constexpr size_t maximumSamples = 200;

} // namespace

latency_window::sample_id latency_window::add(duration latency)
{
    m_isSorted = false;
    if (m_latencies.size() < maximumSamples)
        m_latencies.push_back(latency);
    else
        m_latencies[m_added % maximumSamples] = latency;
    return m_added++;
}

void latency_window::replace(sample_id sample, duration latency)
{
    if (sample >= m_added || m_added - sample > maximumSamples)
        return;
    m_isSorted = false;
    m_latencies[sample % maximumSamples] = latency;
}

duration latency_window::percentile(double below) const
{
    if (m_latencies.empty())
        return duration(0);
    if (!m_isSorted) {
        m_sorted = m_latencies;
        std::sort(m_sorted.begin(), m_sorted.end());
        m_isSorted = true;
    }
    const auto index = static_cast<size_t>(below * static_cast<double>(m_sorted.size()));
    return m_sorted[std::min(index, m_sorted.size() - 1)];
}

} // namespace pollen
