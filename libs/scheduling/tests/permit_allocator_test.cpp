#include "limit_rule.h"

#include <gtest/gtest.h>
#include <scheduling/permit_allocator.h>

namespace pollen {

namespace {

const instance_id limitedServer("s");
const time_point start { std::chrono::seconds(1000) };
constexpr duration step = std::chrono::milliseconds(10);

// The allocators of several failure domains for one server.
class domain_allocators {
public:
    domain_allocators(double limit, size_t domains)
    {
        m_limits.recordAnswer(limitedServer, limit, start - step, start);
        std::vector<failure_domain_name> names;
        for (size_t i = 0; i < domains; ++i)
            names.emplace_back("domain-" + std::to_string(i));
        for (const failure_domain_name& name : names) {
            m_allocators.emplace_back(name, m_limits);
            m_allocators.back().setDomains(names);
        }
    }

    // Every domain takes all permits that it has.
    void takeAll(time_point now)
    {
        for (permit_allocator& allocator : m_allocators) {
            while (allocator.take({ limitedServer }, now).server)
                granted.push_back(now);
        }
    }

    std::vector<time_point> granted;

private:
    random_source m_random { 1 };
    server_rate_limits m_limits { m_random };
    std::vector<permit_allocator> m_allocators;
};

struct fleet_case {
    double limit;
    size_t domains;
};

const std::vector<fleet_case> fleets { { 0, 4 }, { 0.3, 6 }, { 1, 1 }, { 1.1, 4 }, { 1.1, 6 }, { 2.5, 12 }, { 20, 4 },
    { 300, 6 } };

} // namespace

// Guards against LIMIT: domains that saved up permits while nobody asked use them all at the same moment.
TEST(PermitAllocatorTest, ABurstAfterAnIdleTimeStaysWithinTheRule)
{
    for (const fleet_case& fleet : fleets) {
        domain_allocators allocators(fleet.limit, fleet.domains);
        allocators.takeAll(start);
        const time_point idleEnd = start + std::chrono::minutes(5);
        for (time_point now = idleEnd; now < idleEnd + 3 * limitRuleWindow; now += step)
            allocators.takeAll(now);
        EXPECT_LE(mostInWindow(allocators.granted), allowedInWindow(fleet.limit))
            << fleet.limit << " " << fleet.domains;
    }
}

// Guards against a limit that is kept by leaving most of it unused.
TEST(PermitAllocatorTest, AllOfTheLimitIsGrantedWhileItIsAskedFor)
{
    constexpr int seconds = 100;
    for (const fleet_case& fleet : fleets) {
        domain_allocators allocators(fleet.limit, fleet.domains);
        for (time_point now = start; now < start + std::chrono::seconds(seconds); now += step)
            allocators.takeAll(now);
        const auto granted = static_cast<double>(allocators.granted.size());
        EXPECT_GE(granted, fleet.limit * seconds - static_cast<double>(fleet.domains)) << fleet.limit;
    }
}

TEST(PermitAllocatorTest, PrefersTheFirstServerAndTellsWhenOneIsDue)
{
    random_source random { 1 };
    server_rate_limits limits { random };
    limits.recordAnswer(instance_id("one"), 1, start - step, start);
    limits.recordAnswer(instance_id("two"), 2, start - step, start);
    permit_allocator allocator(failure_domain_name("a"), limits);
    const std::vector<instance_id> servers { instance_id("one"), instance_id("two") };
    EXPECT_EQ(allocator.take(servers, start), (permit_decision { std::nullopt, std::chrono::milliseconds(500) }));
    const time_point later = start + std::chrono::seconds(1);
    EXPECT_EQ(allocator.take(servers, later).server, servers[0]);
    EXPECT_EQ(allocator.take(servers, later).server, servers[1]);
    EXPECT_EQ(allocator.take({ instance_id("unlimited") }, later).server, instance_id("unlimited"));
}

} // namespace pollen
