#include "fake_fleet_store.h"
#include "limit_rule.h"

#include <gtest/gtest.h>
#include <relay/permit_system.h>

namespace pollen {

namespace {

const instance_id limitedServer("s");
constexpr duration step = std::chrono::milliseconds(10);
constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr duration syncInterval = std::chrono::milliseconds(250);
// A daemon that has been restarted, frozen or cut off is excused for this long afterwards.
constexpr duration excuse = std::chrono::seconds(3);
// A daemon counts from this time after its first answer that named the limit.
constexpr duration noticeTime = std::chrono::milliseconds(500);
constexpr duration networkDelay = std::chrono::milliseconds(2);
constexpr duration runTime = std::chrono::seconds(60);

// One daemon as the others see it; the process behind it may be replaced.
struct simulated_daemon {
    listed_peer listed;
    std::unique_ptr<permit_system> permits;
    std::unique_ptr<state_exchange> exchange;
    std::unique_ptr<server_rate_limits> limits;
    state_exchange::state_source source;
    std::optional<time_point> frozenUntil;
    std::optional<time_point> cutUntil;
    std::optional<time_point> downUntil;
    std::optional<time_point> slowUntil;
    time_point excusedUntil {};
    std::optional<time_point> toldAt;
    // Events that wait for a frozen process.
    uint64_t incarnation = 0;
};

// A fleet in virtual time, with delayed messages and random faults, before one server that names a limit.
class simulated_fleet {
public:
    simulated_fleet(uint64_t seed, size_t domains, size_t daemonsPerDomain)
        : m_random(seed)
        , m_domains(domains)
    {
        m_time.advance(std::chrono::seconds(1000));
        for (size_t i = 0; i < domains * daemonsPerDomain; ++i)
            join();
        m_limit = std::uniform_real_distribution<double>(0.3, 20)(m_random);
        m_limitChanges = { { m_time.now(), m_limit } };
    }

    void run(bool withFaults)
    {
        const time_point end = m_time.now() + runTime;
        time_point nextFault = m_time.now() + std::chrono::seconds(4);
        while (m_time.now() < end) {
            m_time.advance(step);
            const time_point now = m_time.now();
            if (withFaults && now >= nextFault) {
                nextFault = now + std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 3000)(m_random));
                injectFault();
            }
            recover();
            runEvents();
            for (simulated_daemon& daemon : m_daemons) {
                if (isRunning(daemon) && (now.time_since_epoch() / step) % (tickInterval / step) == 0)
                    daemon.permits->tick(now);
            }
            if ((now.time_since_epoch() / step) % (syncInterval / step) == 0)
                shareLimits();
            sendRequests();
        }
    }

    // The number of requests beyond what the rule allows, over all windows; at most 0 if the rule holds.
    double excess() const
    {
        double most = -1;
        for (size_t first = 0, last = 0; last < m_counted.size(); ++last) {
            while (m_counted[last] - m_counted[first] > limitRuleWindow)
                ++first;
            const double allowed = allowedInWindow(highestLimit(m_counted[first] - noticeTime, m_counted[last]));
            most = std::max(most, static_cast<double>(last - first + 1) - allowed);
        }
        return most;
    }

    // Requests that reached the server, as a share of its limit over the run.
    double use() const
    {
        double offered = 0;
        for (size_t i = 0; i < m_limitChanges.size(); ++i) {
            const time_point until = i + 1 < m_limitChanges.size() ? m_limitChanges[i + 1].first : m_time.now();
            offered += m_limitChanges[i].second * toSeconds(until - m_limitChanges[i].first);
        }
        return static_cast<double>(m_arrivals) / offered;
    }

    const std::string& history() const { return m_history; }

private:
    class exchange final : public state_exchange {
    public:
        exchange(simulated_fleet& fleet, size_t self)
            : m_fleet(fleet)
            , m_self(self)
        {
        }
        void fetch(const endpoint& peer, const std::string& request, state_callback callback) override
        {
            m_fleet.transmit(m_self, peer.port, request, callback);
        }
        void setSource(state_source source) override { m_fleet.m_daemons[m_self].source = std::move(source); }

    private:
        simulated_fleet& m_fleet;
        size_t m_self;
    };

    class roster final : public fake_fleet_store {
    public:
        explicit roster(const std::vector<simulated_daemon>& fleet)
            : m_fleet(fleet)
        {
        }
        std::vector<listed_peer> daemons() const override
        {
            std::vector<listed_peer> peers;
            for (const simulated_daemon& daemon : m_fleet)
                peers.push_back(daemon.listed);
            return peers;
        }

    private:
        const std::vector<simulated_daemon>& m_fleet;
    };

    // Ids are random, so that those that join later stand anywhere in the order.
    void join()
    {
        const size_t number = m_daemons.size();
        simulated_daemon& daemon = m_daemons.emplace_back();
        daemon.listed = { instance_id(std::to_string(m_random()) + "-" + std::to_string(number)),
            failure_domain_name(std::to_string(number % m_domains)), { "127.0.0.1", static_cast<uint16_t>(number) } };
        startProcess(number);
    }

    void startProcess(size_t number)
    {
        simulated_daemon& daemon = m_daemons[number];
        ++daemon.incarnation;
        daemon.toldAt.reset();
        daemon.permits.reset();
        daemon.limits = std::make_unique<server_rate_limits>(m_random);
        daemon.exchange = std::make_unique<exchange>(*this, number);
        daemon.permits
            = std::make_unique<permit_system>(permit_system::identity { daemon.listed.id, daemon.listed.failureDomain },
                m_store, *daemon.limits, *daemon.exchange, m_time, m_log);
    }

    bool isRunning(const simulated_daemon& daemon) const { return !daemon.frozenUntil && !daemon.downUntil; }

    duration delayTo(const simulated_daemon& daemon)
    {
        if (!daemon.slowUntil)
            return networkDelay;
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(20, 600)(m_random));
    }

    void schedule(duration delay, std::function<void()> event)
    {
        m_events.emplace(m_time.now() + delay, std::move(event));
    }

    // Runs the event once the process runs, and never if it has been replaced.
    void deliver(size_t to, duration delay, std::function<void()> event)
    {
        schedule(delay, [this, to, incarnation = m_daemons[to].incarnation, event = std::move(event)] {
            simulated_daemon& daemon = m_daemons[to];
            if (daemon.incarnation != incarnation || daemon.downUntil)
                return;
            if (daemon.frozenUntil)
                deliver(to, *daemon.frozenUntil - m_time.now() + step, event);
            else
                event();
        });
    }

    void transmit(size_t from, size_t to, const std::string& request, const state_exchange::state_callback& callback)
    {
        if (m_daemons[from].cutUntil || m_daemons[to].cutUntil)
            return;
        if (m_daemons[to].downUntil) {
            deliver(from, networkDelay, [callback] { callback(std::nullopt); });
            return;
        }
        deliver(to, delayTo(m_daemons[to]), [this, from, to, request, callback] {
            const std::string reply = m_daemons[to].source(request);
            if (!m_daemons[to].cutUntil && !m_daemons[from].cutUntil)
                deliver(from, delayTo(m_daemons[from]),
                    [callback, reply] { callback(reply.empty() ? std::nullopt : std::optional(reply)); });
        });
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_time.now()) {
            const std::function<void()> event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
    }

    // Stands in for the exchange of the fleet state within a failure domain.
    void shareLimits()
    {
        const time_point now = m_time.now();
        for (size_t i = m_domains; i < m_daemons.size(); ++i) {
            simulated_daemon& member = m_daemons[i];
            simulated_daemon& first = m_daemons[i % m_domains];
            if (!isRunning(member) || !isRunning(first) || member.cutUntil || first.cutUntil)
                continue;
            for (const rate_limit_notice& notice : member.limits->notices(now))
                first.limits->merge(notice, now + networkDelay);
            for (const rate_limit_notice& notice : first.limits->notices(now))
                member.limits->merge(notice, now);
        }
    }

    // Ten times as many requests as the server takes, at random daemons.
    void sendRequests()
    {
        constexpr double demandFactor = 10;
        std::poisson_distribution<int> count(m_limit * demandFactor * toSeconds(step));
        for (int i = count(m_random); i > 0; --i) {
            const size_t number = std::uniform_int_distribution<size_t>(0, m_daemons.size() - 1)(m_random);
            if (!isRunning(m_daemons[number]))
                continue;
            const uint64_t incarnation = m_daemons[number].incarnation;
            if (!m_daemons[number].limits->find(limitedServer)) {
                sendToServer(number);
                continue;
            }
            m_daemons[number].permits->request(
                { limitedServer }, [this, number, incarnation](const permit_decision& decision) {
                    if (decision.server && m_daemons[number].incarnation == incarnation)
                        sendToServer(number);
                });
        }
    }

    void sendToServer(size_t number)
    {
        const time_point now = m_time.now();
        const simulated_daemon& daemon = m_daemons[number];
        ++m_arrivals;
        if (daemon.toldAt && now - *daemon.toldAt >= noticeTime && now >= daemon.excusedUntil)
            m_counted.push_back(now);
        const duration answerTime = std::chrono::milliseconds(std::uniform_int_distribution<int>(10, 800)(m_random));
        deliver(number, answerTime, [this, number, sentAt = now, limit = m_limit] {
            simulated_daemon& receiver = m_daemons[number];
            receiver.limits->recordAnswer(limitedServer, limit, sentAt, m_time.now());
            if (!receiver.toldAt)
                receiver.toldAt = m_time.now();
        });
    }

    double highestLimit(time_point from, time_point to) const
    {
        double highest = 0;
        for (size_t i = 0; i < m_limitChanges.size(); ++i) {
            // All daemons know of a lower limit once they have had an answer that names it.
            const bool isOver
                = i + 1 < m_limitChanges.size() && m_limitChanges[i + 1].first + std::chrono::seconds(3) < from;
            if (!isOver && m_limitChanges[i].first <= to)
                highest = std::max(highest, m_limitChanges[i].second);
        }
        return highest;
    }

    void injectFault()
    {
        const time_point now = m_time.now();
        const size_t number = std::uniform_int_distribution<size_t>(0, m_daemons.size() - 1)(m_random);
        const time_point until
            = now + std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 6000)(m_random));
        simulated_daemon& daemon = m_daemons[number];
        const int kind = std::uniform_int_distribution<int>(0, 7)(m_random);
        m_history += std::to_string(kind) + "@" + std::to_string(toMilliseconds(now.time_since_epoch())) + " ";
        switch (kind) {
        case 0:
            stopProcess(number, until);
            break;
        case 1:
            daemon.frozenUntil = until;
            daemon.excusedUntil = until + excuse;
            break;
        case 2:
            cut(daemon, until);
            break;
        case 3:
            for (simulated_daemon& other : m_daemons) {
                if (other.listed.failureDomain == daemon.listed.failureDomain)
                    cut(other, until);
            }
            break;
        case 4:
            daemon.slowUntil = until;
            break;
        case 5:
            for (size_t i = 0; i < m_daemons.size(); ++i) {
                if (std::bernoulli_distribution(0.6)(m_random))
                    stopProcess(i, now + std::chrono::seconds(1));
            }
            break;
        case 6:
            join();
            break;
        default:
            m_limit *= std::uniform_real_distribution<double>(0.5, 2)(m_random);
            m_limitChanges.emplace_back(now, m_limit);
            break;
        }
    }

    void cut(simulated_daemon& daemon, time_point until) const
    {
        daemon.cutUntil = until;
        daemon.excusedUntil = until + excuse;
    }

    void stopProcess(size_t number, time_point until)
    {
        m_daemons[number].downUntil = until;
        m_daemons[number].excusedUntil = until + excuse;
    }

    void recover()
    {
        const time_point now = m_time.now();
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            simulated_daemon& daemon = m_daemons[i];
            if (daemon.downUntil && now >= *daemon.downUntil)
                startProcess(i);
            for (std::optional<time_point>* until :
                { &daemon.downUntil, &daemon.frozenUntil, &daemon.cutUntil, &daemon.slowUntil }) {
                if (*until && now >= **until)
                    until->reset();
            }
        }
    }

    random_source m_random;
    size_t m_domains;
    null_logger m_log;
    manual_clock m_time;
    std::vector<simulated_daemon> m_daemons;
    roster m_store { m_daemons };
    std::multimap<time_point, std::function<void()>> m_events;
    double m_limit = 1;
    std::vector<std::pair<time_point, double>> m_limitChanges;
    std::vector<time_point> m_counted;
    size_t m_arrivals = 0;
    std::string m_history;
};

struct fleet_size {
    size_t domains;
    size_t daemonsPerDomain;
};

const std::vector<fleet_size> fleetSizes { { 1, 1 }, { 4, 2 }, { 4, 18 }, { 6, 12 } };

// Run more by hand: POLLEN_SEEDS=200.
uint64_t seeds()
{
    const char* given = std::getenv("POLLEN_SEEDS");
    return given ? std::strtoull(given, nullptr, 10) : 5;
}

} // namespace

// Guards against LIMIT under faults that come in series and overlap: restarts, freezes, cuts of daemons and failure
// domains, slow daemons, fleets that grow, limits that change.
TEST(PermitFleetTest, FaultsDoNotAddToALimit)
{
    for (uint64_t seed = 1; seed <= seeds(); ++seed) {
        for (const fleet_size& size : fleetSizes) {
            simulated_fleet fleet(seed, size.domains, size.daemonsPerDomain);
            fleet.run(true);
            EXPECT_LE(fleet.excess(), 0) << "seed " << seed << ", " << size.domains << " domains of "
                                         << size.daemonsPerDomain << ", faults: " << fleet.history();
        }
    }
}

// Guards against a limit that is kept by leaving a part of it unused.
TEST(PermitFleetTest, ACalmFleetUsesTheLimit)
{
    for (uint64_t seed = 1; seed <= seeds(); ++seed) {
        for (const fleet_size& size : fleetSizes) {
            simulated_fleet fleet(seed, size.domains, size.daemonsPerDomain);
            fleet.run(false);
            EXPECT_LE(fleet.excess(), 0) << "seed " << seed;
            EXPECT_GE(fleet.use(), 0.9) << "seed " << seed << ", " << size.domains << " domains of "
                                        << size.daemonsPerDomain;
        }
    }
}

} // namespace pollen
