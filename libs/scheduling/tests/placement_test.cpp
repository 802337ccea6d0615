#include <gtest/gtest.h>
#include <scheduling/placement.h>
#include <set>

namespace pollen {

namespace {

const time_point now { std::chrono::seconds(1000) };
const service_name advice("advice");
const service_name desk("desk");
constexpr uint64_t cacheTokens = 478000;

listed_server makeServer(const std::string& id, const service_name& service, const char* domain, const char* version)
{
    listed_server server;
    server.entry.id = instance_id(id);
    server.entry.service = service;
    server.entry.failureDomain = failure_domain_name(domain);
    server.entry.address = { "127.0.0.1", 1 };
    server.entry.versions = { { model_name(service.text()), version_name(version) } };
    server.entry.slots = 6;
    return server;
}

class PlacementTest : public testing::Test {
protected:
    PlacementTest()
    {
        m_engineService.name = advice;
        m_engineService.engine = engine_limits { 64, cacheTokens };
        m_plainService.name = desk;
        fillTable();
    }

    void fillTable()
    {
        m_servers = {};
        std::vector<listed_server> list;
        list.reserve(13);
        for (int i = 0; i < 9; ++i)
            list.push_back(makeServer("e" + std::to_string(i), advice, i % 2 ? "a" : "b", i < 6 ? "v1" : "v2"));
        for (int i = 0; i < 4; ++i)
            list.push_back(makeServer("d" + std::to_string(i), desk, i % 2 ? "a" : "b", "v1"));
        m_servers.replaceListed(list);
    }

    static placement_request longPrompt(uint64_t shared, uint64_t own)
    {
        placement_request request;
        request.service = advice;
        request.model = model_name("small");
        request.parts = { { shared, 13000 }, { own, 3000 } };
        request.promptTokens = 16000;
        request.failureDomain = failure_domain_name("a");
        return request;
    }

    std::string choose(placement& from, const placement_request& request, time_point at = now)
    {
        const auto choice
            = from.choose(request, m_servers, request.service == desk ? m_plainService : m_engineService, at);
        return choice ? m_servers.row(choice->server).entry.id.text() : "none";
    }

    random_source m_random { 7 };
    placement m_chooser { m_random };
    server_table m_servers;
    relay_service m_engineService;
    relay_service m_plainService;
};

} // namespace

// Many callers ask about the same few long documents through different daemons.
TEST_F(PlacementTest, DaemonsSendASharedPartToTheSameServerWithoutCommunication)
{
    random_source otherRandom { 99 };
    placement other(otherRandom);
    std::set<std::string> used;
    for (uint64_t document = 1; document <= 40; ++document) {
        const std::string server = choose(m_chooser, longPrompt(document, 1000 + document));
        EXPECT_EQ(choose(other, longPrompt(document, 2000 + document)), server) << document;
        used.insert(server);
    }
    EXPECT_GE(used.size(), 7U) << "the documents are spread over the servers";
}

// One document gets much of the traffic, and its server has more prompt tokens to process than another server would
// with an empty cache.
TEST_F(PlacementTest, AHotDocumentSpillsOverOnceItsServerIsOverloaded)
{
    const std::string home = choose(m_chooser, longPrompt(1, 10));
    m_servers.addPendingPromptTokens(*m_servers.find(instance_id(home)), 60000);
    EXPECT_NE(choose(m_chooser, longPrompt(1, 11)), home);
}

// As above: all daemons that cannot use the first server select the same next one independently.
TEST_F(PlacementTest, DaemonsAgreeOnTheServerThatAHotDocumentSpillsOverTo)
{
    for (uint64_t document = 1; document <= 20; ++document) {
        fillTable();
        const std::string home = choose(m_chooser, longPrompt(document, 10));
        m_servers.addPendingPromptTokens(*m_servers.find(instance_id(home)), 60000);
        std::set<std::string> next;
        for (uint64_t seed = 0; seed < 5; ++seed) {
            random_source random(seed);
            placement daemon(random);
            next.insert(choose(daemon, longPrompt(document, 20 + seed)));
        }
        EXPECT_EQ(next.size(), 1U) << document;
        EXPECT_FALSE(next.contains(home)) << document;
    }
}

// A document is requested through many daemons, each of which sends its server only a few of the requests.
TEST_F(PlacementTest, SharedPartsOnAPreferredServerCountAsCached)
{
    const auto choice = m_chooser.choose(longPrompt(1, 10), m_servers, m_engineService, now);
    ASSERT_TRUE(choice.has_value());
    EXPECT_EQ(choice->unreadTokens, 3000U);
}

TEST_F(PlacementTest, APromptGoesToTheServerThatHasItsPartsCached)
{
    const placement_request request = longPrompt(1, 10);
    const std::string home = choose(m_chooser, request);
    const instance_id elsewhere(home == "e3" ? "e4" : "e3");
    m_chooser.recordSent(elsewhere, request, cacheTokens);
    EXPECT_EQ(choose(m_chooser, request), elsewhere.text());
    m_chooser.forget(elsewhere);
    EXPECT_EQ(choose(m_chooser, request), home);
}

TEST_F(PlacementTest, EvictedPartsDoNotCountAsCached)
{
    const placement_request request = longPrompt(1, 10);
    const std::string home = choose(m_chooser, request);
    const instance_id elsewhere(home == "e3" ? "e4" : "e3");
    m_chooser.recordSent(elsewhere, request, cacheTokens);
    m_chooser.recordSent(elsewhere, longPrompt(2, 20), 17000);
    EXPECT_EQ(choose(m_chooser, request), home);
}

TEST_F(PlacementTest, ExcludesOtherVersionsLeavingServersAndTriedServers)
{
    placement_request request = longPrompt(1, 10);
    request.onlyVersion = version_name("v2");
    std::set<std::string> used;
    for (uint64_t i = 0; i < 30; ++i) {
        request.parts[0].id = i;
        used.insert(choose(m_chooser, request));
    }
    EXPECT_EQ(used, (std::set<std::string> { "e6", "e7", "e8" }));
    request.excluded = { *m_servers.find(instance_id("e6")), *m_servers.find(instance_id("e7")) };
    EXPECT_EQ(choose(m_chooser, request), "e8");
    listed_server leaving = makeServer("e8", advice, "b", "v2");
    leaving.leaving = true;
    m_servers.replaceListed({ leaving });
    EXPECT_EQ(choose(m_chooser, request), "none");
}

// Short calls to servers of which one is slowed down by its neighbour on the host.
TEST_F(PlacementTest, PlainCallsGoToTheLeastLoadedServerNearby)
{
    placement_request request;
    request.service = desk;
    request.failureDomain = failure_domain_name("a");
    for (int i = 0; i < 10; ++i) {
        const std::string server = choose(m_chooser, request);
        EXPECT_TRUE(server == "d1" || server == "d3") << server;
    }
    for (const char* id : { "d1", "d3" })
        m_servers.reportLoad(*m_servers.find(instance_id(id)), 6, false);
    m_servers.reportSlowdown(*m_servers.find(instance_id("d0")), 2.5, now);
    EXPECT_EQ(choose(m_chooser, request), "d2");
}

// Servers are slowed down for short times only, and a daemon gets a report of it at most every few seconds.
TEST_F(PlacementTest, AReportedSlowdownExpiresSoon)
{
    const std::string home = choose(m_chooser, longPrompt(1, 10));
    const server_handle server = *m_servers.find(instance_id(home));
    m_servers.addPendingPromptTokens(server, 4000);
    m_servers.reportSlowdown(server, 3, now);
    EXPECT_NE(choose(m_chooser, longPrompt(1, 11)), home);
    EXPECT_EQ(choose(m_chooser, longPrompt(1, 11), now + std::chrono::seconds(3)), home);
}

TEST_F(PlacementTest, AServerThatFailedIsTheLastResort)
{
    placement_request request;
    request.service = desk;
    request.failureDomain = failure_domain_name("a");
    m_servers.reportFailure(*m_servers.find(instance_id("d1")), now);
    EXPECT_EQ(choose(m_chooser, request), "d3");
    for (const char* id : { "d0", "d2", "d3" })
        m_servers.reportFailure(*m_servers.find(instance_id(id)), now);
    EXPECT_NE(choose(m_chooser, request), "none");
}

} // namespace pollen
