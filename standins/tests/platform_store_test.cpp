#include "relay_fixture.h"

#include <adapter/platform_store.h>

namespace pollen {

namespace {

class counting_store_listener final : public platform_store::listener {
public:
    void onConfiguration(relay_configuration) override { }
    void onConfigurationKnown(time_point) override { }
    void onServers(const std::vector<listed_server>&) override { }
    void onServerEntry(const listed_server&) override { }
    void onEvacuations(const std::set<failure_domain_name>&) override { }
    void onRolloutOrder(const rollout_order&) override { }
    void onRolloutStatus(const rollout_status&) override { }
    void onRolloutReport(const rollout_group_report& report) override
    {
        ++reports;
        latest = report;
    }
    rollout_group_report latest;
    void onCrashReport(const crash_report&) override { }
    void onCrashDropped(const crash_report_key&) override { }

    int reports = 0;
};

} // namespace

// Guards against EXPOSURE: a leader that also learns from other leaders read no reports of other groups any more, so
// that each group counted the requests of a bad version for itself.
TEST(PlatformStore, ALeaderThatLearnsFromOthersStillReadsReports)
{
    event_loop loop;
    null_logger log;
    os_clock time;
    random_source random { 1 };
    store_standin standin(loop, { "127.0.0.1", 0 });
    http_client client(loop);
    counting_store_listener listener;
    node_settings settings;
    settings.store = standin.address();
    settings.configurationLimit = std::chrono::seconds(2);
    settings.drainLimit = std::chrono::seconds(2);
    const listed_peer self { instance_id("a1"), failure_domain_name("a"), { "127.0.0.1", 1 } };
    platform_store store(loop, client, settings, self, listener, random, time, log);
    store.start();
    store.setLeader(true);
    store.followReports(true);
    const rollout_report own { self.id, 1, service_name("s"), version_name("v"), std::chrono::seconds(1),
        rollout_evidence({ { "r", { 9, 8, 7, 6, 5, 4, 3, 2, 1 }, { 1, 2, 3, 4, 5, 6, 7, 8, 9 } } }), 1, true, true };
    rollout_report member = own;
    member.daemon = instance_id("a2");
    const rollout_group_report report { self.id, own.service, own.target, { own, member } };
    timer publisher(loop, [&] {
        store.publishReport(report);
        for (shared_topic* topic : store.topics()) {
            if (topic->isSynced())
                topic->apply(*topic->changeSince({}, time.now()), time.now());
        }
    });
    publisher.startRepeating(std::chrono::milliseconds(200));
    EXPECT_TRUE(loop.runUntil([&] { return listener.reports >= 2; }, std::chrono::seconds(4)));
    EXPECT_EQ(listener.latest, report);
}

} // namespace pollen
