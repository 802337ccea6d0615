#include "sync_daemon.h"

#include <gtest/gtest.h>

namespace pollen {

namespace {

const service_name service("advice");
const version_name target("v2");
const version_name old("v1");
constexpr duration step = std::chrono::milliseconds(50);
constexpr duration timeLimit = std::chrono::seconds(40);
const fleet_sync::limits limits { std::chrono::milliseconds(1300), std::chrono::milliseconds(1800),
    std::chrono::milliseconds(1000), std::chrono::milliseconds(400) };

// Daemons that count the requests of a roll-out, and share the counts through the store or with each other.
class RolloutCountsTest : public testing::Test {
protected:
    RolloutCountsTest()
    {
        m_time.advance(std::chrono::seconds(1000));
        for (const char* id : { "a1", "a2", "a3", "a4", "a5", "b1", "b2", "c1", "d1" })
            start(id);
        run(std::chrono::seconds(2));
        for (const auto& [id, daemon] : m_daemons)
            daemon->table.applyOrder({ service, target, timeLimit }, m_time.now());
    }

    // Starts a daemon, or starts it anew at its address. The first letter of an id is the failure domain.
    void start(const std::string& id)
    {
        const auto known = m_daemons.find(id);
        if (known != m_daemons.end())
            m_readReports.erase(known->second.get());
        const uint16_t port = known != m_daemons.end() ? known->second->listed.address.port
                                                       : static_cast<uint16_t>(m_daemons.size() + 1);
        m_daemons[id] = std::make_unique<sync_daemon>(
            m_network, m_time, id, id.substr(0, 1).c_str(), port, limits, ++m_incarnation);
        for (const auto& [name, daemon] : m_daemons) {
            daemon->store.listed.clear();
            for (const auto& [otherName, other] : m_daemons)
                daemon->store.listed.push_back(other->listed);
        }
    }

    sync_daemon& at(const std::string& id) { return *m_daemons.at(id); }

    // Runs daemons that send ten requests each a second, and checks that none knows of more than were sent.
    void run(duration interval)
    {
        for (duration passed { 0 }; passed < interval; passed += step) {
            m_time.advance(step);
            for (const auto& [id, daemon] : m_daemons) {
                if (!m_frozen.contains(id))
                    tick(*daemon, passed);
            }
            checkCounts();
        }
    }

    void tick(sync_daemon& daemon, duration passed)
    {
        daemon.store.reachable = daemon.storeReachable;
        if (daemon.store.isLeader && daemon.storeReachable)
            daemon.store.topic.markSynced({ 1, 0 }, m_time.now());
        daemon.sharing.tick(m_time.now());
        if (daemon.table.find(service) && passed % (2 * step) == duration(0)) {
            daemon.rollouts.countSent({ service, ++m_sent % 10 == 0 ? target : old, "r" });
        }
        daemon.rollouts.tick(m_time.now());
        const auto published = std::exchange(daemon.store.reports, {});
        if (daemon.storeReachable)
            m_published.insert(m_published.end(), published.begin(), published.end());
        // A leader reads the reports from the oldest one on.
        size_t& read = m_readReports[&daemon];
        for (; daemon.storeReachable && daemon.store.isLeader && read < m_published.size(); ++read)
            daemon.rollouts.receiveGroupReport(m_published[read], m_time.now());
    }

    uint64_t sentAsKnownTo(const std::string& id)
    {
        const rollout_row* row = at(id).table.find(service);
        const route_answers total = row ? row->evidence.total() : route_answers {};
        return total.target.sent + total.others.sent;
    }

    void checkCounts()
    {
        for (const auto& [id, daemon] : m_daemons)
            ASSERT_LE(sentAsKnownTo(id), m_sent) << id << " counts requests more than once";
    }

    void setStore(const std::set<std::string>& ids, bool reachable)
    {
        for (const std::string& id : ids)
            at(id).storeReachable = reachable;
    }

    std::set<std::string> all() const
    {
        std::set<std::string> ids;
        for (const auto& [id, daemon] : m_daemons)
            ids.insert(id);
        return ids;
    }

    // All daemons know nearly all requests: the rest was sent within the last rounds of reports.
    void expectKnownByAll()
    {
        constexpr uint64_t requestsOfRecentRounds = 300;
        for (const auto& [id, daemon] : m_daemons)
            EXPECT_GE(sentAsKnownTo(id) + requestsOfRecentRounds, m_sent) << id << " lacks counts";
    }

    manual_clock m_time;
    fake_network m_network;
    std::map<std::string, std::unique_ptr<sync_daemon>> m_daemons;
    std::set<std::string> m_frozen;
    std::vector<rollout_group_report> m_published;
    std::map<const sync_daemon*, size_t> m_readReports;
    uint64_t m_incarnation = 0;
    uint64_t m_sent = 0;
};

} // namespace

// Guards against EXPOSURE: while the store was away, daemons that queried each other each added the other's sum to
// their own, and a bad version was completed on billions of requests of which some thousand had been sent.
TEST_F(RolloutCountsTest, CountsDoNotMultiplyWhileTheStoreIsAway)
{
    for (const std::set<std::string>& without :
        { all(), std::set<std::string> { "a1", "b1" }, std::set<std::string> { "a1", "a2", "a3", "c1", "d1" } }) {
        setStore(without, false);
        run(std::chrono::seconds(6));
        setStore(without, true);
        run(std::chrono::seconds(4));
        expectKnownByAll();
    }
}

// Guards against counts that are lost with a daemon, or taken twice after its start.
TEST_F(RolloutCountsTest, ARestartNeitherLosesNorDoublesCounts)
{
    run(std::chrono::seconds(5));
    for (const char* id : { "a1", "b1", "a2", "d1" }) {
        start(id);
        at(id).table.applyOrder({ service, target, timeLimit }, m_time.now());
        run(std::chrono::seconds(4));
        expectKnownByAll();
    }
}

// Guards against counts that are taken twice because their daemon was paused and its members went to another leader.
TEST_F(RolloutCountsTest, APauseOfALeaderDoesNotDoubleItsGroup)
{
    run(std::chrono::seconds(5));
    for (const char* id : { "a1", "b1" }) {
        m_frozen = { id };
        m_network.silent = { at(id).listed.address };
        run(std::chrono::seconds(5));
        m_frozen.clear();
        m_network.silent.clear();
        run(std::chrono::seconds(5));
        expectKnownByAll();
    }
}

} // namespace pollen
