#include "relay_fixture.h"

namespace pollen {

namespace {

class RelayPathTest : public testing::Test {
protected:
    static constexpr duration tickInterval = std::chrono::milliseconds(10);

    void SetUp() override { m_ticker.startRepeating(tickInterval); }

    void start(int version = 1)
    {
        m_store.put("keyed.op", "config", configuration(version));
        m_relay.start();
        EXPECT_TRUE(m_loop.runUntil([&] { return m_relay.gateway().ready(); }, patience));
        // It reads the list of daemons, by which repeats are divided, at the same time; a tick takes it over.
        m_loop.runUntil([] { return false; }, 3 * tickInterval);
    }

    void list(const char* id, const char* service, const backend_standin& backend, const char* state = "ready",
        const char* version = "v1")
    {
        m_store.put("keyed.servers", id, serverEntry(service, backend.address(), state, version));
    }

    // A caller's request; the last header of a name wins.
    static http_request request(const char* method, const char* target, http_headers more = {})
    {
        http_request message { method, target, std::move(more), "" };
        message.headers.emplace_back("Host", "h.example");
        message.headers.emplace_back("Pollenroute-Request-Id", "id-1");
        message.headers.emplace_back("Pollenroute-Deadline-Ms", "1500");
        message.headers.emplace_back("Pollenroute-Key", "key");
        return message;
    }

    struct answer {
        exchange_result result;
        http_response response;
    };
    answer send(const http_request& message)
    {
        std::optional<answer> got;
        m_caller.fetch(m_front.address(), message, {}, [&](const exchange_result& result, const http_response& reply) {
            got = answer { result, reply };
        });
        EXPECT_TRUE(m_loop.runUntil([&] { return got.has_value(); }, patience));
        return got.value_or(answer {});
    }

    // Until the condition holds; false when it never does.
    bool eventually(const std::function<bool()>& condition) { return m_loop.runUntil(condition, patience); }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    node_settings m_settings { instance_id("d1"), failure_domain_name("a"), { "127.0.0.1", 0 }, { "127.0.0.1", 0 },
        m_store.address(), { "127.0.0.1", 0 }, std::chrono::seconds(2), std::chrono::milliseconds(300),
        std::chrono::seconds(8), std::chrono::milliseconds(1500), std::chrono::seconds(5), repeatShare, repeatSlack,
        repeatWindow, exposureShare, exposureSlack };
    platform_relay m_relay { m_loop, m_settings, m_log, m_time };
    http_server m_front { m_loop, { "127.0.0.1", 0 }, {},
        [this](const std::shared_ptr<server_request>& message) { m_relay.gateway().handle(message); } };
    http_client m_caller { m_loop };
    timer m_ticker { m_loop, [this] { m_relay.tick(m_time.now()); } };
};

} // namespace

TEST_F(RelayPathTest, PassesARequestOnAndItsAnswerBack)
{
    backend_standin desk(m_loop, { answers(200, "done", { { "X-Other", "kept" } }) });
    list("i-1", "desk", desk);
    start();
    const auto [result, response] = send(request("GET", "/r/x?y=z"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "done");
    EXPECT_EQ(findHeader(response.headers, "Pollenroute-Response-Seal"), "seal");
    EXPECT_EQ(findHeader(response.headers, "X-Other"), "kept");
    ASSERT_EQ(desk.requests().size(), 1U);
    EXPECT_EQ(desk.requests()[0].target, "/r/x?y=z");
    EXPECT_EQ(desk.header(0, "Pollenroute-Expect-Instance"), "i-1");
    EXPECT_EQ(desk.header(0, "Pollenroute-Tenant"), "team");
    EXPECT_EQ(desk.header(0, "Pollenroute-Key"), "");
    EXPECT_EQ(desk.header(0, "Host"), "h.example");
    EXPECT_LE(std::stoi(desk.header(0, "Pollenroute-Deadline-Ms")), 1500);
}

TEST_F(RelayPathTest, RefusesWhatTheConfigurationDoesNotAllow)
{
    backend_standin desk(m_loop, { answers(200, "done") });
    list("i-1", "desk", desk);
    start();
    http_request unknown = request("GET", "/nowhere/");
    EXPECT_EQ(send(unknown).response.status, 404);
    http_request stranger { "GET", "/r/x", { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id" } }, "" };
    EXPECT_EQ(send(stranger).response.status, 401);
    stranger.target = "/open/x";
    EXPECT_EQ(send(stranger).response.status, 200);
    EXPECT_EQ(desk.requests().size(), 1U);
}

// Whether a request runs again, and what its caller hears, for each way in which a server fails.
TEST_F(RelayPathTest, RepeatsWhatMayBeRepeatedAndTellsTheTruthAboutTheRest)
{
    struct failure {
        const char* what;
        behaviour first;
        const char* path;
        int status;
        size_t sends;
    };
    const behaviour fails = answers(500, "failed");
    const std::vector<failure> cases {
        { "full, read", isFull, "/r/x", 200, 2 },
        { "full, order", isFull, "/o/x", 200, 2 },
        { "another instance, order", hasMoved, "/o/x", 200, 2 },
        { "breaks off, read", breaksOff, "/r/x", 200, 2 },
        { "breaks off, order", breaksOff, "/o/x", 502, 1 },
        { "fails, read", fails, "/r/x", 200, 2 },
        { "fails, order", fails, "/o/x", 500, 1 },
        { "503 without a word of not running, order", answers(503, "?"), "/o/x", 502, 1 },
        { "hangs, order", hangs, "/o/x", 504, 1 },
    };
    int server = 0;
    start();
    for (const failure& expected : cases) {
        backend_standin one(m_loop, { expected.first, answers(200, "done") });
        const std::string id = "i-" + std::to_string(++server);
        list(id.c_str(), "desk", one);
        ASSERT_TRUE(eventually([&] { return m_relay.state().servers().find(instance_id(id)).has_value(); }));
        const auto [result, response] = send(request(expected.path[1] == 'r' ? "GET" : "POST", expected.path));
        EXPECT_EQ(response.status, expected.status) << expected.what;
        EXPECT_EQ(one.requests().size(), expected.sends) << expected.what;
        m_store.put("keyed.servers", id, std::nullopt);
        ASSERT_TRUE(eventually([&] { return !m_relay.state().servers().find(instance_id(id)).has_value(); }));
    }
}

TEST_F(RelayPathTest, CountsByRouteTeamAndReason)
{
    backend_standin desk(m_loop, { answers(200, "done") });
    list("i-1", "desk", desk);
    start();
    send(request("GET", "/r/x"));
    send(request("GET", "/nowhere/"));
    const std::string text = m_relay.renderMetrics();
    const auto has = [&](const char* line) { return text.find(line) != std::string::npos; };
    EXPECT_TRUE(has("pollen_relay_requests_total{outcome=\"answered\",reason=\"\",route=\"read\",team=\"team\"} 1"))
        << text;
    EXPECT_TRUE(has("pollen_relay_requests_total{outcome=\"refused\",reason=\"unknown_route\",route=\"\",team=\"\"} 1"))
        << text;
    EXPECT_TRUE(has("pollen_relay_team_first_byte_seconds_count{team=\"team\"} 1"));
    EXPECT_TRUE(has("pollen_relay_open_requests 0"));
}

// Pattern: all daemons have been restarted at once, and callers are at the door before the fleet has been read.
TEST_F(RelayPathTest, ADaemonThatHasJustStartedAsksItsCallersBackSoon)
{
    const auto [result, response] = send(request("GET", "/r/x"));
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_LT(std::stod(std::string(findHeader(response.headers, "Retry-After"))), 0.3);
}

// Pattern: all daemons of the fleet restart; what their callers send at once arrives before the first view.
TEST_F(RelayPathTest, ARequestWaitsForTheFirstViewOfTheFleet)
{
    backend_standin desk(m_loop, { answers(200, "done") });
    list("i-1", "desk", desk);
    m_store.put("keyed.op", "config", configuration(1));
    timer late(m_loop, [this] { m_relay.start(); });
    late.startOnce(std::chrono::milliseconds(100));
    EXPECT_EQ(send(request("GET", "/r/x")).response.body, "done");
}

TEST_F(RelayPathTest, ARefusalSaysThatNothingRanAndWhenToReturn)
{
    backend_standin full(m_loop, { isFull });
    list("i-1", "desk", full);
    start();
    const auto [result, response] = send(request("POST", "/o/x"));
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_GT(std::stod(std::string(findHeader(response.headers, "Retry-After"))), 0);
}

// Pattern: a service has lost all servers but one, and that one turns away what its queue does not hold. Requests that
// came back at once, four times in twenty milliseconds, made up most of what it had to turn away.
TEST_F(RelayPathTest, ARequestThatAllServersTurnAwayWaitsForRoom)
{
    std::vector<time_point> arrivals;
    const auto noting = [&](const behaviour& then) {
        return [&arrivals, then, this](const std::shared_ptr<server_request>& request) {
            arrivals.push_back(m_time.now());
            then(request);
        };
    };
    backend_standin desk(m_loop, { noting(isFull), noting(isFull), noting(answers(200, "done")) });
    list("i-1", "desk", desk);
    start();
    EXPECT_EQ(send(request("POST", "/o/x")).response.body, "done");
    ASSERT_EQ(arrivals.size(), 3U);
    EXPECT_GE(arrivals[1] - arrivals[0], std::chrono::milliseconds(30));
    EXPECT_GE(arrivals[2] - arrivals[1], std::chrono::milliseconds(60));
}

TEST_F(RelayPathTest, AStreamIsContinuedElsewhereAfterItsLastWholeEvent)
{
    // Whichever server is asked first breaks off after the third event.
    int asked = 0;
    const behaviour either = [&](const std::shared_ptr<server_request>& request) {
        (asked++ == 0 ? streams(3, false) : streams(6, true))(request);
    };
    backend_standin one(m_loop, { either });
    backend_standin other(m_loop, { either });
    list("i-1", "advice", one);
    list("i-2", "advice", other);
    start();
    const auto [result, response] = send(request("POST", "/s/x"));
    EXPECT_TRUE(result.ok());
    std::string events;
    for (int id = 1; id <= 6; ++id)
        events += event(id);
    EXPECT_EQ(response.body, events);
    EXPECT_EQ(one.requests().size(), 1U);
    EXPECT_EQ(other.requests().size(), 1U);
}

// Guards against a fault that operators of similar systems met: slow but sound streams were cut. Pattern: pauses
// between events longer than the time after which a silent server is looked at.
TEST_F(RelayPathTest, ASlowButSoundStreamIsPassedOnWhole)
{
    std::vector<std::unique_ptr<timer>> timers;
    backend_standin slow(m_loop, { [&](const std::shared_ptr<server_request>& request) {
        request->startStream(200, answerHeaders(*request));
        request->sendPart(event(1));
        auto sent = std::make_shared<int>(1);
        timers.push_back(std::make_unique<timer>(m_loop, [request, sent] {
            if (*sent == 3)
                return;
            request->sendPart(event(++*sent));
            if (*sent == 3)
                request->endStream();
        }));
        timers.back()->startRepeating(std::chrono::milliseconds(1000));
    } });
    list("i-1", "advice", slow);
    start();
    http_request stream = request("POST", "/s/x", { { "Pollenroute-Model", "small" } });
    for (auto& [name, value] : stream.headers) {
        if (name == "Pollenroute-Deadline-Ms")
            value = "4000";
    }
    const auto [result, response] = send(stream);
    EXPECT_TRUE(result.ok());
    EXPECT_EQ(response.body, event(1) + event(2) + event(3));
    EXPECT_EQ(slow.requests().size(), 1U);
}

// A server that refuses new connections once a stream has begun, falls silent, and finishes the stream 2 s later.
// onBegun is called when it has fallen silent.
class refusing_server {
public:
    refusing_server(event_loop& loop, const std::function<void()>& onBegun)
        : m_server(loop, { [this, &loop, onBegun](const std::shared_ptr<server_request>& request) {
            request->startStream(200, answerHeaders(*request));
            request->sendPart(event(1));
            m_server.stopListening();
            onBegun();
            m_timers.push_back(std::make_unique<timer>(loop, [request] {
                request->sendPart(event(2) + event(3));
                request->endStream();
            }));
            m_timers.back()->startOnce(std::chrono::milliseconds(2000));
        } })
    {
    }

    const backend_standin& server() const { return m_server; }

private:
    std::vector<std::unique_ptr<timer>> m_timers;
    backend_standin m_server;
};

// Guards against LOST: a stream was broken off because its silent server refused a probe, although no other server
// could go on with it. Servers that leave or have enough connections refuse new ones and finish what runs.
TEST_F(RelayPathTest, ASilentServerThatRefusesConnectionsKeepsItsStreamIfNoOtherCanGoOn)
{
    const refusing_server refusing(m_loop, [] {});
    list("i-1", "advice", refusing.server());
    start();
    const auto [result, response] = send(request("POST", "/s/x", { { "Pollenroute-Deadline-Ms", "4000" } }));
    EXPECT_TRUE(result.ok());
    EXPECT_EQ(response.body, event(1) + event(2) + event(3));
    EXPECT_EQ(refusing.server().requests().size(), 1U);
}

// Guards against LOST: streams of servers that leave were cancelled, all at once, as such servers refuse new
// connections while they finish what runs.
TEST_F(RelayPathTest, ALeavingServerThatRefusesConnectionsKeepsItsStream)
{
    backend_standin other(m_loop, { streams(3, true) });
    endpoint address;
    const refusing_server leaving(m_loop, [&] {
        m_store.put("keyed.servers", "i-1", serverEntry("advice", address, "draining"));
        list("i-2", "advice", other);
    });
    address = leaving.server().address();
    list("i-1", "advice", leaving.server());
    start();
    const auto [result, response] = send(request("POST", "/s/x", { { "Pollenroute-Deadline-Ms", "4000" } }));
    EXPECT_TRUE(result.ok());
    EXPECT_EQ(response.body, event(1) + event(2) + event(3));
    EXPECT_EQ(other.requests().size(), 0U);
}

// And the other way about: stalled streams that sent a byte now and then never ended.
TEST_F(RelayPathTest, AStalledStreamThatTricklesEndsAtItsDeadline)
{
    std::vector<std::unique_ptr<timer>> timers;
    backend_standin stalled(m_loop, { [&](const std::shared_ptr<server_request>& request) {
        request->startStream(200, answerHeaders(*request));
        request->sendPart(event(1));
        timers.push_back(std::make_unique<timer>(m_loop, [request] { request->sendPart(":"); }));
        timers.back()->startRepeating(std::chrono::milliseconds(50));
        request->setHangUpCallback([] {});
    } });
    list("i-1", "advice", stalled);
    start();
    const time_point sent = m_time.now();
    const auto [result, response] = send(request("POST", "/s/x", { { "Pollenroute-Model", "small" } }));
    EXPECT_FALSE(result.ok()) << "it must not look complete";
    EXPECT_LT(m_time.now() - sent, std::chrono::milliseconds(2000)) << "the caller waits for 1.5 s";
}

TEST_F(RelayPathTest, TheLargestModelAnswersWhereASmallerOneDoubtsItself)
{
    backend_standin engine(m_loop,
        { streams(2, true, { { "Pollenroute-Confidence", "20" } }),
            streams(4, true, { { "Pollenroute-Confidence", "95" } }) });
    list("i-1", "advice", engine);
    start();
    const http_request any = request("POST", "/s/x", { { "Pollenroute-Model", "*" } });
    EXPECT_EQ(send(any).response.body, event(1) + event(2) + event(3) + event(4));
    ASSERT_EQ(engine.requests().size(), 2U);
    EXPECT_EQ(engine.header(0, "Pollenroute-Model"), "small");
    EXPECT_EQ(engine.header(1, "Pollenroute-Model"), "large");
}

// Guards against BUDGET: where no repeat was left, the smallest model was asked once more after the largest had failed.
TEST_F(RelayPathTest, AskingTheSmallestModelAgainIsARepeat)
{
    const http_headers doubts { { "Pollenroute-Confidence", "20" } };
    size_t turns = 0;
    bool isFirst = true;
    std::vector<time_point> sent;
    std::vector<time_point> repeated;
    // Each request is doubted once, and turned away from then on.
    backend_standin engine(m_loop, { [&](const std::shared_ptr<server_request>& request) {
        if (!std::exchange(isFirst, false))
            repeated.push_back(m_time.now());
        const bool smallest = findHeader(request->request().headers, "Pollenroute-Model") == "small";
        (smallest && turns++ % 2 == 0 ? streams(2, true, doubts) : isFull)(request);
    } });
    list("i-1", "advice", engine);
    start();
    constexpr size_t requests = 600;
    for (size_t i = 0; i < requests; ++i) {
        isFirst = true;
        sent.push_back(m_time.now());
        send(request("POST", "/s/x", { { "Pollenroute-Model", "*" } }));
    }
    const auto count = [](const std::vector<time_point>& times, time_point from, time_point to) {
        return static_cast<double>(
            std::upper_bound(times.begin(), times.end(), to) - std::upper_bound(times.begin(), times.end(), from));
    };
    // The requests of a window, of the one before or of the one half a window before, whichever are most.
    for (const time_point end : repeated) {
        double most = 0;
        for (const duration earlier : { duration(0), repeatWindow / 2, duration(repeatWindow) })
            most = std::max(most, count(sent, end - earlier - repeatWindow, end - earlier));
        ASSERT_LE(count(repeated, end - repeatWindow, end), repeatShare * most + repeatSlack)
            << repeated.size() << " repeats in " << toSeconds(repeated.back() - repeated.front()) << " s";
    }
    EXPECT_GT(repeated.size(), requests / 4) << "the bound is of use only where requests are repeated";
}

// Pattern: a server is cut off or loses power while it runs requests; its connections stay open and nothing arrives.
TEST_F(RelayPathTest, WhatRunsOnAServerThatCannotBeReachedGoesElsewhere)
{
    start();
    for (const bool begun : { false, true }) {
        std::vector<std::shared_ptr<server_request>> held;
        std::unique_ptr<backend_standin> cut;
        std::unique_ptr<backend_standin> other;
        // Whichever is asked first stops listening, keeps the connection and says nothing more.
        const auto script = [&](std::unique_ptr<backend_standin>& self) {
            return [&](const std::shared_ptr<server_request>& request) {
                if (!held.empty()) {
                    streams(4, true)(request);
                    return;
                }
                held.push_back(request);
                if (begun) {
                    request->startStream(200, answerHeaders(*request));
                    request->sendPart(event(1));
                }
                self->stopListening();
            };
        };
        cut = std::make_unique<backend_standin>(m_loop, std::vector<behaviour> { script(cut) });
        other = std::make_unique<backend_standin>(m_loop, std::vector<behaviour> { script(other) });
        list("i-1", "advice", *cut);
        list("i-2", "advice", *other);
        ASSERT_TRUE(eventually([&] {
            const auto row = m_relay.state().servers().find(instance_id("i-2"));
            return row && m_relay.state().servers().row(*row).entry.address == other->address();
        }));
        http_request patient = request("POST", "/s/x", { { "Pollenroute-Deadline-Ms", "4000" } });
        const auto [result, response] = send(patient);
        EXPECT_EQ(response.body, event(1) + event(2) + event(3) + event(4)) << (begun ? "begun" : "not begun");
        for (const char* id : { "i-1", "i-2" })
            m_store.put("keyed.servers", id, std::nullopt);
        ASSERT_TRUE(eventually([&] { return !m_relay.state().servers().find(instance_id("i-2")); }));
    }
}

// Pattern: the largest model would begin in time and still be writing when the caller's time is up.
TEST_F(RelayPathTest, TheLargestModelIsNotAskedForMoreThanItCanWriteInTime)
{
    std::shared_ptr<server_request> writing;
    const behaviour writesSlowly = [&](const std::shared_ptr<server_request>& request) {
        request->startStream(200, answerHeaders(*request, { { "Pollenroute-Confidence", "95" } }));
        request->sendPart(event(1));
        writing = request;
    };
    timer finish(m_loop, [&] {
        if (const auto request = std::exchange(writing, nullptr))
            request->endStream();
    });
    finish.startRepeating(std::chrono::milliseconds(400));
    const behaviour doubts = streams(2, true, { { "Pollenroute-Confidence", "20" } });
    backend_standin engine(m_loop, { doubts, writesSlowly, doubts });
    list("i-1", "advice", engine);
    start();
    const http_headers expects { { "Pollenroute-Model", "*" }, { "Pollenroute-Length-Hint", "10" } };
    EXPECT_EQ(send(request("POST", "/s/x", expects)).response.body, event(1));
    ASSERT_EQ(engine.requests().size(), 2U) << "nothing is known of the largest model's pace";
    const http_headers expectsMore { { "Pollenroute-Model", "*" }, { "Pollenroute-Length-Hint", "1000" } };
    EXPECT_EQ(send(request("POST", "/s/y", expectsMore)).response.body, event(1) + event(2));
    EXPECT_EQ(engine.requests().size(), 3U) << "the smaller model's answer is kept";
}

// Pattern: servers have crashed and their entries have not lapsed yet.
TEST_F(RelayPathTest, ServersThatAreGoneDoNotUseUpTheAttempts)
{
    start();
    for (const char* path : { "/s/x", "/o/x" }) {
        const char* service = path[1] == 's' ? "advice" : "desk";
        const std::string whole = path[1] == 's' ? event(1) : "done";
        backend_standin alive(m_loop, { answers(200, whole) });
        for (int i = 0; i < 3; ++i) {
            const backend_standin gone(m_loop, { hangs });
            list((std::string("gone-") + service + std::to_string(i)).c_str(), service, gone);
        }
        const std::string id = std::string("alive-") + service;
        list(id.c_str(), service, alive);
        ASSERT_TRUE(eventually([&] { return m_relay.state().servers().find(instance_id(id)).has_value(); }));
        EXPECT_EQ(send(request("POST", path)).response.body, whole) << path;
    }
}

TEST_F(RelayPathTest, WhereTheLargestModelFailsTheSmallestAnswers)
{
    const http_headers doubts { { "Pollenroute-Confidence", "20" } };
    backend_standin engine(m_loop, { streams(2, true, doubts), isFull, isFull, streams(3, true, doubts) });
    list("i-1", "advice", engine);
    start();
    const http_request any = request("POST", "/s/x", { { "Pollenroute-Model", "*" } });
    EXPECT_EQ(send(any).response.body, event(1) + event(2) + event(3));
    ASSERT_EQ(engine.requests().size(), 4U);
    EXPECT_EQ(engine.header(2, "Pollenroute-Model"), "large");
    EXPECT_EQ(engine.header(3, "Pollenroute-Model"), "small");
}

TEST_F(RelayPathTest, WorkForACallerThatHasLeftIsCancelled)
{
    backend_standin engine(m_loop, { hangs });
    list("i-1", "advice", engine);
    start();
    exchange_options impatient;
    impatient.timeout = std::chrono::milliseconds(100);
    m_caller.fetch(m_front.address(), request("POST", "/s/x"), impatient, [](auto&, auto&) {});
    EXPECT_TRUE(eventually([&] { return engine.hungUp == 1; }));
    EXPECT_EQ(m_relay.gateway().openRequests(), 0U);
}

TEST_F(RelayPathTest, ALeavingServerGetsNothingMoreAndAnUnreadableEntryNamesNoServer)
{
    backend_standin leaving(m_loop, { answers(200, "old") });
    backend_standin staying(m_loop, { answers(200, "new") });
    list("i-1", "desk", leaving, "draining");
    list("i-2", "desk", staying);
    m_store.put("keyed.servers", "i-3", "\xff nonsense");
    start();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(send(request("GET", "/r/x")).response.body, "new");
}

TEST_F(RelayPathTest, AConfigurationInForceNeverRevertsAlsoWhenHistoryIsDropped)
{
    backend_standin desk(m_loop, { answers(200, "done") });
    list("i-1", "desk", desk);
    start(5);
    m_store.put("keyed.op", "config", configuration(9, "\"other\""));
    const auto version = [&] { return m_relay.state().configuration()->configuration().version; };
    ASSERT_TRUE(eventually([&] { return version() == 9; }));
    EXPECT_EQ(send(request("GET", "/r/x")).response.status, 401);
    m_store.put("keyed.op", "config", configuration(7));
    m_store.set("forget", 1);
    m_store.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration-s":1})");
    ASSERT_TRUE(eventually([&] { return m_store.newest("keyed.status", "rollout/desk").has_value(); }));
    EXPECT_EQ(version(), 9U);
}

TEST_F(RelayPathTest, KeysAreNotHonouredOnceTheStoreHasBeenAwayForTooLong)
{
    for (const int64_t outage : { 1, 2 }) {
        backend_standin desk(m_loop, { answers(200, "done") });
        list("i-1", "desk", desk);
        if (outage == 1)
            start();
        ASSERT_TRUE(eventually([&] { return send(request("GET", "/r/x")).response.status == 200; }));
        m_store.set("outage", outage);
        ASSERT_TRUE(eventually([&] { return !m_relay.gateway().ready(); }));
        EXPECT_EQ(send(request("GET", "/r/x")).response.status, 503);
        EXPECT_EQ(send(request("GET", "/open/x")).response.status, 200) << "no key is needed there";
        m_store.set("outage", 0);
        EXPECT_TRUE(eventually([&] { return m_relay.gateway().ready(); }));
        m_store.put("keyed.servers", "i-1", std::nullopt);
    }
}

TEST_F(RelayPathTest, ARolloutIsCompletedAlsoWhenTheAnswerToTheWriteIsLost)
{
    backend_standin oldDesk(m_loop, { answers(200, "old") });
    backend_standin newDesk(m_loop, { answers(200, "new") });
    list("i-1", "desk", oldDesk);
    list("i-2", "desk", newDesk, "ready", "v2");
    m_store.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration-s":2})");
    start();
    EXPECT_EQ(send(request("GET", "/r/x")).response.body, "old");
    m_store.set("lose_answers", 3);
    ASSERT_TRUE(eventually([&] { return m_store.newest("keyed.status", "rollout/desk").has_value(); }));
    EXPECT_NE(m_store.newest("keyed.status", "rollout/desk")->find("complete"), std::string::npos);
    EXPECT_EQ(send(request("GET", "/r/x")).response.body, "new");
}

// Guards against EXPOSURE: a version whose answers had not come yet when the trial was over was completed and kept.
TEST_F(RelayPathTest, AVersionWhoseAnswersDoNotComeIsRolledBackAndNotCompleted)
{
    backend_standin oldDesk(m_loop, { answers(200, "old") });
    backend_standin newDesk(m_loop, { hangs });
    list("i-1", "desk", oldDesk);
    list("i-2", "desk", newDesk, "ready", "v2");
    start();
    int sent = 0;
    timer caller(m_loop, [&] {
        http_request read = request("GET", "/r/x", { { "Session", "s" + std::to_string(++sent) } });
        m_caller.fetch(m_front.address(), read, {}, [](const exchange_result&, const http_response&) {});
    });
    caller.startRepeating(std::chrono::milliseconds(20));
    m_store.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration-s":4})");
    ASSERT_TRUE(eventually([&] { return m_store.newest("keyed.status", "rollout/desk").has_value(); }));
    EXPECT_NE(m_store.newest("keyed.status", "rollout/desk")->find("rolled_back"), std::string::npos);
    // A share of 0.15 of what is sent within the four seconds is what the users allow.
    EXPECT_LT(newDesk.requests().size(), 30U);
}

// Guards against REFUSED and TWICE: a server's own 503 without a statement that it has not run the request was passed
// on, which tells the caller that the request may be sent again.
TEST_F(RelayPathTest, ARejectionThatDoesNotStateThatNothingRanPromisesNothing)
{
    for (const int status : { 408, 429, 503 }) {
        backend_standin desk(m_loop, { answers(status, "half done") });
        backend_standin full(m_loop, { answers(status, "full", { { "Pollenroute-Not-Executed", "1" } }) });
        list("i-1", "desk", desk);
        if (!m_relay.gateway().ready())
            start();
        m_loop.runUntil([] { return false; }, std::chrono::milliseconds(300));
        EXPECT_EQ(send(request("POST", "/o/x")).response.status, 502) << status;
        EXPECT_EQ(desk.requests().size(), 1U) << status;
        list("i-1", "desk", full);
        m_loop.runUntil([] { return false; }, std::chrono::milliseconds(300));
        EXPECT_EQ(send(request("POST", "/o/x")).response.status, 503) << status << ", not run";
    }
}

// Guards against a daemon that ended with open requests and used what it had destroyed (shown by AddressSanitizer).
TEST_F(RelayPathTest, ADaemonThatEndsWithOpenRequestsLetsGoOfThem)
{
    backend_standin desk(m_loop, { hangs });
    list("i-1", "desk", desk);
    m_store.put("keyed.op", "config", configuration(1));
    auto daemon = std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, "d2", "a");
    ASSERT_TRUE(eventually([&] { return daemon->relay().gateway().ready(); }));
    m_caller.fetch(daemon->address(), request("POST", "/o/x"), {}, [](const exchange_result&, const http_response&) {});
    ASSERT_TRUE(eventually([&] { return desk.requests().size() == 1; }));
    daemon.reset();
    EXPECT_TRUE(eventually([&] { return desk.hungUp == 1; }));
}

// Guards against a crash: a daemon that stopped while requests waited for its first fleet state looked up their route.
TEST_F(RelayPathTest, WhatWaitsForTheFirstFleetStateIsRefusedByADaemonThatStops)
{
    const store_standin empty(m_loop, { "127.0.0.1", 0 });
    fleet_daemon daemon(m_loop, m_log, m_time, empty, "d2", "a");
    std::optional<int> status;
    m_caller.fetch(daemon.address(), request("GET", "/r/x"), {},
        [&](const exchange_result&, const http_response& response) { status = response.status; });
    ASSERT_TRUE(eventually([&] { return daemon.relay().gateway().openRequests() == 1; }));
    daemon.relay().gateway().endOpenRequests();
    ASSERT_TRUE(eventually([&] { return status.has_value(); }));
    EXPECT_EQ(*status, 503);
}

// Guards against an answer without end, which filled the daemon's memory until the platform killed it.
TEST_F(RelayPathTest, AnAnswerWithoutEndIsGivenUpBeforeItFillsTheMemory)
{
    struct endless {
        const char* what;
        const char* method;
        const char* path;
        int status;
        std::string repeated;
    };
    const std::vector<endless> cases {
        { "a plain answer", "GET", "/r/x", 200, std::string(64 << 10, 'x') },
        { "a stream without an event's end", "POST", "/s/x", 200, "data: " + std::string(64 << 10, 'x') },
        { "a failure that is not passed on", "GET", "/r/x", 500, std::string(64 << 10, 'x') },
        { "an answer that says it has not run", "POST", "/o/x", 503, std::string(64 << 10, 'x') },
    };
    // An instance of the users has 88 MB; a request may be tried six times.
    constexpr size_t mostBytes = 64U << 20;
    int server = 0;
    start();
    for (const endless& given : cases) {
        size_t sent = 0;
        std::function<void(const std::shared_ptr<server_request>&)> goOn;
        goOn = [&](const std::shared_ptr<server_request>& request) {
            sent += given.repeated.size();
            request->sendPart(given.repeated);
            request->callWhenSent([&goOn, request] { goOn(request); });
        };
        backend_standin one(m_loop, { [&](const std::shared_ptr<server_request>& request) {
            const http_headers notRun { { "Pollenroute-Not-Executed", "1" } };
            request->startStream(given.status, answerHeaders(*request, given.status == 503 ? notRun : http_headers {}));
            goOn(request);
        } });
        const std::string id = "i-" + std::to_string(++server);
        list(id.c_str(), given.path[1] == 's' ? "advice" : "desk", one);
        ASSERT_TRUE(eventually([&] { return m_relay.state().servers().find(instance_id(id)).has_value(); }));
        const auto [result, response] = send(request(given.method, given.path));
        EXPECT_NE(response.status, 200) << given.what;
        EXPECT_LT(response.body.size(), 1024U) << given.what;
        EXPECT_LE(sent, mostBytes) << given.what;
        m_store.put("keyed.servers", id, std::nullopt);
        ASSERT_TRUE(eventually([&] { return !m_relay.state().servers().find(instance_id(id)).has_value(); }));
    }
}

// Guards against LOST: many events without end, each within its limit, filled the daemon's memory together.
TEST_F(RelayPathTest, EventsWithoutEndShareTheMemoryOfAnswers)
{
    constexpr size_t callers = 120;
    constexpr size_t eventBytes = 200U << 10;
    constexpr size_t memoryOfAnswers = 16U << 20;
    backend_standin endless(m_loop, { [&](const std::shared_ptr<server_request>& request) {
        request->startStream(200, answerHeaders(*request));
        request->sendPart("data: " + std::string(eventBytes, 'x'));
    } });
    list("i-1", "advice", endless);
    start();
    ASSERT_TRUE(eventually([&] { return m_relay.state().servers().find(instance_id("i-1")).has_value(); }));
    std::vector<std::unique_ptr<http_client>> clients;
    for (size_t caller = 0; caller < callers; ++caller) {
        clients.push_back(std::make_unique<http_client>(m_loop));
        http_request stream = request("POST", "/s/x", { { "Pollenroute-Deadline-Ms", "4000" } });
        for (auto& [name, value] : stream.headers)
            value = name == "Pollenroute-Request-Id" ? "id-" + std::to_string(caller) : value;
        clients.back()->fetch(m_front.address(), stream, {}, [](const exchange_result&, const http_response&) {});
    }
    ASSERT_TRUE(eventually([&] { return endless.requests().size() >= callers; }));
    m_loop.runUntil([] { return false; }, std::chrono::milliseconds(500));
    EXPECT_LE((endless.requests().size() - endless.hungUp) * eventBytes, memoryOfAnswers);
    EXPECT_GT(endless.requests().size(), endless.hungUp);
}

} // namespace pollen
