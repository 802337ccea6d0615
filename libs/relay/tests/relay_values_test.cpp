#include <gtest/gtest.h>
#include <random>
#include <relay/answer_buffer.h>
#include <relay/attempt_history.h>
#include <relay/event_splitter.h>
#include <relay/latency_baseline.h>
#include <relay/log_budget.h>
#include <relay/relay_state.h>
#include <relay/session_versions.h>
#include <relay/stall_detector.h>
#include <scheduling/answer_time_estimator.h>
#include <scheduling/escalation_control.h>

namespace pollen {

namespace {

const time_point start { std::chrono::seconds(1000) };

relay_configuration sampleConfiguration(uint64_t version)
{
    relay_configuration configuration;
    configuration.version = version;
    for (const char* prefix : { "/a/", "/a/b/", "/", "/a/b/c/d/" }) {
        relay_route route;
        route.name = prefix;
        route.host = "one.example";
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    }
    configuration.routes[2].host = "two.example";
    configuration.teams = std::vector<relay_team> { { team_name("team"), { "key-1", "key-2" }, 1 } };
    return configuration;
}

} // namespace

TEST(IndexedConfiguration, FindsTheRouteWithTheLongestPrefixOfThePath)
{
    const indexed_configuration configuration(sampleConfiguration(1));
    struct lookup {
        const char* host;
        const char* path;
        const char* route;
    };
    const std::vector<lookup> cases {
        { "one.example", "/a/x", "/a/" },
        { "one.example", "/a/b/x/y", "/a/b/" },
        { "one.example", "/a/b/", "/a/b/" },
        { "one.example", "/a/b", "/a/" },
        { "one.example", "/a/b/c/d/e", "/a/b/c/d/" },
        { "one.example", "/ab/x", "" },
        { "one.example", "", "" },
        { "two.example", "/anything", "/" },
        { "three.example", "/a/x", "" },
    };
    for (const lookup& wanted : cases) {
        const relay_route* route = configuration.findRoute(wanted.host, wanted.path);
        EXPECT_EQ(route ? route->name : "", wanted.route) << wanted.host << wanted.path;
    }
}

TEST(IndexedConfiguration, FindsTeamsByAnyOfTheirKeys)
{
    const indexed_configuration configuration(sampleConfiguration(1));
    ASSERT_NE(configuration.findTeam("key-2"), nullptr);
    EXPECT_EQ(configuration.findTeam("key-2")->name, team_name("team"));
    EXPECT_EQ(configuration.findTeam("key-3"), nullptr);
    EXPECT_EQ(configuration.findTeam(""), nullptr);
}

TEST(RelayState, NeverGoesBackToAnOlderConfiguration)
{
    relay_state state({});
    EXPECT_TRUE(state.install(sampleConfiguration(5)));
    EXPECT_FALSE(state.install(sampleConfiguration(4)));
    EXPECT_FALSE(state.install(sampleConfiguration(5)));
    EXPECT_EQ(state.configuration()->configuration().version, 5U);
    EXPECT_TRUE(state.install(sampleConfiguration(9)));
}

TEST(RelayState, HonoursKeysOnlyWhileTheConfigurationIsKnownToBeCurrent)
{
    relay_state strict({ std::chrono::seconds(4), std::chrono::seconds(2) });
    EXPECT_TRUE(strict.keysOutdated(start));
    strict.setConfigurationConfirmed(start);
    EXPECT_FALSE(strict.keysOutdated(start + std::chrono::seconds(4)));
    EXPECT_TRUE(strict.keysOutdated(start + std::chrono::milliseconds(4001)));
    strict.setConfigurationConfirmed(start - std::chrono::seconds(3));
    EXPECT_FALSE(strict.keysOutdated(start + std::chrono::seconds(4))) << "a late response does not move the time back";
    relay_state lenient({});
    EXPECT_FALSE(lenient.keysOutdated(start + std::chrono::hours(1)));
}

// Guards against DENIED: a "no" was given by a configuration of any age.
TEST(RelayState, DeniesOnlyWhileTheConfigurationIsKnownToBeCurrent)
{
    relay_state state({ std::nullopt, std::chrono::seconds(2) });
    EXPECT_TRUE(state.denialsOutdated(start));
    state.setConfigurationConfirmed(start);
    EXPECT_FALSE(state.denialsOutdated(start + std::chrono::seconds(2)));
    EXPECT_TRUE(state.denialsOutdated(start + std::chrono::milliseconds(2001)));
}

// Guards against requests that are held although no newer configuration is to be had.
TEST(RelayState, AwaitsAConfirmationForABoundedTime)
{
    relay_state state({ std::nullopt, std::chrono::seconds(2) });
    const time_point asked = start + std::chrono::seconds(9);
    EXPECT_TRUE(state.waitForConfirmation(asked));
    EXPECT_TRUE(state.waitForConfirmation(asked + std::chrono::milliseconds(299)));
    EXPECT_FALSE(state.waitForConfirmation(asked + std::chrono::milliseconds(300)));
    EXPECT_FALSE(state.waitForConfirmation(asked + std::chrono::seconds(9)));
    state.setConfigurationConfirmed(start);
    EXPECT_TRUE(state.waitForConfirmation(asked + std::chrono::seconds(9))) << "there is a source again";
    state.setConfigurationConfirmed(start - std::chrono::seconds(1));
    EXPECT_FALSE(state.waitForConfirmation(asked + std::chrono::seconds(10)));
}

TEST(EventSplitter, ReturnsCompleteEventsForAnySplitOfTheBytes)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\r\ndata: d\r\n\r\nid: 4\ndata: cut";
    const std::string whole = stream.substr(0, stream.find("id: 4"));
    for (const size_t step : { size_t { 1 }, size_t { 3 }, size_t { 7 }, stream.size() }) {
        event_splitter splitter;
        std::string events;
        for (size_t at = 0; at < stream.size(); at += step)
            events += splitter.feed(std::string_view(stream).substr(at, step));
        EXPECT_EQ(events, whole) << step;
        EXPECT_EQ(splitter.lastEventId(), 3U) << step;
        EXPECT_EQ(splitter.partialEvent(), "id: 4\ndata: cut") << step;
    }
}

// Guards against ORDER: events that do not follow the last one were passed on.
TEST(EventSplitter, OnlyTheNextEventIsComplete)
{
    for (const char* next :
        { "data: y\n\n", "id: z\ndata: y\n\n", "id: 7\ndata: y\n\n", "id: 9\ndata: y\n\n", "id: 8\n\n",
            "id: 1\ndata: y\n\n", "id: 8x\ndata: y\n\n", "id\ndata: y\n\n", "id: 8\nid: 8\ndata: y\n\n" }) {
        event_splitter splitter({}, 6);
        EXPECT_EQ(splitter.lastEventId(), 6U);
        EXPECT_EQ(splitter.feed("id: 7\ndata: x\n\n"), "id: 7\ndata: x\n\n");
        EXPECT_EQ(splitter.feed(next), "") << next;
        EXPECT_NE(splitter.fault(), stream_fault::None) << next;
        EXPECT_EQ(splitter.feed("\nid: 8\ndata: y\n\n"), "") << "nothing behind a fault belongs to the stream";
        EXPECT_EQ(splitter.lastEventId(), 7U) << next;
        splitter.endRun();
        EXPECT_EQ(splitter.feed("id: 8\ndata: y\n\n"), "id: 8\ndata: y\n\n") << next;
        EXPECT_EQ(splitter.fault(), stream_fault::None) << next;
    }
}

TEST(SessionVersions, AnIdleSessionExpires)
{
    session_versions sessions(std::chrono::seconds(5));
    sessions.recordUse(1, version_name("v1"), start);
    EXPECT_EQ(sessions.find(1, start + std::chrono::seconds(5)), version_name("v1"));
    EXPECT_EQ(sessions.find(1, start + std::chrono::seconds(6)), std::nullopt);
    EXPECT_EQ(sessions.find(2, start), std::nullopt);
}

// Guards against confusing slow engines with unreachable ones: neither sends anything.
TEST(StallDetector, ProbesAServerInactiveForLongerThanExpected)
{
    const auto after = [](int milliseconds) { return start + std::chrono::milliseconds(milliseconds); };
    stall_detector detector;
    EXPECT_FALSE(detector.isProbeDue(start)) << "no request has been sent";
    detector.start(start, std::chrono::milliseconds(500), std::chrono::seconds(12));
    EXPECT_FALSE(detector.isProbeDue(after(1200)));
    EXPECT_TRUE(detector.isProbeDue(after(1300)));
    detector.onProbeStarted();
    EXPECT_FALSE(detector.isProbeDue(after(1300))) << "a probe is in progress";
    detector.onReachable(after(1400));
    EXPECT_FALSE(detector.isProbeDue(after(2900)));
    EXPECT_TRUE(detector.isProbeDue(after(3000)));
    detector.onActivity(after(3000));
    EXPECT_FALSE(detector.isProbeDue(after(3700)));
    EXPECT_TRUE(detector.isProbeDue(after(3800)));
}

TEST(StallDetector, AShortDeadlineLeavesTimeForAnotherAttempt)
{
    stall_detector detector;
    detector.start(start, duration(0), std::chrono::milliseconds(600));
    EXPECT_TRUE(detector.isProbeDue(start + std::chrono::milliseconds(150)));
}

TEST(AttemptHistory, ListsAttemptsAndHowTheyEnded)
{
    attempt_history history;
    history.endAttempt(duration(0), "nothing was tried");
    EXPECT_EQ(history.text(), "");
    history.addAttempt(std::chrono::milliseconds(3), instance_id("i-1"), model_name("small"), duration(20000));
    history.endAttempt(std::chrono::milliseconds(40), "escalated");
    history.endAttempt(std::chrono::milliseconds(41), "only the first reason is kept");
    history.addAttempt(std::chrono::milliseconds(40), instance_id("i-2"), model_name(), duration(0));
    EXPECT_EQ(history.text(), "3ms i-1 small wait 20ms: escalated at 40ms; 40ms i-2 wait 0ms");
}

// Engines read long prompts between the tokens of a response, so that responses of the largest model take seconds from
// first to last byte; a few take far longer than expected.
TEST(AnswerPace, ExpectsTheEightiethPercentile)
{
    const service_name service("advice");
    answer_time_estimator pace;
    EXPECT_EQ(pace.estimate(service, 100), duration(0)) << "no response has been counted";
    for (int i = 0; i < 500; ++i)
        pace.count(service, 50, std::chrono::milliseconds(i % 10 == 9 ? 5000 : 100 * (i % 10 + 1)));
    const duration expected = pace.estimate(service, 100);
    EXPECT_GT(expected, std::chrono::milliseconds(1200));
    EXPECT_LT(expected, std::chrono::milliseconds(2400));
    EXPECT_EQ(pace.estimate(service_name("other"), 100), duration(0));
}

TEST(AnswerPace, AdaptsToEnginesThatSlowDown)
{
    const service_name service("advice");
    answer_time_estimator pace;
    for (int i = 0; i < 50; ++i)
        pace.count(service, 50, std::chrono::milliseconds(500));
    for (int i = 0; i < 40; ++i)
        pace.count(service, 50, std::chrono::milliseconds(3000));
    EXPECT_GT(pace.estimate(service, 50), std::chrono::milliseconds(2500));
}

// The engine of the largest model has a queue, and each request that joins it delays those behind. The responses with
// the lowest confidence are therefore escalated first, and those of medium confidence are kept.
TEST(EscalationControl, ALongerQueueRequiresALowerConfidence)
{
    const escalation_control control;
    const duration left = std::chrono::seconds(2);
    const auto strongestConfidence = [&](duration wait) {
        double confidence = 0;
        while (confidence < 1 && control.shouldEscalate(confidence, wait, left))
            confidence += 0.01;
        return confidence;
    };
    const double idle = strongestConfidence(duration(0));
    const double busy = strongestConfidence(left / 2);
    EXPECT_GT(idle, 0.4);
    EXPECT_LT(busy, idle * 0.6);
    EXPECT_GT(busy, 0);
    EXPECT_EQ(strongestConfidence(left), 0) << "the response would begin late";
    EXPECT_FALSE(control.shouldEscalate(0, duration(0), duration(0))) << "the deadline has passed";
}

// Guards against overload by escalation: the engines cannot run the largest model for every doubtful response. Each
// escalation costs as much engine time as four responses of the smallest model, and responses begin late once the
// engines are overloaded.
TEST(EscalationControl, FewerAnswersAreEscalatedWhileTheEnginesAreOverloaded)
{
    const auto shareLate = [](escalation_control& control, double capacity) {
        constexpr int answers = 2000;
        constexpr double costOfEscalation = 4;
        constexpr double memory = 0.95;
        double load = 0;
        int late = 0;
        for (int i = 0; i < answers; ++i) {
            // Confidence is distributed evenly.
            const double confidence = static_cast<double>(i * 37 % 100) / 100;
            const bool escalated = confidence < control.sufficientConfidence();
            load = load * memory + (1 - memory) * (escalated ? 1 + costOfEscalation : 1);
            const bool onTime = load <= capacity;
            late += onTime ? 0 : 1;
            control.countAnswer(onTime);
        }
        return static_cast<double>(late) / answers;
    };
    escalation_control control;
    EXPECT_EQ(shareLate(control, 5), 0);
    EXPECT_EQ(control.sufficientConfidence(), 0.5) << "with enough capacity, all doubtful responses are escalated";
    EXPECT_LT(shareLate(control, 1.8), 0.25);
    EXPECT_LT(control.sufficientConfidence(), 0.4);
    EXPECT_GT(control.sufficientConfidence(), 0.05);
    EXPECT_EQ(shareLate(control, 5), 0);
    EXPECT_EQ(control.sufficientConfidence(), 0.5) << "it rises again";
}

TEST(LogBudget, LimitsLinesIndependentlyOfTheLoad)
{
    log_budget budget(10);
    int lines = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond)
        lines += budget.take(start + std::chrono::milliseconds(millisecond)) ? 1 : 0;
    EXPECT_LE(lines, 110);
    EXPECT_GE(lines, 100);
    EXPECT_EQ(budget.droppedLines(), 10000U - static_cast<unsigned>(lines));
}

// Latencies vary by a factor of ten; half of the responses of another version take eight times as long.
TEST(UsualLatency, GradesOneOfFiveResponsesAsSlow)
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> usual(0, 0.6);
    std::bernoulli_distribution half(0.5);
    const latency_baseline::kind kind { "route", 0 };
    const latency_baseline::kind other { "route", 1 };
    const auto ms = [](double milliseconds) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
    };
    latency_baseline latencies;
    const auto isSlow = [&](double latency) { return latencies.grade(kind, ms(latency), 0) != latency_grade::Normal; };
    EXPECT_FALSE(isSlow(1000)) << "no latency has been counted";
    for (int i = 0; i < 500; ++i)
        latencies.count(kind, ms(100 * usual(random)), 0);
    int slowUsual = 0;
    int slowOther = 0;
    int verySlowUsual = 0;
    int verySlowOther = 0;
    for (int i = 0; i < 1000; ++i) {
        const double latency = 100 * usual(random);
        const double other = latency * (half(random) ? 8 : 1);
        slowUsual += isSlow(latency) ? 1 : 0;
        slowOther += isSlow(other) ? 1 : 0;
        verySlowUsual += latencies.grade(kind, ms(latency), 0) == latency_grade::VerySlow ? 1 : 0;
        verySlowOther += latencies.grade(kind, ms(other), 0) == latency_grade::VerySlow ? 1 : 0;
        latencies.count(kind, ms(latency), 0);
    }
    EXPECT_NEAR(slowUsual, 200, 50);
    EXPECT_GT(slowOther, 500);
    EXPECT_LT(verySlowUsual, 100) << "at most one in ten";
    EXPECT_GT(verySlowOther, 350);
    EXPECT_EQ(latencies.grade(other, ms(1000), 0), latency_grade::Normal) << "models have separate statistics";
}

// Half of the prompts are cached; the others cost 1 ms per 20 tokens. A long prompt must not be graded slow for its
// length.
TEST(UsualLatency, LearnsWhatAPromptTokenCosts)
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> usual(0, 0.3);
    std::bernoulli_distribution half(0.5);
    const latency_baseline::kind kind { "route", 0 };
    latency_baseline latencies;
    int slowUnread = 0;
    int unread = 0;
    for (int i = 0; i < 2000; ++i) {
        const uint32_t tokens = half(random) ? 16000 : 0;
        const std::chrono::duration<double, std::milli> took((50 + tokens / 20.0) * usual(random));
        const auto latency = std::chrono::duration_cast<duration>(took);
        if (i >= 1000 && tokens > 0) {
            ++unread;
            slowUnread += latencies.grade(kind, latency, tokens) != latency_grade::Normal ? 1 : 0;
        }
        latencies.count(kind, latency, tokens);
    }
    EXPECT_NEAR(static_cast<double>(slowUnread) / unread, 0.2, 0.1);
}

TEST(AnswerBuffer, ReservesMemoryFromABudgetAndReleasesIt)
{
    constexpr size_t megabyte = 1U << 20;
    memory_budget budget(6 * megabyte);
    const std::string bytes(megabyte, 'x');
    answer_buffer one(budget);
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(one.append(bytes));
    EXPECT_FALSE(one.append("x")) << "one response may take 4 MB";
    {
        answer_buffer other(budget);
        EXPECT_TRUE(other.append(bytes));
        EXPECT_TRUE(other.append(bytes));
        EXPECT_FALSE(other.append("x")) << "all responses together may take 6 MB";
        EXPECT_EQ(other.text().size(), 2 * megabyte);
    }
    EXPECT_EQ(budget.usedBytes(), 4 * megabyte);
    one.clear();
    EXPECT_EQ(budget.usedBytes(), 0U);
    EXPECT_TRUE(one.append("again"));
}

} // namespace pollen
