#include <ctl/wait_estimates.h>
#include <gtest/gtest.h>

namespace pollen {

namespace {

constexpr double tolerance = 1e-6;

wait_estimates estimatesOf(const std::vector<estimate_pair>& pairs)
{
    wait_estimates estimates;
    for (const estimate_pair& pair : pairs)
        estimates.add(pair);
    return estimates;
}

} // namespace

// Guards against ties that are ranked by their order, and against a figure where none is defined.
TEST(WaitEstimates, RanksOrderAndSharesTiedRanks)
{
    struct correlation_case {
        const char* what;
        std::vector<estimate_pair> pairs;
        std::optional<double> expected;
    };
    const std::vector<correlation_case> cases {
        { "none", {}, std::nullopt },
        { "two pairs", { { 1, 2 }, { 3, 4 } }, std::nullopt },
        { "the same order, not linear", { { 1, 1 }, { 2, 100 }, { 3, 10000 } }, 1.0 },
        { "the reverse order", { { 1, 9 }, { 2, 8 }, { 3, 1 } }, -1.0 },
        { "one pair out of order", { { 1, 1 }, { 2, 3 }, { 3, 2 }, { 4, 4 } }, 0.8 },
        // Ranks 1, 2.5, 2.5, 4 against 1, 2, 3, 4: 4.5 / sqrt(4.5 * 5).
        { "tied expectations", { { 1, 1 }, { 2, 2 }, { 2, 3 }, { 4, 4 } }, 0.948683 },
        { "tied expectations in another order", { { 2, 3 }, { 4, 4 }, { 2, 2 }, { 1, 1 } }, 0.948683 },
        { "all expectations equal", { { 5, 1 }, { 5, 2 }, { 5, 3 } }, std::nullopt },
        { "all measurements equal", { { 1, 5 }, { 2, 5 }, { 3, 5 } }, std::nullopt },
    };
    for (const correlation_case& item : cases) {
        const std::optional<double> correlation = estimatesOf(item.pairs).rankCorrelation();
        ASSERT_EQ(correlation.has_value(), item.expected.has_value()) << item.what;
        EXPECT_NEAR(correlation.value_or(0), item.expected.value_or(0), tolerance) << item.what;
    }
}

// Guards against a value on a bound that is counted in the range below it, and against quantiles of unsorted values.
TEST(WaitEstimates, RangesHoldTheirLowerBound)
{
    wait_estimates estimates = estimatesOf({ { 0, 7 }, { 49, 3 }, { 50, 20 }, { 1000, 5 }, { 99999, 6 } });
    for (int64_t measured = 10; measured >= 1; --measured)
        estimates.add({ 200, measured });
    const std::vector<wait_range> expected {
        { 0, 50, 2, 3, 7 },
        { 50, 100, 1, 20, 20 },
        { 100, 200, 0, 0, 0 },
        { 200, 500, 10, 5, 9 },
        { 500, 1000, 0, 0, 0 },
        { 1000, std::nullopt, 2, 5, 6 },
    };
    EXPECT_EQ(estimates.ranges(), expected);
}

} // namespace pollen
