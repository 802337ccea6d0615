#include "sync_daemon.h"

#include <ctime>
#include <gtest/gtest.h>

namespace pollen {

namespace {

constexpr duration step = std::chrono::milliseconds(50);
constexpr int measuredSteps = 60;
const service_name service("s");
const version_name target("v2");

struct fleet_size {
    // Daemons of the failure domain, daemons of others, and servers.
    size_t members;
    size_t others;
    size_t servers;
};

std::string numbered(const char* prefix, size_t number) { return prefix + std::to_string(10000 + number); }

// One failure domain in virtual time, during a roll-out. Each daemon has requests on a few servers.
class busy_group {
public:
    explicit busy_group(const fleet_size& size)
    {
        m_time.advance(std::chrono::seconds(1000));
        std::vector<listed_server> servers(size.servers);
        for (size_t i = 0; i < size.servers; ++i)
            servers[i].entry.id = instance_id(numbered("i-", i));
        std::vector<listed_peer> listed;
        for (size_t i = 0; i < size.members; ++i) {
            const auto port = static_cast<uint16_t>(i + 1);
            m_daemons.push_back(std::make_unique<sync_daemon>(m_network, m_time, numbered("a", i), "a", port,
                fleet_sync::limits { std::chrono::seconds(2), std::chrono::seconds(3), std::chrono::seconds(2),
                    std::chrono::seconds(1) }));
            sync_daemon& daemon = *m_daemons.back();
            daemon.servers.replaceListed(servers);
            daemon.table.applyOrder({ service, target, std::chrono::seconds(60) }, m_time.now());
            for (size_t k = 0; k < 4; ++k)
                daemon.servers.addRequest({ static_cast<uint32_t>((i * 7 + k) % size.servers) });
            listed.push_back(daemon.listed);
        }
        for (const auto& daemon : m_daemons)
            daemon->store.listed = listed;
        const rollout_evidence evidence({ { "a", {}, {} }, { "b", {}, {} }, { "c", {}, {} } });
        for (size_t i = 0; i < size.others; ++i) {
            const rollout_report report { instance_id(numbered("b", i)), 1, service, target, duration(1), evidence };
            leader().rollouts.receiveGroupReport({ report.daemon, service, target, { report } }, m_time.now());
        }
        for (size_t i = 0; i < size.servers; ++i)
            write(numbered("server-", i));
        // Everything that the members lack is sent before the measurement.
        run(60);
        state_exchange::state_source& source = m_network.sources[leader().listed.address];
        source = [this, answer = source](const std::string& request) {
            const std::clock_t begin = std::clock();
            std::string reply = answer(request);
            m_ticks += std::clock() - begin;
            ++m_requests;
            return reply;
        };
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_time.advance(step);
            write("server-10000");
            leader().store.topic.markSynced({ 1, m_records }, m_time.now());
            for (const auto& daemon : m_daemons) {
                daemon->rollouts.countSent({ service, target, "a" });
                daemon->rollouts.tick(m_time.now());
                daemon->sharing.tick(m_time.now());
            }
        }
    }

    // Processor time for the answer to one request, in microseconds.
    double microsecondsPerRequest() const
    {
        return 1e6 * static_cast<double>(m_ticks) / CLOCKS_PER_SEC / static_cast<double>(m_requests);
    }
    size_t requests() const { return m_requests; }
    size_t newestKnownBy(size_t daemon) const { return m_daemons[daemon]->store.topic.position().offset; }
    size_t records() const { return m_records; }

private:
    sync_daemon& leader() { return *m_daemons.front(); }
    void write(const std::string& key)
    {
        leader().store.topic.apply({ key, std::string(300, 'x') + std::to_string(m_records), { 1, m_records } });
        ++m_records;
    }

    manual_clock m_time;
    fake_network m_network;
    std::vector<std::unique_ptr<sync_daemon>> m_daemons;
    uint64_t m_records = 0;
    std::clock_t m_ticks = 0;
    size_t m_requests = 0;
};

} // namespace

// Guards against CONFIG and DRAIN: the answer of a leader to one member cost more with each member, each server and
// each daemon whose counts were known, so that leaders of large groups on small instances fell behind.
TEST(SyncCostTest, AnAnswerCostsNoMoreInALargeFleet)
{
    busy_group small({ 6, 3, 13 });
    busy_group large({ 60, 240, 400 });
    small.run(measuredSteps);
    large.run(measuredSteps);
    ASSERT_GT(small.requests(), 40U);
    ASSERT_GT(large.requests(), 400U);
    EXPECT_GE(large.newestKnownBy(59) + 10, large.records()) << "the members are up to date";
    // Twice as much leaves room for caches of the processor; the large fleet has ten to thirty times of everything.
    EXPECT_LT(large.microsecondsPerRequest(), 2 * small.microsecondsPerRequest());
    RecordProperty("small_us", std::to_string(small.microsecondsPerRequest()));
    RecordProperty("large_us", std::to_string(large.microsecondsPerRequest()));
}

} // namespace pollen
