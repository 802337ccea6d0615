#include <ctl/wait_estimates.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace pollen {

namespace {

constexpr size_t fewestPairs = 3;
constexpr std::array<int64_t, 6> rangeStarts { 0, 50, 100, 200, 500, 1000 };
constexpr double median = 0.5;
constexpr double percentile90 = 0.9;

// Ranks from 1 in the order of the values.
std::vector<double> ranksOf(const std::vector<int64_t>& values)
{
    std::vector<size_t> order(values.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) { return values[left] < values[right]; });
    std::vector<double> ranks(values.size());
    for (size_t first = 0; first < order.size();) {
        size_t end = first + 1;
        while (end < order.size() && values[order[end]] == values[order[first]])
            ++end;
        const double meanRank = static_cast<double>(first + 1 + end) / 2;
        for (; first < end; ++first)
            ranks[order[first]] = meanRank;
    }
    return ranks;
}

// Pearson's correlation of two series of ranks; empty where one of them does not vary.
std::optional<double> correlationOf(const std::vector<double>& left, const std::vector<double>& right)
{
    const double mean = static_cast<double>(left.size() + 1) / 2;
    double covariance = 0;
    double leftVariance = 0;
    double rightVariance = 0;
    for (size_t i = 0; i < left.size(); ++i) {
        covariance += (left[i] - mean) * (right[i] - mean);
        leftVariance += (left[i] - mean) * (left[i] - mean);
        rightVariance += (right[i] - mean) * (right[i] - mean);
    }
    if (leftVariance <= 0 || rightVariance <= 0)
        return std::nullopt;
    return covariance / std::sqrt(leftVariance * rightVariance);
}

int64_t quantile(const std::vector<int64_t>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::max(rank, size_t { 1 }) - 1];
}

} // namespace

std::optional<double> wait_estimates::rankCorrelation() const
{
    if (m_pairs.size() < fewestPairs)
        return std::nullopt;
    std::vector<int64_t> expected;
    std::vector<int64_t> measured;
    for (const estimate_pair& pair : m_pairs) {
        expected.push_back(pair.expectedMilliseconds);
        measured.push_back(pair.measuredMilliseconds);
    }
    return correlationOf(ranksOf(expected), ranksOf(measured));
}

std::vector<wait_range> wait_estimates::ranges() const
{
    std::array<std::vector<int64_t>, rangeStarts.size()> measured;
    for (const estimate_pair& pair : m_pairs) {
        const auto next = std::upper_bound(rangeStarts.begin(), rangeStarts.end(), pair.expectedMilliseconds);
        const auto range = std::max<std::ptrdiff_t>(next - rangeStarts.begin(), 1) - 1;
        measured[static_cast<size_t>(range)].push_back(pair.measuredMilliseconds);
    }
    std::vector<wait_range> ranges;
    for (size_t i = 0; i < rangeStarts.size(); ++i) {
        std::sort(measured[i].begin(), measured[i].end());
        const auto upper = i + 1 < rangeStarts.size() ? std::optional(rangeStarts[i + 1]) : std::nullopt;
        ranges.push_back({ rangeStarts[i], upper, measured[i].size(), quantile(measured[i], median),
            quantile(measured[i], percentile90) });
    }
    return ranges;
}

} // namespace pollen
