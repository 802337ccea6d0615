#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <random>
#include <scheduling/slow_answer_policy.h>

namespace pollen {

namespace {

const time_point start { std::chrono::seconds(1000) };
const service_name desk("desk");
const model_name noModel;

duration milliseconds(double count)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(count));
}

waiting_attempt attemptAfter(duration waited)
{
    return { desk, noModel, waited, milliseconds(5), std::nullopt, std::chrono::seconds(2) };
}

// Requests arrive at daemons that choose among the servers at random, in steps of 5 ms of virtual time. A request that
// is repeated is cancelled on its first server.
class simulated_load {
public:
    // Time that a server takes for a request that starts now.
    using service_time = std::function<duration(size_t server, time_point now, std::mt19937& random)>;

    struct result {
        size_t requests = 0;
        size_t repeats = 0;
        // Of the caller's waits, in milliseconds, in ascending order.
        std::vector<double> waits;

        double percentile(double share) const
        {
            return waits.at(static_cast<size_t>(share * static_cast<double>(waits.size() - 1)));
        }
    };

    simulated_load(size_t daemons, size_t servers, double extraRequests, service_time serviceTime)
        : m_fleet(daemons, slow_answer_policy(extraRequests))
        , m_servers(servers)
        , m_serviceTime(std::move(serviceTime))
    {
    }

    // requestsPerStep: mean number of requests of the whole fleet in each step.
    void run(duration time, double requestsPerStep)
    {
        std::poisson_distribution<int> arrivals(requestsPerStep);
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            for (int i = arrivals(m_random); i > 0; --i)
                admit();
            std::erase_if(m_open, [&](open_request& request) { return advance(request); });
        }
    }

    // Requests and waits since the last call.
    result take()
    {
        std::sort(m_result.waits.begin(), m_result.waits.end());
        return std::exchange(m_result, {});
    }

private:
    static constexpr duration step = std::chrono::milliseconds(5);

    struct open_request {
        slow_answer_policy* daemon;
        size_t server;
        time_point arrivedAt;
        time_point sentAt;
        time_point answeredAt;
        std::optional<latency_window::sample_id> overdue {};
        bool repeated = false;
    };

    void admit()
    {
        slow_answer_policy& daemon = m_fleet[m_random() % m_fleet.size()];
        const size_t server = m_random() % m_servers;
        daemon.onRequest(desk, m_now);
        m_open.push_back({ &daemon, server, m_now, m_now, m_now + m_serviceTime(server, m_now, m_random) });
        ++m_result.requests;
    }

    // Returns whether the request has been answered.
    bool advance(open_request& request)
    {
        if (m_now >= request.answeredAt) {
            request.daemon->countFirstByte(desk, noModel, request.answeredAt - request.sentAt, request.overdue);
            m_result.waits.push_back(toSeconds(request.answeredAt - request.arrivedAt) * 1000);
            return true;
        }
        slow_answer_policy& daemon = *request.daemon;
        const waiting_attempt attempt = attemptAfter(m_now - request.sentAt);
        const auto usual = daemon.usualDelay(attempt);
        if (!request.overdue && usual && attempt.waited >= *usual)
            request.overdue = daemon.countOverdue(desk, noModel, attempt.waited);
        // The estimate that a placement has is far too low under load.
        constexpr duration estimate = std::chrono::milliseconds(5);
        if (request.repeated || daemon.decide(attempt, estimate, m_now) != slow_answer_decision::Repeat)
            return false;
        daemon.onRepeat(desk, m_now);
        ++m_result.repeats;
        request.repeated = true;
        request.server = (request.server + 1) % m_servers;
        request.sentAt = m_now;
        request.answeredAt = m_now + m_serviceTime(request.server, m_now, m_random);
        request.overdue.reset();
        return false;
    }

    std::vector<slow_answer_policy> m_fleet;
    size_t m_servers;
    service_time m_serviceTime;
    std::mt19937 m_random { 1 };
    time_point m_now = start;
    std::vector<open_request> m_open;
    result m_result;
};

// Between 15 and 60 ms, as plain services take.
duration healthyTime(std::mt19937& random)
{
    return milliseconds(std::uniform_real_distribution<double>(15, 60)(random));
}

duration healthyServers(size_t, time_point, std::mt19937& random) { return healthyTime(random); }

// The first of the servers takes twenty times as long as the others.
duration oneSlowServer(size_t server, time_point, std::mt19937& random)
{
    return healthyTime(random) * (server == 0 ? 20 : 1);
}

} // namespace

// Load: even traffic at 20 servers, of which one is slow. Guards against a tail that stays although the limit would
// allow to repeat all slow requests, and against repeats beyond the limit.
TEST(SlowAnswerPolicy, OneSlowServerAmongHealthyOnesLosesItsTail)
{
    constexpr double limit = 0.08;
    simulated_load without(1, 20, 0, oneSlowServer);
    simulated_load with(1, 20, limit, oneSlowServer);
    for (simulated_load* load : { &without, &with }) {
        load->run(std::chrono::seconds(10), 0.5);
        load->take();
        load->run(std::chrono::seconds(60), 0.5);
    }
    const auto before = without.take();
    const auto after = with.take();
    EXPECT_EQ(before.repeats, 0U);
    EXPECT_GT(before.percentile(0.98), 500);
    EXPECT_LT(after.percentile(0.98), 200) << "waiting for the delay and a healthy server after it";
    EXPECT_GT(after.repeats, 0U);
    EXPECT_LE(static_cast<double>(after.repeats), limit * static_cast<double>(after.requests));
}

// Load: as above with a limit far below the share of slow requests. Guards against repeats beyond the limit.
TEST(SlowAnswerPolicy, TheLimitHoldsWhereMoreRequestsAreSlow)
{
    simulated_load load(1, 10, 0.01, oneSlowServer);
    load.run(std::chrono::seconds(120), 0.5);
    const auto result = load.take();
    EXPECT_GT(result.repeats, 0U);
    EXPECT_LE(static_cast<double>(result.repeats), 0.01 * static_cast<double>(result.requests));
}

// Load: after a quiet time all servers become slow at once, with an operators' limit that would allow to repeat each
// request. Guards against a storm of repeats, which the learned delay and the comparison with the usual wait must
// prevent without the limit.
TEST(SlowAnswerPolicy, NothingIsRepeatedOnceAllServersAreSlow)
{
    const time_point peak = start + std::chrono::seconds(30);
    const auto slowAfterPeak
        = [&](size_t, time_point now, std::mt19937& random) { return healthyTime(random) * (now < peak ? 1 : 20); };
    simulated_load load(1, 20, 1, slowAfterPeak);
    load.run(std::chrono::seconds(30), 1);
    load.take();
    load.run(std::chrono::seconds(5), 1);
    const auto onset = load.take();
    EXPECT_LE(static_cast<double>(onset.repeats), 0.1 * static_cast<double>(onset.requests))
        << "while the delay follows the load";
    load.run(std::chrono::seconds(30), 1);
    const auto afterwards = load.take();
    EXPECT_LE(static_cast<double>(afterwards.repeats), 0.01 * static_cast<double>(afterwards.requests));
}

// Load: a burst of ten times the usual requests for one second, which the servers work off with a delay that grows and
// falls. Guards against repeats that add to a queue.
TEST(SlowAnswerPolicy, ABurstCausesFewRepeats)
{
    const time_point burst = start + std::chrono::seconds(30);
    const auto queueing = [&](size_t, time_point now, std::mt19937& random) {
        const double sinceBurst = toSeconds(now - burst);
        const bool isQueueing = sinceBurst > 0 && sinceBurst < 3;
        const double queue = isQueueing ? std::min(sinceBurst, (3 - sinceBurst) / 2) : 0;
        return healthyTime(random) + milliseconds(queue * 800);
    };
    simulated_load load(1, 20, 1, queueing);
    load.run(std::chrono::seconds(30), 0.5);
    load.take();
    load.run(std::chrono::seconds(1), 5);
    load.run(std::chrono::seconds(4), 0.5);
    const auto result = load.take();
    EXPECT_LE(static_cast<double>(result.repeats), 0.05 * static_cast<double>(result.requests));
}

// Load: many daemons with the same limit, each with little traffic, before one slow server in ten. Guards against
// parts of the limit that add up to more, as a slack for each daemon would.
TEST(SlowAnswerPolicy, ManyDaemonsStayWithinTheSameLimitTogether)
{
    constexpr double limit = 0.03;
    for (const size_t daemons : { 6, 72, 300 }) {
        simulated_load load(daemons, 10, limit, oneSlowServer);
        load.run(std::chrono::seconds(60), 2);
        const auto result = load.take();
        EXPECT_LE(static_cast<double>(result.repeats), limit * static_cast<double>(result.requests)) << daemons;
        EXPECT_GT(result.repeats, 0U) << daemons;
    }
}

// Load: every request to one server is slow. Guards against a feature that is not off with a limit of 0.
TEST(SlowAnswerPolicy, ALimitOfZeroRepeatsNothing)
{
    EXPECT_FALSE(slow_answer_policy(0).isEnabled());
    simulated_load load(3, 10, 0, oneSlowServer);
    load.run(std::chrono::seconds(30), 1);
    EXPECT_EQ(load.take().repeats, 0U);
}

// Load: healthy servers with the usual spread only. Guards against repeats for noise.
TEST(SlowAnswerPolicy, HealthyServersGetNoRepeats)
{
    simulated_load load(1, 10, 1, healthyServers);
    load.run(std::chrono::seconds(30), 1);
    EXPECT_EQ(load.take().repeats, 0U);
}

// Guards against each single rule being dropped: a table of attempts against a service that answers in 20 ms, one
// request in ten in 200 ms.
TEST(SlowAnswerPolicy, DecidesByWaitGainAndObjective)
{
    struct attempt_case {
        const char* what;
        waiting_attempt attempt;
        duration otherServersWait;
        slow_answer_decision decision;
    };
    const auto attempt = [](double waited, double expected, std::optional<double> objective, double left) {
        return waiting_attempt { desk, noModel, milliseconds(waited), milliseconds(expected),
            objective ? std::optional(milliseconds(*objective)) : std::nullopt, milliseconds(left) };
    };
    using enum slow_answer_decision;
    const std::vector<attempt_case> cases {
        { "as long as usual", attempt(199, 5, {}, 2000), milliseconds(5), NotSlow },
        { "longer than usual", attempt(200, 5, {}, 2000), milliseconds(5), Repeat },
        { "a long wait was expected", attempt(200, 150, {}, 2000), milliseconds(5), NotSlow },
        { "the other server is hardly faster", attempt(200, 5, {}, 2000), milliseconds(101), NoGain },
        { "the usual wait does not fit before the deadline", attempt(200, 5, {}, 39), milliseconds(5), NoGain },
        { "a repeat still meets the objective", attempt(130, 5, 150, 2000), milliseconds(5), Repeat },
        { "before that time", attempt(129, 5, 150, 2000), milliseconds(5), NotSlow },
        { "a repeat would miss the objective", attempt(131, 5, 150, 2000), milliseconds(5), NoGain },
        { "an objective that leaves almost nothing", attempt(59, 5, 50, 2000), milliseconds(5), NotSlow },
    };
    slow_answer_policy policy(1);
    policy.onRequest(desk, start);
    constexpr int samples = 200;
    for (int i = 0; i < samples; ++i)
        policy.countFirstByte(desk, noModel, milliseconds(i % 10 == 0 ? 200 : 20), std::nullopt);
    for (const attempt_case& given : cases)
        EXPECT_EQ(policy.decide(given.attempt, given.otherServersWait, start), given.decision) << given.what;
    policy.onRepeat(desk, start);
    EXPECT_EQ(policy.decide(attempt(200, 5, {}, 2000), milliseconds(5), start), DeniedByLimit);
    EXPECT_EQ(
        policy.decide({ service_name("other"), noModel, std::chrono::seconds(1), {}, {}, std::chrono::seconds(1) },
            milliseconds(5), start),
        NotSlow)
        << "nothing is known of the service";
}

// Guards against a limit that an idle time or a change of the window's parts loosens.
TEST(ExtraRequestLimit, CountsTheLastMinuteOnly)
{
    extra_request_limit limit(0.1);
    EXPECT_FALSE(limit.allows(desk, start));
    for (int i = 0; i < 10; ++i)
        limit.onRequest(desk, start);
    EXPECT_TRUE(limit.allows(desk, start + std::chrono::seconds(50)));
    EXPECT_FALSE(limit.allows(service_name("other"), start)) << "services have limits of their own";
    limit.onExtraRequest(desk, start);
    EXPECT_FALSE(limit.allows(desk, start + std::chrono::seconds(50)));
    EXPECT_FALSE(limit.allows(desk, start + std::chrono::seconds(60))) << "the requests have expired as well";
}

} // namespace pollen
