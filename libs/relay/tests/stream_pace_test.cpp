#include <gtest/gtest.h>
#include <relay/pace_baseline.h>
#include <relay/stream_pace.h>

namespace pollen {

namespace {

const time_point start { std::chrono::seconds(1000) };
const pace_baseline::kind kind { "advice", 0 };

constexpr duration ms(int64_t count) { return std::chrono::milliseconds(count); }

} // namespace

TEST(StreamPace, TheMedianLeavesOutTheFirstByteAndPauses)
{
    stream_pace pace;
    EXPECT_FALSE(pace.median());
    time_point now = start + ms(3000);
    pace.addEvents(1, now);
    for (const int interval : { 20, 900, 20, 700, 20 }) {
        EXPECT_FALSE(pace.isMeasured());
        now += ms(interval);
        pace.addEvents(1, now);
    }
    EXPECT_TRUE(pace.isMeasured());
    EXPECT_EQ(pace.median(), ms(20));
    EXPECT_EQ(pace.events(), 5U);
    EXPECT_EQ(pace.elapsed(), ms(1660));
}

TEST(StreamPace, EventsThatArriveTogetherShareTheirInterval)
{
    stream_pace pace;
    pace.addEvents(3, start);
    pace.addEvents(0, start + ms(1));
    pace.addEvents(4, start + ms(80));
    EXPECT_EQ(pace.median(), ms(20));
    pace.addEvents(50, start + ms(81));
    EXPECT_TRUE(pace.isMeasured());
    EXPECT_EQ(pace.events(), 54U);
}

TEST(PaceBaseline, JudgesAgainstTheFastestQuarterOfTheLatestStreams)
{
    pace_baseline baseline;
    EXPECT_FALSE(baseline.grade(kind, ms(20)));
    for (int i = 0; i < 4; ++i) {
        baseline.count(kind, ms(20));
        baseline.count(kind, ms(60));
        baseline.count(kind, ms(90));
    }
    EXPECT_EQ(baseline.grade(kind, ms(25)), latency_grade::Normal);
    EXPECT_EQ(baseline.grade(kind, ms(40)), latency_grade::Slow) << "twice as long as undisturbed streams need";
    EXPECT_EQ(baseline.grade(kind, ms(60)), latency_grade::VerySlow);
    EXPECT_FALSE(baseline.grade({ "advice", 1 }, ms(40))) << "another model";
    for (int i = 0; i < 100; ++i)
        baseline.count(kind, ms(40));
    EXPECT_EQ(baseline.grade(kind, ms(40)), latency_grade::Normal) << "the usual pace has changed";
}

} // namespace pollen
