#include <algorithm>
#include <gtest/gtest.h>
#include <policy/cheapest_sufficient_policy.h>

namespace pollen {

namespace {

constexpr time_point start {};

version_ref ref(const std::string& text) { return parseVersionRef(text); }

version_entry version(const std::string& name, double cost, double quality, double speed = 1000)
{
    version_entry entry;
    entry.ref = ref(name);
    entry.inputCost = cost;
    entry.outputCost = cost;
    entry.promptTokensPerSecond = speed;
    entry.outputTokensPerSecond = speed;
    entry.quality = { { class_name("quick"), quality } };
    return entry;
}

// Five versions with one server each, and a team that may use all of them except secret/v1.
struct fleet {
    fleet()
    {
        document.classes = { { class_name("quick"), 0, 0.8, std::chrono::seconds(5) } };
        document.versions = { version("big/v1", 10, 0.95), version("big/v2", 9, 0.95), version("mid/v1", 3, 0.85),
            version("small/v1", 1, 0.6), version("secret/v1", 0.1, 0.99) };
        team_entry team;
        team.name = team_name("sales");
        team.allowed = { { "big/*" }, { "mid/*" }, { "small/*" } };
        document.teams = { team };
        for (const version_entry& entry : document.versions) {
            listed_server server;
            server.entry.id = instance_id("server of " + entry.ref.text());
            server.entry.versions = { entry.ref };
            servers.push_back(server);
        }
        request.timeLeft = std::chrono::seconds(5);
        request.promptTokens = 100;
        request.outputTokens = 100;
    }

    version_entry& entry(const std::string& name)
    {
        return *std::find_if(document.versions.begin(), document.versions.end(),
            [&](const version_entry& candidate) { return candidate.ref == ref(name); });
    }

    route_decision decide()
    {
        tables.replaceServers(servers);
        tables.install(std::make_shared<const fleet_document>(document));
        return cheapest_sufficient_policy().decide(request, tables, start, random);
    }

    fleet_document document;
    std::vector<listed_server> servers;
    route_request request;
    fleet_tables tables;
    random_source random { 1 };
};

struct route_case {
    const char* name;
    std::function<void(fleet&)> arrange;
    route_outcome outcome;
    const char* version;
};

void PrintTo(const route_case& row, std::ostream* out) { *out << row.name; }

class RouteTest : public testing::TestWithParam<route_case> { };

const auto markLeaving = [](fleet& fleet, const char* version) {
    for (listed_server& server : fleet.servers) {
        if (server.entry.versions[0] == ref(version))
            server.leaving = true;
    }
};

} // namespace

TEST_P(RouteTest, ChoosesExpectedVersionOrRefuses)
{
    fleet fleet;
    GetParam().arrange(fleet);
    const route_decision decision = fleet.decide();
    EXPECT_STREQ(toText(decision.outcome), toText(GetParam().outcome));
    EXPECT_EQ(decision.candidates.size(), fleet.document.versions.size());
    if (decision.outcome == route_outcome::Chosen) {
        EXPECT_EQ(fleet.document.versions[decision.version.index].ref.text(), GetParam().version);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RouteTest,
    testing::Values(route_case { "chooses the cheapest version that meets the target", [](fleet&) {},
                        route_outcome::Chosen, "mid/v1" },
        route_case { "never a withdrawn version", [](fleet& f) { f.entry("mid/v1").state = version_state::Withdrawn; },
            route_outcome::Chosen, "big/v2" },
        route_case { "never a version without an available server", [](fleet& f) { markLeaving(f, "mid/v1"); },
            route_outcome::Chosen, "big/v2" },
        route_case { "never a version whose only server has failed this request",
            [](fleet& f) { f.request.excluded = { server_handle { 2 } }; }, route_outcome::Chosen, "big/v2" },
        route_case { "the team's own target overrides that of the class",
            [](fleet& f) {
                f.document.teams[0].qualityTargets = { { class_name("quick"), 0.9 } };
            },
            route_outcome::Chosen, "big/v2" },
        route_case { "never a version that would miss the deadline",
            [](fleet& f) { f.entry("mid/v1").outputTokensPerSecond = 10; }, route_outcome::Chosen, "big/v2" },
        route_case { "chooses within the requested model",
            [](fleet& f) {
                f.request.requestedVersion = { model_name("big"), {} };
            },
            route_outcome::Chosen, "big/v2" },
        route_case { "chooses the requested version", [](fleet& f) { f.request.requestedVersion = ref("big/v1"); },
            route_outcome::Chosen, "big/v1" },
        route_case { "refuses a requested version that is not allowed, however cheap",
            [](fleet& f) { f.request.requestedVersion = ref("secret/v1"); }, route_outcome::NothingAllowed, "" },
        route_case { "refuses a requested version below the target",
            [](fleet& f) { f.request.requestedVersion = ref("small/v1"); }, route_outcome::QualityUnreachable, "" },
        route_case { "refuses a deadline that no version can meet",
            [](fleet& f) { f.request.timeLeft = std::chrono::milliseconds(1); }, route_outcome::DeadlineUnreachable,
            "" },
        route_case {
            "refuses without any server", [](fleet& f) { f.servers.clear(); }, route_outcome::NoServerAvailable, "" },
        route_case { "inside the share of a roll-out",
            [](fleet& f) {
                f.request.requestedVersion = { model_name("big"), {} };
                f.entry("big/v1").state = version_state::RollingOut;
                f.entry("big/v1").rolloutShare = 0.5;
                f.request.rolloutPoint = 0.49;
            },
            route_outcome::Chosen, "big/v1" },
        route_case { "outside the share of a roll-out",
            [](fleet& f) {
                f.entry("mid/v1").state = version_state::RollingOut;
                f.entry("mid/v1").rolloutShare = 0.5;
                f.request.rolloutPoint = 0.5;
            },
            route_outcome::Chosen, "big/v2" },
        route_case { "a session keeps its version regardless of cost",
            [](fleet& f) { f.request.sessionVersion = ref("big/v1"); }, route_outcome::Chosen, "big/v1" },
        route_case { "a session keeps its version below the target and outside the share",
            [](fleet& f) {
                f.request.sessionVersion = ref("small/v1");
                f.entry("small/v1").state = version_state::RollingOut;
                f.request.rolloutPoint = 0.9;
            },
            route_outcome::Chosen, "small/v1" },
        route_case { "a session is refused rather than moved to another version",
            [](fleet& f) {
                f.request.sessionVersion = ref("big/v1");
                markLeaving(f, "big/v1");
            },
            route_outcome::NoServerAvailable, "" },
        route_case { "a session does not keep a withdrawn version",
            [](fleet& f) {
                f.request.sessionVersion = ref("big/v1");
                f.entry("big/v1").state = version_state::Withdrawn;
            },
            route_outcome::Chosen, "mid/v1" },
        route_case { "a session does not keep a version that is not allowed",
            [](fleet& f) { f.request.sessionVersion = ref("secret/v1"); }, route_outcome::Chosen, "mid/v1" },
        route_case { "refuses a request for a version other than that of its session",
            [](fleet& f) {
                f.request.sessionVersion = ref("big/v1");
                f.request.requestedVersion = ref("mid/v1");
            },
            route_outcome::SessionConflict, "" }));

TEST(LeastOutstanding, PrefersIdleServersAndSpreadsTies)
{
    fleet_tables tables;
    std::vector<listed_server> list(3);
    for (size_t i = 0; i < list.size(); ++i)
        list[i].entry.id = instance_id(std::to_string(i));
    tables.replaceServers(list);
    const std::vector<server_handle> all { { 0 }, { 1 }, { 2 } };
    tables.servers().addRequest({ 0 });
    random_source random(3);
    std::vector<int> chosen(3);
    for (int i = 0; i < 300; ++i)
        ++chosen[leastOutstanding(all, tables.servers(), {}, start, random)->index];
    EXPECT_EQ(chosen[0], 0);
    EXPECT_GT(chosen[1], 100);
    EXPECT_GT(chosen[2], 100);
    EXPECT_FALSE(leastOutstanding(all, tables.servers(), all, start, random));
}

// In random fleets, a chosen version is allowed, not withdrawn and good enough (or kept by a session), its server is
// available, and the same seed gives the same server.
TEST(CheapestSufficientPolicy, InvariantsHoldForRandomFleets)
{
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        random_source random(seed);
        const auto chance = [&](int oneIn) { return random() % static_cast<uint64_t>(oneIn) == 0; };
        fleet fleet;
        for (version_entry& entry : fleet.document.versions) {
            if (chance(3))
                entry.state = version_state::Withdrawn;
            if (chance(4))
                markLeaving(fleet, entry.ref.text().c_str());
            entry.quality[class_name("quick")] = static_cast<double>(random() % 100) / 100;
        }
        if (chance(2))
            fleet.document.exceptions = { { team_name("sales"), {}, { { "mid/*" } }, "why" } };
        if (chance(2))
            fleet.request.sessionVersion = fleet.document.versions[random() % 5].ref;
        fleet.random.seed(seed);
        const route_decision decision = fleet.decide();
        if (decision.outcome != route_outcome::Chosen)
            continue;
        const version_entry& chosen = fleet.document.versions[decision.version.index];
        EXPECT_NE(chosen.state, version_state::Withdrawn);
        EXPECT_EQ(fleet.tables.team({ 0 }).permissions[decision.version.index], permission::Allowed);
        EXPECT_TRUE(fleet.tables.servers().row(decision.server).isAvailable(start));
        const bool enough = chosen.quality.at(class_name("quick")) >= 0.8;
        EXPECT_TRUE(enough || decision.reason == route_reason::Session);
        fleet.random.seed(seed);
        EXPECT_EQ(fleet.decide().server, decision.server);
    }
}

} // namespace pollen
