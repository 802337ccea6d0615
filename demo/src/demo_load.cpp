#include "demo_load.h"

#include <fstream>
#include <list>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

// How long the last requests may take after the load has ended.
constexpr duration settleTime = std::chrono::seconds(30);
constexpr size_t sessionsPerKind = 20;

// The callers of one fleet.
class fleet_load {
public:
    fleet_load(event_loop& loop, http_client& client, const planned_fleet& fleet, const load_options& options,
        random_source& random)
        : m_loop(loop)
        , m_client(client)
        , m_fleet(fleet)
        , m_options(options)
        , m_random(random)
        , m_balancer(loop, client, fleet, random)
        , m_kinds(workloadOf(fleet.name))
        , m_next(loop, [this] { sendOne(); })
    {
    }

    void start(time_point end)
    {
        m_end = end;
        schedule();
    }

    bool done() const { return os_clock().now() >= m_end && m_running == 0; }

    void collect(load_result& result) const
    {
        for (const auto& caller : m_callers)
            result.records.push_back(caller->record());
        const auto& sightings = m_balancer.sightings();
        result.sightings.insert(result.sightings.end(), sightings.begin(), sightings.end());
    }

private:
    void schedule()
    {
        std::exponential_distribution<double> gap(m_options.rate);
        const auto delay = std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(m_random)));
        if (os_clock().now() + delay < m_end)
            m_next.startOnce(delay);
    }

    void sendOne()
    {
        const request_kind& kind = drawKind(m_kinds, m_random);
        const std::string marker = kind.team + "~" + std::to_string(++m_count);
        std::shared_ptr<caller_session> session = kind.inSession ? takeSession(kind.name) : nullptr;
        ++m_running;
        const auto onDone = [this, session, name = kind.name] {
            --m_running;
            if (session)
                m_idleSessions[name].push_back(session);
        };
        m_callers.push_back(
            std::make_unique<simulated_caller>(m_loop, m_client, m_balancer, m_fleet, kind, marker, session, onDone));
        m_callers.back()->start();
        schedule();
    }

    // A session that no request is using, so that each has one request at a time.
    std::shared_ptr<caller_session> takeSession(const std::string& kind)
    {
        auto& idle = m_idleSessions[kind];
        if (idle.size() < sessionsPerKind)
            return std::make_shared<caller_session>();
        std::shared_ptr<caller_session> session = idle.front();
        idle.pop_front();
        return session;
    }

    event_loop& m_loop;
    http_client& m_client;
    const planned_fleet& m_fleet;
    const load_options& m_options;
    random_source& m_random;
    balancer m_balancer;
    std::vector<request_kind> m_kinds;
    timer m_next;
    time_point m_end {};
    size_t m_count = 0;
    size_t m_running = 0;
    std::list<std::unique_ptr<simulated_caller>> m_callers;
    std::map<std::string, std::list<std::shared_ptr<caller_session>>> m_idleSessions;
};

nlohmann::json toJson(const caller_record& record)
{
    auto tries = nlohmann::json::array();
    for (const try_record& attempt : record.tries)
        tries.push_back({ { "daemon", attempt.daemon }, { "status", attempt.status }, { "run", attempt.run },
            { "request", attempt.requestId }, { "cut", attempt.cut }, { "end_ms", attempt.endMilliseconds } });
    return { { "fleet", record.fleet }, { "kind", record.kind }, { "class", record.requestClass },
        { "team", record.team }, { "marker", record.marker }, { "service", record.isService },
        { "non_repeatable", record.nonRepeatable }, { "outcome", static_cast<int>(record.outcome) }, { "tries", tries },
        { "version", record.version }, { "wrong_answer", record.wrongAnswer },
        { "session_changed", record.sessionChanged }, { "session_change_told", record.sessionChangeTold },
        { "ms", record.milliseconds }, { "first_ms", record.firstMilliseconds } };
}

caller_record recordFromJson(const nlohmann::json& json)
{
    caller_record record;
    record.fleet = json["fleet"];
    record.kind = json["kind"];
    record.requestClass = json["class"];
    record.team = json["team"];
    record.marker = json["marker"];
    record.isService = json["service"];
    record.nonRepeatable = json["non_repeatable"];
    record.outcome = static_cast<caller_outcome>(json["outcome"].get<int>());
    for (const auto& attempt : json["tries"])
        record.tries.push_back({ attempt["daemon"], attempt["status"], attempt["run"], attempt["request"],
            attempt["cut"], attempt["end_ms"] });
    record.version = json["version"];
    record.wrongAnswer = json["wrong_answer"];
    record.sessionChanged = json["session_changed"];
    record.sessionChangeTold = json["session_change_told"];
    record.milliseconds = json["ms"];
    record.firstMilliseconds = json["first_ms"];
    return record;
}

} // namespace

load_result runLoad(const std::vector<planned_fleet>& plan, const load_options& options)
{
    event_loop loop;
    http_client client(loop);
    random_source random(options.seed);
    std::list<fleet_load> loads;
    for (const planned_fleet& fleet : plan)
        loads.emplace_back(loop, client, fleet, options, random);
    // Lets the balancers learn which daemons are ready.
    loop.runUntil([] { return false; }, std::chrono::milliseconds(500));
    const time_point end = os_clock().now() + options.length;
    for (fleet_load& load : loads)
        load.start(end);
    const auto allDone
        = [&] { return std::all_of(loads.begin(), loads.end(), [](const fleet_load& load) { return load.done(); }); };
    loop.runUntil(allDone, options.length + settleTime);
    load_result result;
    for (const fleet_load& load : loads)
        load.collect(result);
    return result;
}

void writeLoadResult(const load_result& result, const std::string& path)
{
    nlohmann::json json { { "records", nlohmann::json::array() }, { "sightings", nlohmann::json::array() } };
    for (const caller_record& record : result.records)
        json["records"].push_back(toJson(record));
    for (const version_sighting& sighting : result.sightings)
        json["sightings"].push_back({ { "daemon", sighting.daemon }, { "version", sighting.version },
            { "time_ms", sighting.timeMilliseconds }, { "reverted", sighting.reverted } });
    std::ofstream(path) << json.dump(1) << '\n';
}

load_result readLoadResult(const std::string& path)
{
    std::ifstream in(path);
    const auto json = nlohmann::json::parse(in);
    load_result result;
    for (const auto& record : json["records"])
        result.records.push_back(recordFromJson(record));
    for (const auto& sighting : json["sightings"])
        result.sightings.push_back(
            { sighting["daemon"], sighting["version"], sighting["time_ms"], sighting["reverted"] });
    return result;
}

} // namespace pollen
