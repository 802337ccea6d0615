#include <base/backoff.h>
#include <gtest/gtest.h>

namespace pollen {

TEST(Backoff, DoublesUpToTheMaximumWithJitterInTheUpperHalf)
{
    random_source random(7);
    backoff delays(duration(100), duration(350), random);
    for (const int limit : { 100, 200, 350, 350, 350 }) {
        const duration delay = delays.next();
        EXPECT_GE(delay.count(), limit / 2);
        EXPECT_LE(delay.count(), limit);
    }
    delays.reset();
    EXPECT_LE(delays.next().count(), 100);
}

} // namespace pollen
