#include <gtest/gtest.h>
#include <relay/fleet_sync_message.h>
#include <sys/resource.h>

namespace pollen {

// Guards against a message of a few bytes that claims millions of elements: cereal allocated them before it read the
// first one.
TEST(HostileFleetSyncMessageTest, ClaimedElementsAreNotAllocated)
{
    constexpr uint64_t claimed = 16U << 20;
    constexpr long maximumGrowthKilobytes = 64L << 10;
    const auto peakKilobytes = [] {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    // The byte order, hasLostStore and the number of changes.
    std::string bytes = encodeFleetSyncReply({}).substr(0, 2);
    bytes.append(reinterpret_cast<const char*>(&claimed), sizeof claimed);
    const long before = peakKilobytes();
    EXPECT_THROW(decodeFleetSyncReply(bytes), fleet_sync_error);
    EXPECT_LE(peakKilobytes() - before, maximumGrowthKilobytes);
}

} // namespace pollen
