#include "fake_fleet_store.h"
#include "fake_network.h"
#include "limit_rule.h"

#include <gtest/gtest.h>
#include <relay/permit_system.h>

namespace pollen {

namespace {

const instance_id limitedServer("s");
constexpr double limit = 1.1;
const instance_id coldServer("cold");
const service_name service("engines");
// As in warm_up_table_test.cpp.
constexpr double coldRate = 5.6;
constexpr double allowedOfColdServer = coldRate * 1.5 + 5;
const warm_up_rule coldRule { std::chrono::seconds(3), coldRate, 3.9 };
const std::vector<std::string> twelveDaemons { "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "c1", "c2", "c3", "c4" };
constexpr duration tickInterval = std::chrono::milliseconds(50);

struct permit_daemon {
    permit_daemon(fake_network& network, const clock& time, const listed_peer& self)
        : listed(self)
        , exchange(network, self.address)
        , limits(random)
        , permits({ self.id, self.failureDomain }, store, limits, exchange, time, log)
    {
        limits.recordAnswer(limitedServer, limit, time.now() - tickInterval, time.now());
        limits.warmUps().setRules({ { service, coldRule } });
    }

    null_logger log;
    listed_peer listed;
    fake_fleet_store store;
    fake_exchange exchange;
    random_source random { 1 };
    server_rate_limits limits;
    permit_system permits;
    bool frozen = false;
};

class PermitSystemTest : public testing::Test {
protected:
    PermitSystemTest() { m_time.advance(std::chrono::seconds(1000)); }

    // The first letter of an id is the failure domain.
    void start(const std::string& id)
    {
        const auto port = static_cast<uint16_t>(std::hash<std::string>()(id) % 60000 + 1);
        const listed_peer self { instance_id(id), failure_domain_name(id.substr(0, 1)), { "127.0.0.1", port } };
        m_daemons[id] = std::make_unique<permit_daemon>(m_network, m_time, self);
        m_network.down.erase(self.address);
        m_listed[id] = self;
        announce();
    }
    void startAll(const std::vector<std::string>& ids)
    {
        for (const std::string& id : ids)
            start(id);
    }
    // The daemon ends; its announcement stays, as in the store.
    void stop(const std::string& id)
    {
        m_daemons.erase(id);
        m_network.down.insert(m_listed[id].address);
    }
    void cut(const std::string& id, bool isCut)
    {
        for (const auto& [other, peer] : m_listed) {
            if (other == id)
                continue;
            const std::pair link { m_listed[id].address, peer.address };
            if (isCut)
                m_network.cuts.insert(link);
            else
                m_network.cuts.erase(link);
        }
    }
    void freeze(const std::string& id, bool isFrozen)
    {
        m_daemons[id]->frozen = isFrozen;
        if (isFrozen)
            m_network.silent.insert(m_listed[id].address);
        else
            m_network.silent.erase(m_listed[id].address);
    }

    void isolateAll()
    {
        for (const auto& [id, daemon] : m_daemons)
            cut(id, true);
    }
    // The server becomes cold, and all daemons ask for it in each tick.
    void runCold(duration time)
    {
        m_granted.clear();
        for (const auto& [id, daemon] : m_daemons)
            daemon->limits.warmUps().recordEntry(coldServer, service, coldRule.time, m_time.now());
        run(time, coldServer);
        for (const auto& [id, daemon] : m_daemons)
            daemon->limits.warmUps().removeWarm(m_time.now());
    }
    // No server has a limit any more.
    void endLimits()
    {
        for (const auto& [id, daemon] : m_daemons) {
            daemon->limits.recordAnswer(limitedServer, std::nullopt, m_time.now(), m_time.now());
            daemon->limits.removeExpired(server_table(), m_time.now() + std::chrono::minutes(1));
        }
    }
    double mostInSecond() const
    {
        size_t most = 0;
        for (size_t first = 0, last = 0; last < m_granted.size(); ++last) {
            while (m_granted[last] - m_granted[first] >= std::chrono::seconds(1))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<double>(most);
    }

    // Every daemon asks for the server once in each tick.
    void run(duration time, const instance_id& server = limitedServer)
    {
        for (duration passed { 0 }; passed < time; passed += tickInterval) {
            m_time.advance(tickInterval);
            for (const auto& [id, daemon] : m_daemons) {
                if (daemon->frozen)
                    continue;
                daemon->permits.tick(m_time.now());
                daemon->permits.request({ server }, [this](const permit_decision& decision) {
                    if (decision.server)
                        m_granted.push_back(m_time.now());
                });
            }
        }
    }

    void idle(duration time)
    {
        for (duration passed { 0 }; passed < time; passed += tickInterval) {
            m_time.advance(tickInterval);
            for (const auto& [id, daemon] : m_daemons)
                daemon->permits.tick(m_time.now());
        }
    }

    double grantedSince(size_t before) const { return static_cast<double>(m_granted.size() - before); }

    manual_clock m_time;
    fake_network m_network;
    std::map<std::string, std::unique_ptr<permit_daemon>> m_daemons;
    std::vector<time_point> m_granted;

private:
    void announce()
    {
        for (const auto& [id, daemon] : m_daemons) {
            daemon->store.listed.clear();
            for (const auto& [other, peer] : m_listed)
                daemon->store.listed.push_back(peer);
        }
    }

    std::map<std::string, listed_peer> m_listed;
};

const std::vector<std::string> nineDaemons { "a1", "a2", "a3", "b1", "b2", "c1", "c2", "d1", "d2" };

} // namespace

// Guards against LIMIT: nine daemons that each keep a limit for themselves send nine times as much.
TEST_F(PermitSystemTest, AllDaemonsTogetherKeepToALimitAndUseIt)
{
    startAll(nineDaemons);
    constexpr double seconds = 100;
    run(std::chrono::seconds(100));
    EXPECT_LE(mostInWindow(m_granted), allowedInWindow(limit));
    EXPECT_GE(static_cast<double>(m_granted.size()), 0.9 * limit * seconds);
}

// Guards against LIMIT: daemons that are restarted, replaced, added, cut off or frozen must not bring permits of their
// own, and the others go on using the limit.
TEST_F(PermitSystemTest, DaemonsThatComeAndGoDoNotAddToALimit)
{
    startAll(nineDaemons);
    run(std::chrono::seconds(10));
    const auto measured = [&](const char* what, const std::function<void()>& change) {
        const size_t before = m_granted.size();
        change();
        constexpr double seconds = 20;
        run(std::chrono::seconds(20));
        EXPECT_LE(mostInWindow(m_granted), allowedInWindow(limit)) << what;
        // A failure domain of the four may be without an allocator for a while.
        EXPECT_GE(grantedSince(before), 0.6 * limit * seconds) << what;
    };
    measured("the allocator of a domain ends", [&] { stop("a1"); });
    measured("it returns", [&] { start("a1"); });
    measured("a daemon before it joins", [&] { start("a0"); });
    measured("all first daemons restart, one after the other", [&] {
        for (const char* id : { "a0", "b1", "c1", "d1" }) {
            stop(id);
            run(std::chrono::seconds(1));
            start(id);
            run(std::chrono::seconds(1));
        }
    });
    measured("all daemons restart at once", [&] {
        for (const std::string& id : nineDaemons)
            stop(id);
        run(std::chrono::seconds(1));
        startAll(nineDaemons);
    });
    measured("an allocator is cut off", [&] { cut("b1", true); });
    measured("the cut heals", [&] { cut("b1", false); });
    measured("an allocator freezes", [&] { freeze("c1", true); });
    measured("it wakes", [&] { freeze("c1", false); });
    measured("many join", [&] { startAll({ "a9", "b0", "b9", "c0", "c9", "d0", "d9" }); });
}

// Guards against a failure domain without callers leaving its share unused.
TEST_F(PermitSystemTest, PermitsThatOneFailureDomainDoesNotNeedGoToAnother)
{
    startAll(nineDaemons);
    run(tickInterval);
    m_granted.clear();
    constexpr double seconds = 100;
    for (duration passed { 0 }; passed < std::chrono::seconds(100); passed += tickInterval) {
        m_time.advance(tickInterval);
        for (const auto& [id, daemon] : m_daemons)
            daemon->permits.tick(m_time.now());
        m_daemons["a2"]->permits.request({ limitedServer }, [this](const permit_decision& decision) {
            if (decision.server)
                m_granted.push_back(m_time.now());
        });
    }
    EXPECT_LE(mostInWindow(m_granted), allowedInWindow(limit));
    EXPECT_GE(static_cast<double>(m_granted.size()), 0.9 * limit * seconds);
}

// Guards against acting on a permission that has run out: a daemon that was paused gets its permit seconds late.
TEST_F(PermitSystemTest, APermitThatArrivesLateIsNotUsed)
{
    startAll({ "a1", "a2" });
    run(tickInterval);
    idle(std::chrono::seconds(10));
    const auto source = m_network.sources.at(m_daemons["a1"]->listed.address);
    duration pause { 0 };
    m_network.sources[m_daemons["a1"]->listed.address] = [&](const std::string& request) {
        std::string reply = source(request);
        m_time.advance(pause);
        return reply;
    };
    const auto isGranted = [&] {
        std::optional<permit_decision> decision;
        m_daemons["a2"]->permits.request({ limitedServer }, [&](const permit_decision& given) { decision = given; });
        m_daemons["a2"]->permits.tick(m_time.now());
        EXPECT_TRUE(decision);
        return decision && decision->server;
    };
    EXPECT_TRUE(isGranted());
    pause = std::chrono::seconds(3);
    EXPECT_FALSE(isGranted());
}

// Guards against a daemon that was paused itself and takes the silence for that of the others: it would allocate in
// their place.
TEST_F(PermitSystemTest, ADaemonThatWasPausedDoesNotBlameTheAllocator)
{
    startAll({ "a1", "a2" });
    run(tickInterval);
    idle(std::chrono::seconds(10));
    const endpoint allocator = m_daemons["a1"]->listed.address;
    m_network.silent.insert(allocator);
    m_daemons["a2"]->permits.request({ limitedServer }, [](const permit_decision&) {});
    m_network.silent.erase(allocator);
    m_time.advance(std::chrono::seconds(5));
    m_daemons["a1"]->permits.tick(m_time.now());
    m_daemons["a2"]->permits.tick(m_time.now());
    int asked = 0;
    const auto source = m_network.sources.at(allocator);
    m_network.sources[allocator] = [&](const std::string& request) {
        asked += decodePermitRequest(request).servers.empty() ? 0 : 1;
        return source(request);
    };
    m_daemons["a2"]->permits.request({ limitedServer }, [](const permit_decision&) {});
    EXPECT_EQ(asked, 1);
}

// Guards against FAILBACK: daemons that have not heard of each other for long each take the share of their whole
// domain.
TEST_F(PermitSystemTest, DaemonsThatDoNotHearOfEachOtherSpareAColdServer)
{
    startAll(twelveDaemons);
    run(std::chrono::seconds(2));
    isolateAll();
    idle(std::chrono::seconds(15));
    runCold(coldRule.time);
    EXPECT_LE(mostInSecond(), allowedOfColdServer);
}

// Guards against permits of an earlier warm-up that each of many allocators has saved up since.
TEST_F(PermitSystemTest, PermitsOfAnEarlierWarmUpAreGivenUp)
{
    startAll(twelveDaemons);
    startAll({ "a5", "a6", "b5", "b6", "c5", "c6" });
    idle(std::chrono::seconds(2));
    endLimits();
    isolateAll();
    runCold(coldRule.time);
    idle(std::chrono::seconds(60));
    runCold(coldRule.time);
    EXPECT_LE(mostInSecond(), allowedOfColdServer);
}

// Guards against a share that is small at first because the members have not declared themselves: no permits were
// needed before the first server became cold.
TEST_F(PermitSystemTest, TheShareOfADomainIsWholeAsSoonAsItsMembersHaveDeclaredThemselves)
{
    startAll(twelveDaemons);
    idle(std::chrono::seconds(2));
    endLimits();
    idle(std::chrono::seconds(10));
    runCold(std::chrono::milliseconds(700));
    EXPECT_GE(m_granted.size(), 3U) << "one for each failure domain";
}

TEST(PermitMessage, RoundTripsAndRejectsMalformedBytes)
{
    const permit_request request { instance_id("d"), true, { instance_id("s"), instance_id("t") },
        { { instance_id("s"), 5, 1.1, std::chrono::milliseconds(40) } } };
    EXPECT_EQ(decodePermitRequest(encodePermitRequest(request)), request);
    const permit_reply reply { true, { instance_id("s"), std::chrono::milliseconds(300) } };
    const std::string bytes = encodePermitReply(reply);
    EXPECT_EQ(decodePermitReply(bytes), reply);
    for (size_t length = 0; length < bytes.size(); ++length)
        EXPECT_THROW(decodePermitReply(bytes.substr(0, length)), permit_message_error) << length;
    EXPECT_THROW(decodePermitRequest(std::string(64, '\xff')), permit_message_error);
}

} // namespace pollen
