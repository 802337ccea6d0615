#include "relay_fixture.h"

namespace pollen {

namespace {

constexpr size_t daemonsOfTheFleet = 9;

} // namespace

// Guards against BUDGET: a service whose servers turn every request away got more repeats than the fleet may send,
// because each daemon saved up repeats for itself and requests to another service earned them.
TEST(FleetRepeatsTest, RepeatsToAServiceThatTurnsAllAwayStayWithinTheFleetsAllowance)
{
    event_loop loop;
    null_logger log;
    os_clock time;
    store_standin store(loop, { "127.0.0.1", 0 });
    backend_standin desk(loop, { isFull });
    backend_standin engine(loop, { streams(2, true) });
    store.put("keyed.op", "config", configuration(1));
    store.put("keyed.servers", "desk-1", serverEntry("desk", desk.address()));
    store.put("keyed.servers", "engine-1", serverEntry("advice", engine.address()));
    std::vector<std::unique_ptr<fleet_daemon>> daemons;
    for (size_t i = 0; i < daemonsOfTheFleet; ++i) {
        daemons.push_back(
            std::make_unique<fleet_daemon>(loop, log, time, store, ("d" + std::to_string(i)).c_str(), "a"));
        ASSERT_TRUE(loop.runUntil([&] { return daemons[i]->relay().gateway().ready(); }, patience));
    }
    http_client caller(loop);
    const auto send = [&](const fleet_daemon& daemon, const char* target, const char* id) {
        bool done = false;
        const http_request message { "POST", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Deadline-Ms", "1500" },
                { "Pollenroute-Key", "key" } },
            "" };
        caller.fetch(daemon.address(), message, {}, [&](const exchange_result&, const http_response&) { done = true; });
        EXPECT_TRUE(loop.runUntil([&] { return done; }, patience));
    };
    constexpr int ordersPerDaemon = 3;
    constexpr int streamsPerOrder = 3;
    for (int order = 0; order < ordersPerDaemon; ++order) {
        for (const auto& daemon : daemons) {
            for (int i = 0; i < streamsPerOrder; ++i)
                send(*daemon, "/s/x", "stream");
            send(*daemon, "/o/x", "order");
        }
    }
    constexpr double orders = ordersPerDaemon * daemonsOfTheFleet;
    EXPECT_LE(static_cast<double>(desk.requests().size()) - orders, repeatShare * orders + repeatSlack);
}

} // namespace pollen
