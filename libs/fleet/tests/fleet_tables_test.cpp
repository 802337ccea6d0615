#include <fleet/fleet_tables.h>
#include <gtest/gtest.h>

namespace pollen {

namespace {

const version_ref bigV1 { model_name("big"), version_name("v1") };
const version_ref bigV2 { model_name("big"), version_name("v2") };
const version_ref smallV1 { model_name("small"), version_name("v1") };
constexpr time_point start {};

listed_server makeServer(const std::string& id, const std::vector<version_ref>& versions, uint16_t port = 1)
{
    listed_server server;
    server.entry.id = instance_id(id);
    server.entry.address = { "127.0.0.1", port };
    server.entry.versions = versions;
    return server;
}

fleet_document makeDocument()
{
    fleet_document document;
    document.classes = { { class_name("quick"), 0, 0.7, std::chrono::seconds(5) } };
    for (const version_ref& ref : { bigV1, bigV2, smallV1 }) {
        version_entry entry;
        entry.ref = ref;
        document.versions.push_back(entry);
    }
    team_entry team;
    team.name = team_name("sales");
    team.keyDigests = { "digest" };
    team.allowed = { { "big/*" } };
    team.qualityTargets = { { class_name("quick"), 0.9 } };
    document.teams = { team };
    document.exceptions
        = { { team.name, { { "small/v1" } }, {}, "trial" }, { team.name, {}, { { "big/v2" } }, "wrong prices" } };
    return document;
}

} // namespace

TEST(FleetTables, ExceptionsOverrideTeamPermissions)
{
    fleet_tables tables;
    tables.install(std::make_shared<const fleet_document>(makeDocument()));
    const team_row& team = tables.team(*tables.findTeamByKeyDigest("digest"));
    EXPECT_EQ(team.permissions[0], permission::Allowed);
    EXPECT_EQ(team.permissions[1], permission::DeniedByException);
    EXPECT_EQ(team.permissions[2], permission::Allowed);
    EXPECT_EQ(tables.qualityTarget(*tables.findTeam(team_name("sales")), class_handle { 0 }), 0.9);
    EXPECT_FALSE(tables.findTeamByKeyDigest("other"));
    EXPECT_FALSE(tables.findClass(class_name("other")));
}

TEST(FleetTables, TeamRequestCountsSurviveInstall)
{
    fleet_tables tables;
    tables.install(std::make_shared<const fleet_document>(makeDocument()));
    tables.addTeamRequest(team_name("sales"));
    tables.install(std::make_shared<const fleet_document>(makeDocument()));
    EXPECT_EQ(tables.team(team_handle { 0 }).ownRequests, 1U);
    tables.removeTeamRequest(team_name("sales"));
    tables.removeTeamRequest(team_name("sales"));
    tables.removeTeamRequest(team_name("gone"));
    EXPECT_EQ(tables.team(team_handle { 0 }).ownRequests, 0U);
}

TEST(FleetTables, ServersAreIndexedByVersionInEitherOrder)
{
    fleet_tables tables;
    tables.replaceServers({ makeServer("a", { bigV1, bigV2 }), makeServer("b", { bigV1 }) });
    tables.install(std::make_shared<const fleet_document>(makeDocument()));
    EXPECT_EQ(tables.version(version_handle { 0 }).servers.size(), 2U);
    tables.replaceServers({ makeServer("b", { smallV1 }) });
    EXPECT_EQ(tables.version(version_handle { 0 }).servers.size(), 0U);
    EXPECT_EQ(tables.version(version_handle { 2 }).servers.size(), 1U);
}

TEST(ServerTable, UnlistedServerKeepsItsRowUntilIdle)
{
    server_table table;
    table.replaceListed({ makeServer("a", { bigV1 }), makeServer("b", { bigV1 }) });
    const server_handle a = *table.find(instance_id("a"));
    table.addRequest(a);
    table.replaceListed({ makeServer("b", { bigV1 }) });
    EXPECT_FALSE(table.row(a).isAvailable(start));
    EXPECT_TRUE(table.row(a).used);
    table.removeRequest(a);
    table.sweep();
    EXPECT_FALSE(table.row(a).used);
    EXPECT_FALSE(table.find(instance_id("a")));
    // The freed row is reused without state of its former server.
    table.replaceListed({ makeServer("b", { bigV1 }), makeServer("c", { bigV1 }) });
    EXPECT_EQ(*table.find(instance_id("c")), a);
    EXPECT_TRUE(table.row(a).isAvailable(start));
}

TEST(ServerTable, ServerReportedAsLeavingIsUnavailable)
{
    server_table table;
    table.replaceListed({ makeServer("a", {}), makeServer("b", {}) });
    const server_handle a = *table.find(instance_id("a"));
    const server_handle b = *table.find(instance_id("b"));
    listed_server leaving = makeServer("a", {});
    leaving.leaving = true;
    table.replaceListed({ leaving, makeServer("b", {}) });
    table.reportLoad(b, 0, true);
    EXPECT_FALSE(table.row(a).isAvailable(start));
    EXPECT_FALSE(table.row(b).isAvailable(start));
}

TEST(ServerTable, BackoffDoublesWithConsecutiveFailures)
{
    server_table table;
    table.replaceListed({ makeServer("a", {}) });
    const server_handle a = *table.find(instance_id("a"));
    table.reportFailure(a, start);
    const duration first = table.row(a).unavailableUntil - start;
    for (int i = 0; i < 100; ++i)
        table.reportFailure(a, start);
    EXPECT_FALSE(table.row(a).isAvailable(start));
    EXPECT_EQ(table.row(a).unavailableUntil - start, first)
        << "100 requests that failed at the same time count as one failure";
    time_point now = table.row(a).unavailableUntil;
    EXPECT_TRUE(table.row(a).isAvailable(now));
    table.reportFailure(a, now);
    EXPECT_EQ(table.row(a).unavailableUntil - now, first * 2);
    for (int i = 0; i < 100; ++i) {
        now = table.row(a).unavailableUntil;
        table.reportFailure(a, now);
    }
    EXPECT_LE(table.row(a).unavailableUntil - now, std::chrono::seconds(8));
    table.replaceListed({ makeServer("a", {}, 2) });
    EXPECT_TRUE(table.row(a).isAvailable(start)) << "a replacement at a new address has no back-off";
}

TEST(ServerTable, LoadReportDoesNotCountOwnRequestsTwice)
{
    server_table table;
    table.replaceListed({ makeServer("a", {}) });
    const server_handle a = *table.find(instance_id("a"));
    for (int i = 0; i < 3; ++i)
        table.addRequest(a);
    table.reportLoad(a, 5, false);
    EXPECT_EQ(table.row(a).outstanding(), 5U);
    table.reportLoad(a, 1, false);
    EXPECT_EQ(table.row(a).outstanding(), 3U);
}

} // namespace pollen
