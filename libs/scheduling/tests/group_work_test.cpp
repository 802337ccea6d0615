#include <gtest/gtest.h>
#include <random>
#include <scheduling/group_work.h>
#include <scheduling/work_view.h>

namespace pollen {

namespace {

const instance_id first("a1");
const instance_id second("a2");
const time_point start { std::chrono::seconds(1000) };

std::vector<server_work> sorted(std::vector<server_work> work)
{
    std::sort(work.begin(), work.end(),
        [](const server_work& left, const server_work& right) { return left.server < right.server; });
    return work;
}

} // namespace

TEST(GroupWorkTest, SendsOnlyWhatHasChanged)
{
    group_work group(7);
    group.report(first, { { instance_id("i-1"), 1, 100 }, { instance_id("i-2"), 1, 0 } }, start);
    group.report(second, { { instance_id("i-1"), 2, 50 } }, start);
    const work_change all = group.changeSince({});
    EXPECT_TRUE(all.isComplete);
    EXPECT_EQ(
        sorted(all.work), (std::vector<server_work> { { instance_id("i-1"), 3, 150 }, { instance_id("i-2"), 1, 0 } }));
    EXPECT_TRUE(group.changeSince(all.state).work.empty());
    group.report(first, { { instance_id("i-1"), 1, 100 } }, start);
    const work_change change = group.changeSince(all.state);
    EXPECT_FALSE(change.isComplete);
    EXPECT_EQ(change.work, (std::vector<server_work> { { instance_id("i-2"), 0, 0 } }));
    EXPECT_TRUE(group.changeSince({ 8, all.state.change }).isComplete) << "a state of another process";
    group.removeSilent(start + std::chrono::seconds(2));
    EXPECT_EQ(group.members(), 0U);
    EXPECT_TRUE(group.changeSince({}).work.empty());
}

// Guards against sums that drift from the reports: members that report at random, fall silent and miss changes.
TEST(GroupWorkTest, AMemberKnowsTheSumOfTheOthers)
{
    std::mt19937 random(11);
    const auto below = [&](uint32_t bound) { return static_cast<uint32_t>(random() % bound); };
    group_work group(7);
    work_view view;
    std::map<instance_id, std::vector<server_work>> reported;
    time_point now = start;
    for (int round = 0; round < 3000; ++round) {
        now += std::chrono::milliseconds(10);
        const instance_id daemon("a" + std::to_string(below(6)));
        std::vector<server_work> work;
        for (uint32_t i = 0; i < 4000; i += 1 + below(1500))
            work.push_back({ instance_id("i-" + std::to_string(i)), 1 + below(3), 1000 * uint64_t { below(3) } });
        group.report(daemon, work, now);
        reported[daemon] = work;
        if (below(4) != 0)
            continue;
        const std::vector<server_work>& own = reported[first];
        group.report(first, own, now);
        view.apply(group.changeSince(view.state()));
        std::map<instance_id, server_work> expected;
        for (const auto& [member, items] : reported) {
            for (const server_work& item : items) {
                server_work& sum = expected[item.server];
                sum = { item.server, sum.requests + item.requests * (member == first ? 0 : 1),
                    sum.unreadTokens + item.unreadTokens * (member == first ? 0 : 1) };
            }
        }
        std::erase_if(expected, [](const auto& item) { return item.second.requests == 0; });
        std::vector<server_work> list;
        list.reserve(expected.size());
        for (const auto& [server, sum] : expected)
            list.push_back(sum);
        ASSERT_EQ(sorted(view.excluding(own)), list) << round;
    }
}

} // namespace pollen
