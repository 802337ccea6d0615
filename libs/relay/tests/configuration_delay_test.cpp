#include "sync_daemon.h"

#include <gtest/gtest.h>

namespace pollen {

namespace {

constexpr duration step = std::chrono::milliseconds(25);
// As platform_daemon calls fleet_sync::tick().
constexpr duration tickInterval = std::chrono::milliseconds(50);
// Time that a healthy store and a healthy daemon take for a response.
constexpr duration overdueMargin = std::chrono::milliseconds(200);

struct fleet_size {
    const char* name;
    size_t daemons;
    size_t domains;
    // Maximum time from storing a configuration until it is in force.
    duration configurationLimit;
    // Times between the failure and the change, as shares of the wait of a read.
    std::vector<double> delays;
    // The slowest link of an instance.
    double linkBytesPerSecond;
};

enum class failure {
    None,
    LeaderLosesTheStore,
    LeaderLosesTheStoreSilently,
    LeaderDies,
    LeaderFreezes,
    LeaderTurnsSlow,
    LeaderIsCutOffFromAMember,
    LeaderIsCutOffFromItsDomain,
    TwoLeadersLoseTheStore,
    TwoLeadersLoseTheStoreSilently,
    AllLeadersLoseTheStore,
};

enum class store_access {
    Works,
    // Calls fail at once.
    Fails,
    // Calls are not answered.
    Hangs,
};

// A fleet in virtual time. Its leaders read the store with waiting reads, as keyed_follower does.
class simulated_fleet {
public:
    explicit simulated_fleet(const fleet_size& size)
        : m_wait(std::chrono::duration_cast<duration>(size.configurationLimit * 0.4))
    {
        m_time.advance(std::chrono::seconds(1000));
        std::vector<listed_peer> listed;
        for (size_t i = 0; i < size.daemons; ++i) {
            const std::string domain(1, static_cast<char>('a' + i % size.domains));
            const std::string id = domain + std::to_string(100 + i / size.domains);
            m_members.emplace_back();
            m_members.back().daemon = std::make_unique<sync_daemon>(m_network, m_time, id, domain.c_str(),
                static_cast<uint16_t>(i + 1),
                fleet_sync::limits { m_wait + std::chrono::milliseconds(500), m_wait + std::chrono::milliseconds(1000),
                    size.configurationLimit / 2, size.configurationLimit / 5 });
            listed.push_back(m_members.back().daemon->listed);
        }
        std::sort(listed.begin(), listed.end(), [](const auto& l, const auto& r) { return l.id < r.id; });
        size_t index = 0;
        for (member& item : m_members) {
            item.daemon->store.listed = listed;
            // Daemons tick, and wait for the store, at different times.
            item.nextTick = m_time.now() + step * (index % 2);
            item.phase = m_wait * (index % size.domains) / static_cast<int64_t>(size.domains);
            ++index;
        }
    }

    void run(duration interval)
    {
        const time_point end = m_time.now() + interval;
        while (m_time.now() < end) {
            m_time.advance(step);
            m_network.deliver(m_time.now());
            for (member& item : m_members) {
                advance(item);
                checkStatement(item);
            }
        }
    }

    // bytes: size of the record.
    void write(size_t bytes = 1)
    {
        m_writtenAt.push_back(m_time.now());
        m_sizes.push_back(bytes);
        ++m_records;
    }

    // Longest time for which a daemon has stated to know the newest record while it lacked one.
    duration longestFalseStatement() const { return m_longestFalseStatement; }

    // Time until all daemons that the failure has left in order know the last record; no more than the maximum.
    duration timeUntilKnown(duration maximum)
    {
        const time_point start = m_time.now();
        while (m_time.now() - start < maximum) {
            run(step);
            const bool known = std::all_of(m_members.begin(), m_members.end(), [&](const member& item) {
                return item.frozen || item.excused || item.daemon->store.topic.position().offset >= m_records;
            });
            if (known)
                break;
        }
        return m_time.now() - start;
    }

    void fail(failure what)
    {
        member& leader = m_members.front();
        const endpoint address = leader.daemon->listed.address;
        switch (what) {
        case failure::None:
            return;
        case failure::LeaderLosesTheStore:
            leader.store = store_access::Fails;
            return;
        case failure::LeaderLosesTheStoreSilently:
            leader.store = store_access::Hangs;
            return;
        case failure::LeaderDies:
            leader.frozen = true;
            m_network.down.insert(address);
            return;
        case failure::LeaderFreezes:
            leader.frozen = true;
            m_network.silent.insert(address);
            return;
        case failure::LeaderTurnsSlow:
            // It is not in touch itself; its members are.
            leader.excused = true;
            m_network.delays[address] = std::chrono::milliseconds(400);
            return;
        case failure::LeaderIsCutOffFromAMember:
            m_network.cuts.insert({ address, membersOf(leader).back()->daemon->listed.address });
            return;
        case failure::LeaderIsCutOffFromItsDomain:
            for (const member* item : membersOf(leader))
                m_network.cuts.insert({ address, item->daemon->listed.address });
            return;
        case failure::TwoLeadersLoseTheStore:
        case failure::TwoLeadersLoseTheStoreSilently:
            for (size_t i = 0; i < 2; ++i)
                m_members[i].store
                    = what == failure::TwoLeadersLoseTheStore ? store_access::Fails : store_access::Hangs;
            return;
        case failure::AllLeadersLoseTheStore:
            for (member& item : m_members)
                item.store = item.daemon->store.isLeader ? store_access::Fails : store_access::Works;
            return;
        }
    }

    // Servers crash under so many requests, which the daemons see in turn. The store does not hold the reports yet.
    void crashServers(uint64_t requests)
    {
        for (uint64_t request = 0; request < requests; ++request) {
            sync_daemon& daemon = *m_members[request % m_members.size()].daemon;
            daemon.crashTable.addCrash(request, instance_id("i-0123456789"), m_time.wallMilliseconds(), request);
        }
    }

    void setLinks(double bytesPerSecond) { m_network.linkBytesPerSecond = bytesPerSecond; }

    int requests() const { return m_network.requests; }
    duration wait() const { return m_wait; }

private:
    struct member {
        std::unique_ptr<sync_daemon> daemon;
        time_point nextTick {};
        duration phase { 0 };
        std::optional<time_point> readSince;
        store_access store = store_access::Works;
        bool frozen = false;
        bool excused = false;
    };

    std::vector<const member*> membersOf(const member& leader) const
    {
        std::vector<const member*> found;
        for (const member& item : m_members) {
            if (&item != &leader && item.daemon->listed.failureDomain == leader.daemon->listed.failureDomain)
                found.push_back(&item);
        }
        return found;
    }

    static std::string keyOf(uint64_t record) { return "config-" + std::to_string(record); }

    void checkStatement(const member& item)
    {
        const single_topic_store& store = item.daemon->store;
        if (!store.topic.isSynced() || store.listener.values.size() == m_records)
            return;
        for (uint64_t i = 0; i < m_records; ++i) {
            if (!store.listener.values.contains(keyOf(i)))
                m_longestFalseStatement = std::max(m_longestFalseStatement, store.topic.asOf() - m_writtenAt[i]);
        }
    }

    void advance(member& item)
    {
        if (item.frozen)
            return;
        read(item);
        if (m_time.now() < item.nextTick)
            return;
        item.nextTick += tickInterval;
        item.daemon->sharing.tick(m_time.now());
    }

    void read(member& item)
    {
        single_topic_store& store = item.daemon->store;
        if (!store.isLeader) {
            item.readSince.reset();
            store.reachable = true;
            return;
        }
        const time_point now = m_time.now();
        if (!item.readSince)
            item.readSince = now - (store.topic.isSynced() ? duration(0) : item.phase);
        const bool overdue = now - *item.readSince > m_wait + overdueMargin;
        store.reachable = item.store == store_access::Works || (item.store == store_access::Hangs && !overdue);
        if (item.store != store_access::Works)
            return;
        const bool hasNews = !store.topic.isSynced() || store.topic.position().offset < m_records;
        if (!hasNews && now - *item.readSince < m_wait)
            return;
        for (uint64_t i = 0; i < m_records; ++i)
            store.topic.apply({ keyOf(i), std::string(m_sizes[i], 'x'), { 1, i } });
        store.topic.markSynced({ 1, m_records }, now);
        item.readSince = now;
    }

    duration m_wait;
    manual_clock m_time;
    fake_network m_network;
    std::vector<member> m_members;
    uint64_t m_records = 1;
    // When the records were written, and their sizes.
    std::vector<time_point> m_writtenAt { time_point {} };
    std::vector<size_t> m_sizes { 1 };
    duration m_longestFalseStatement { duration::min() };
};

const std::vector<fleet_size> sizes {
    { "6", 6, 3, std::chrono::milliseconds(2000), { 0, 0.25, 0.5, 0.75, 1, 1.25 }, 125e6 },
    { "72", 72, 4, std::chrono::milliseconds(3000), { 0, 0.3, 0.6, 0.9, 1.2 }, 1.25e6 },
    { "295", 295, 6, std::chrono::milliseconds(4000), { 0, 0.3, 0.6, 0.9, 1.2 }, 2.5e6 },
};

const std::vector<std::pair<failure, const char*>> failures {
    { failure::None, "None" },
    { failure::LeaderLosesTheStore, "LeaderLosesTheStore" },
    { failure::LeaderLosesTheStoreSilently, "LeaderLosesTheStoreSilently" },
    { failure::LeaderDies, "LeaderDies" },
    { failure::LeaderFreezes, "LeaderFreezes" },
    { failure::LeaderTurnsSlow, "LeaderTurnsSlow" },
    { failure::LeaderIsCutOffFromAMember, "LeaderIsCutOffFromAMember" },
    { failure::LeaderIsCutOffFromItsDomain, "LeaderIsCutOffFromItsDomain" },
    { failure::TwoLeadersLoseTheStore, "TwoLeadersLoseTheStore" },
    { failure::TwoLeadersLoseTheStoreSilently, "TwoLeadersLoseTheStoreSilently" },
    { failure::AllLeadersLoseTheStore, "AllLeadersLoseTheStore" },
};

class ConfigurationDelayTest : public testing::TestWithParam<std::tuple<size_t, size_t>> { };

} // namespace

// Guards against CONFIG: a change that is in force too late because a daemon waits for one that cannot know it. The
// waits in a row must fit into half of the limit, so that what is not simulated here fits into the other half.
TEST_P(ConfigurationDelayTest, AChangeIsKnownWithinHalfOfItsLimit)
{
    const fleet_size& size = sizes[std::get<0>(GetParam())];
    const failure what = failures[std::get<1>(GetParam())].first;
    duration longest { 0 };
    for (const double delay : size.delays) {
        simulated_fleet fleet(size);
        fleet.run(std::chrono::seconds(4));
        fleet.fail(what);
        fleet.run(std::chrono::duration_cast<duration>(fleet.wait() * delay));
        fleet.write();
        longest = std::max(longest, fleet.timeUntilKnown(size.configurationLimit * 2));
    }
    RecordProperty("longest_ms", std::to_string(toMilliseconds(longest)));
    EXPECT_LE(toMilliseconds(longest), toMilliseconds(size.configurationLimit / 2));
}

class SlowLinkTest : public testing::TestWithParam<size_t> { };

// Guards against CONFIG and DRAIN: after servers had crashed, each reply of a leader held all reports that the store
// did not hold yet. Its link was full, its members took it for silent, and changes came too late.
TEST_P(SlowLinkTest, AChangeIsKnownInTimeWhileCrashesAreShared)
{
    const fleet_size& size = sizes[GetParam()];
    duration longest { 0 };
    for (const double delay : size.delays) {
        simulated_fleet fleet(size);
        fleet.setLinks(size.linkBytesPerSecond);
        fleet.run(std::chrono::seconds(4));
        fleet.crashServers(1000);
        fleet.run(std::chrono::duration_cast<duration>(fleet.wait() * delay));
        fleet.write();
        longest = std::max(longest, fleet.timeUntilKnown(size.configurationLimit * 2));
    }
    RecordProperty("longest_ms", std::to_string(toMilliseconds(longest)));
    EXPECT_LE(toMilliseconds(longest), toMilliseconds(size.configurationLimit / 2));
}

// Guards against DENIED: a daemon that states to know the newest configuration, and lacks one that was confirmed before
// the time for which it states that. Records of all sizes, sent whole, in parts or not at all.
TEST_P(ConfigurationDelayTest, AStatementOfAgeCoversAllRecordsBeforeIt)
{
    const fleet_size& size = sizes[std::get<0>(GetParam())];
    simulated_fleet fleet(size);
    fleet.setLinks(size.linkBytesPerSecond);
    fleet.run(std::chrono::seconds(3));
    for (const size_t bytes : { 100U, 6000U, 6000U, 6000U, 40000U, 100U }) {
        fleet.write(bytes);
        fleet.run(std::chrono::milliseconds(100));
    }
    fleet.fail(failures[std::get<1>(GetParam())].first);
    for (const size_t bytes : { 100U, 6000U, 6000U, 40000U, 6000U, 100U }) {
        fleet.write(bytes);
        fleet.run(std::chrono::milliseconds(350));
    }
    fleet.run(std::chrono::seconds(2));
    EXPECT_LE(toMilliseconds(fleet.longestFalseStatement()), 0);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowLinkTest, testing::Range<size_t>(0, sizes.size()),
    [](const auto& info) { return std::string(sizes[info.param].name); });

INSTANTIATE_TEST_SUITE_P(Fleets, ConfigurationDelayTest,
    testing::Combine(testing::Range<size_t>(0, sizes.size()), testing::Range<size_t>(0, failures.size())),
    [](const auto& info) {
        return std::string(failures[std::get<1>(info.param)].second) + "Of" + sizes[std::get<0>(info.param)].name;
    });

} // namespace pollen
