#include <base/logger.h>
#include <control/configuration_manager.h>
#include <control/instance_sync_system.h>
#include <control/load_poll_system.h>
#include <gtest/gtest.h>
#include <platform/memory_record_log.h>
#include <set>

namespace pollen {

namespace {

class fake_engine final : public model_engine {
public:
    std::unique_ptr<engine_call> generate(const endpoint&, const engine_request&, engine_listener&) override
    {
        return nullptr;
    }
    void load(const endpoint& server, load_callback callback) override
    {
        polled.push_back(server.port);
        callback(answer);
    }

    std::vector<uint16_t> polled;
    std::optional<engine_load> answer;
};

class fake_directory final : public instance_directory {
public:
    void list(list_callback callback) override { callback(answer); }

    directory_answer answer;
};

std::vector<listed_server> engines(size_t count)
{
    std::vector<listed_server> list(count);
    for (size_t i = 0; i < count; ++i) {
        list[i].entry.id = instance_id("engine-" + std::to_string(i));
        list[i].entry.address = { "127.0.0.1", static_cast<uint16_t>(i + 1) };
    }
    return list;
}

time_point secondsAfterStart(int seconds) { return time_point {} + std::chrono::seconds(seconds); }

} // namespace

TEST(LoadPollSystem, PollsEveryEngineWithBoundedCallsPerRound)
{
    constexpr size_t engineCount = 40;
    constexpr size_t maximumCalls = 16;
    fleet_tables tables;
    tables.replaceServers(engines(engineCount));
    fake_engine engine;
    load_poll_system system(engine, tables);
    std::set<uint16_t> reached;
    for (int second = 1; second <= 3; ++second) {
        engine.polled.clear();
        system.tick(secondsAfterStart(second));
        EXPECT_LE(engine.polled.size(), maximumCalls);
        reached.insert(engine.polled.begin(), engine.polled.end());
    }
    EXPECT_EQ(reached.size(), engineCount);
}

TEST(LoadPollSystem, StoresReportsAndIgnoresMissingOnes)
{
    fleet_tables tables;
    tables.replaceServers(engines(1));
    fake_engine engine;
    load_poll_system system(engine, tables);
    engine.answer = engine_load { 3, 2, true, {} };
    system.tick(secondsAfterStart(1));
    EXPECT_EQ(tables.servers().row({ 0 }).otherRequests, 5U);
    EXPECT_TRUE(tables.servers().row({ 0 }).leaving);
    engine.answer.reset();
    system.tick(secondsAfterStart(2));
    EXPECT_EQ(tables.servers().row({ 0 }).otherRequests, 5U);
}

TEST(InstanceSyncSystem, KeepsLastListWhileDirectoryIsUnavailable)
{
    fleet_tables tables;
    peer_table peers(instance_id("self"), std::chrono::seconds(3));
    fake_directory directory;
    null_logger logger;
    instance_sync_system system(directory, tables, peers, logger);
    listed_instance engine { instance_id("e"), instance_role::ModelEngine, {}, { "127.0.0.1", 1 }, {}, {}, false };
    listed_instance router { instance_id("r"), instance_role::Router, {}, { "127.0.0.1", 2 }, {}, {}, false };
    directory.answer = { directory_state::Changed, { engine, router } };
    system.tick(secondsAfterStart(1));
    EXPECT_TRUE(tables.servers().find(instance_id("e")));
    EXPECT_TRUE(peers.addressOf(instance_id("r")));
    directory.answer = {};
    system.tick(secondsAfterStart(2));
    EXPECT_TRUE(tables.servers().row({ 0 }).isAvailable(secondsAfterStart(2)));
    engine.leaving = true;
    directory.answer = { directory_state::Unchanged, {} };
    system.tick(secondsAfterStart(3));
    EXPECT_TRUE(tables.servers().row({ 0 }).isAvailable(secondsAfterStart(3)));
    directory.answer = { directory_state::Changed, { engine } };
    system.tick(secondsAfterStart(4));
    EXPECT_FALSE(tables.servers().row({ 0 }).isAvailable(secondsAfterStart(4)));
}

namespace {

// Returns the state of another manager directly, without a network.
class fake_exchange final : public state_exchange {
public:
    void fetch(const endpoint&, const std::string& request, state_callback callback) override
    {
        ++fetches;
        callback(peerExchange ? std::optional(peerExchange->source(request)) : std::nullopt);
    }
    void setSource(state_source given) override { source = std::move(given); }

    fake_exchange* peerExchange = nullptr;
    state_source source;
    int fetches = 0;
};

// A log with its own clock, which drops records after its retention time.
class expiring_log final : public record_log {
public:
    void append(const std::string&, std::vector<std::string> records, append_callback callback) override
    {
        for (std::string& value : records)
            stored.push_back({ next++, nowMilliseconds, std::move(value) });
        callback({ append_outcome::Appended, next - records.size() });
    }
    void read(const std::string&, log_offset from, duration wait, read_callback callback) override
    {
        read_result result { true, {}, stored.empty() ? next : stored.front().offset, nowMilliseconds,
            retentionMilliseconds };
        for (const log_record& record : stored) {
            if (record.offset >= from)
                result.records.push_back(record);
        }
        if (result.records.empty() && wait.count() > 0)
            waiting = std::move(callback);
        else
            callback(result);
    }
    // Advances the clock, drops expired records and completes the pending read.
    void advance(int64_t milliseconds)
    {
        nowMilliseconds += milliseconds;
        std::erase_if(stored, [&](const log_record& record) {
            return record.timeMilliseconds + retentionMilliseconds < nowMilliseconds;
        });
        if (!waiting)
            return;
        const log_offset oldest = stored.empty() ? next : stored.front().offset;
        std::exchange(waiting, nullptr)({ true, {}, oldest, nowMilliseconds, retentionMilliseconds });
    }

    std::vector<log_record> stored;
    log_offset next = 1;
    int64_t nowMilliseconds = 1000;
    int64_t retentionMilliseconds = 10000;
    read_callback waiting;
};

} // namespace

TEST(ConfigurationManager, WritesSnapshotBeforeRecordsExpire)
{
    event_loop loop;
    expiring_log log;
    fleet_tables tables;
    random_source random(1);
    manual_clock clock;
    null_logger logger;
    configuration_record record;
    record.id = "first";
    record.document = "[fleet]\nname = \"x\"\ncurrency = \"KES\"\n";
    log.append(configurationStream, { encodeRecord(record) }, [](const append_result&) {});
    peer_table peers(instance_id("d"), std::chrono::seconds(3));
    null_state_exchange exchange;
    configuration_manager manager(loop, log, tables, peers, exchange, instance_id("d"), random, clock, logger);
    manager.start();
    EXPECT_EQ(manager.version(), 1U);
    for (int second = 1; second <= 60; ++second) {
        log.advance(1000);
        manager.tick(secondsAfterStart(second));
    }
    EXPECT_GE(log.stored.size(), 1U) << "the log must always hold a record to rebuild the state from";
    EXPECT_LE(log.next, 20U) << "snapshots must not be written more often than needed";
    // A daemon that starts now rebuilds the same state.
    fleet_tables freshTables;
    configuration_manager fresh(loop, log, freshTables, peers, exchange, instance_id("e"), random, clock, logger);
    fresh.start();
    EXPECT_EQ(fresh.version(), manager.version());
    EXPECT_EQ(freshTables.document()->name, "x");
}

TEST(ConfigurationManager, FetchesStateFromPeersWhenLogIsUnreachable)
{
    event_loop loop;
    expiring_log log;
    // Stays empty, which has the same effect as a log that cannot be reached.
    expiring_log unreachable;
    fleet_tables tables;
    fleet_tables isolatedTables;
    random_source random(1);
    manual_clock clock;
    null_logger logger;
    fake_exchange exchange;
    fake_exchange isolatedExchange;
    peer_table peers(instance_id("d"), std::chrono::seconds(3));
    peer_table isolatedPeers(instance_id("cut off"), std::chrono::seconds(3));
    configuration_record record;
    record.id = "first";
    record.document = "[fleet]\nname = \"x\"\ncurrency = \"KES\"\n";
    log.append(configurationStream, { encodeRecord(record) }, [](const append_result&) {});
    configuration_manager manager(loop, log, tables, peers, exchange, instance_id("d"), random, clock, logger);
    configuration_manager isolated(loop, unreachable, isolatedTables, isolatedPeers, isolatedExchange,
        instance_id("cut off"), random, clock, logger);
    manager.start();
    isolated.start();
    const auto receiveHeartbeat = [&](int second) {
        isolatedPeers.applyHeartbeat(
            { instance_id("d"), 1, {}, {}, false, manager.version() }, secondsAfterStart(second));
        isolated.tick(secondsAfterStart(second));
    };
    receiveHeartbeat(1);
    EXPECT_EQ(isolatedExchange.fetches, 0) << "the log must have time to deliver the change first";
    receiveHeartbeat(2);
    EXPECT_EQ(isolated.version(), 0U) << "the peer did not answer";
    isolatedExchange.peerExchange = &exchange;
    receiveHeartbeat(3);
    EXPECT_EQ(isolated.version(), manager.version());
    EXPECT_EQ(isolatedTables.document()->name, "x");
    const int fetches = isolatedExchange.fetches;
    receiveHeartbeat(4);
    EXPECT_EQ(isolatedExchange.fetches, fetches) << "no peer has a newer version";
}

} // namespace pollen
