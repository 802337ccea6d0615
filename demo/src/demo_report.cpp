#include "demo_report.h"

#include <algorithm>
#include <base/digest.h>
#include <fstream>
#include <iomanip>
#include <set>
#include <standins/percentile.h>

namespace pollen {

namespace {

// Within this time an accepted configuration is in force everywhere, and a leaving server gets no new work.
constexpr int64_t configurationGraceMs = 5000;
constexpr int64_t leavingGraceMs = 3000;

// One promise with the number of times it was seen broken.
struct promise {
    std::string name;
    size_t checked = 0;
    size_t broken = 0;
    std::string example;

    void check(bool holds, const std::string& what)
    {
        ++checked;
        if (holds)
            return;
        ++broken;
        if (example.empty())
            example = what;
    }
};

// Judges one fleet from its stand-ins' records.
class fleet_judge {
public:
    fleet_judge(const planned_fleet& fleet, const load_result& load, const std::vector<demo_event>& events)
        : m_fleet(fleet)
        , m_load(load)
        , m_events(events)
        , m_records(fetchRecords(fleet))
    {
        for (const engine_work& work : m_records.engineWork)
            m_workedRequests.insert(work.request);
        for (const service_work& work : m_records.serviceWork)
            m_workedRequests.insert(work.request);
        for (const billed& bill : m_records.bills)
            m_billIds.insert(bill.id);
    }

    const fleet_records& records() const { return m_records; }

    std::vector<promise> judge() const
    {
        return { judgeOrders(), judgeAnswers(), judgeWithdrawn(), judgeAllowed(), judgeNotRun(), judgeCuts(),
            judgeBills(), judgeSessions(), judgeLeaving(), judgeConfiguration(), judgeCompletion() };
    }

private:
    template <typename Judge> promise overCallers(const char* name, Judge judge) const
    {
        promise result { name, 0, 0, "" };
        for (const caller_record& record : m_load.records) {
            if (record.fleet == m_fleet.name)
                judge(record, result);
        }
        return result;
    }

    promise judgeOrders() const
    {
        promise result { "orders, bookings and payments run at most once", 0, 0, "" };
        std::map<std::string, size_t> runs;
        for (const service_work& work : m_records.serviceWork) {
            if (work.method == "POST")
                ++runs[work.key];
        }
        for (const auto& [key, count] : runs)
            result.check(count <= 1, key + " ran " + std::to_string(count) + " times");
        return result;
    }

    promise judgeAnswers() const
    {
        return overCallers(
            "each caller gets the whole answer to its own request", [](const caller_record& record, promise& result) {
                if (record.outcome == caller_outcome::Complete)
                    result.check(!record.wrongAnswer, record.marker);
            });
    }

    // The configurations that may have been in force somewhere at a time.
    std::vector<const dated_configuration*> configurationsAt(int64_t milliseconds) const
    {
        std::vector<const dated_configuration*> result;
        for (size_t i = 0; i < m_records.configurations.size(); ++i) {
            const bool last = i + 1 == m_records.configurations.size();
            const int64_t replaced = last ? milliseconds : m_records.configurations[i + 1].fromMilliseconds;
            const bool begun = m_records.configurations[i].fromMilliseconds <= milliseconds;
            if (begun && milliseconds <= replaced + configurationGraceMs)
                result.push_back(&m_records.configurations[i]);
        }
        return result;
    }

    template <typename Permits> promise overWork(const char* name, Permits permits) const
    {
        promise result { name, 0, 0, "" };
        for (const engine_work& work : m_records.engineWork) {
            const auto configurations = configurationsAt(work.startMilliseconds);
            const bool permitted = std::any_of(configurations.begin(), configurations.end(),
                [&](const dated_configuration* configuration) { return permits(work, *configuration->document); });
            result.check(permitted, work.marker + " on " + work.version);
        }
        return result;
    }

    promise judgeWithdrawn() const
    {
        return overWork("a withdrawn version gets no new work", [](const engine_work& work, const auto& document) {
            const version_entry* entry = document.findVersion(parseVersionRef(work.version));
            return entry && entry->state != version_state::Withdrawn;
        });
    }

    promise judgeAllowed() const
    {
        return overWork("requests run only on versions their team allows",
            [](const engine_work& work, const fleet_document& document) {
                fleet_tables tables;
                tables.install(std::make_shared<const fleet_document>(document));
                const auto team = tables.findTeam(team_name(work.marker.substr(0, work.marker.find('~'))));
                const auto version = tables.findVersion(parseVersionRef(work.version));
                return team && version && tables.team(*team).permissions[version->index] == permission::Allowed;
            });
    }

    promise judgeNotRun() const
    {
        return overCallers("\"not run\" is true", [this](const caller_record& record, promise& result) {
            for (const try_record& attempt : record.tries) {
                if (attempt.run == "not_run")
                    result.check(!m_workedRequests.contains(attempt.requestId), attempt.requestId);
            }
        });
    }

    bool wasKilled(const std::string& daemon) const
    {
        return std::any_of(m_events.begin(), m_events.end(),
            [&](const demo_event& event) { return event.name == "kill" && event.subject == daemon; });
    }

    promise judgeCuts() const
    {
        return overCallers("a planned stop cuts nothing", [this](const caller_record& record, promise& result) {
            for (const try_record& attempt : record.tries) {
                if (!wasKilled(attempt.daemon))
                    result.check(!attempt.cut, record.marker + " at " + attempt.daemon);
            }
        });
    }

    // The id under which a request is billed however often its caller sends it.
    std::string billIdOf(const caller_record& record) const
    {
        const std::string service = m_fleet.name == "tausi" ? "orders" : "desk";
        const std::string scope = record.isService ? "service:" + service : "chat";
        return sha256Hex(record.team + "\n" + scope + "\n" + record.marker);
    }

    // A request that is sent again keeps its id, so that a second bill for it would carry one that no request has.
    promise judgeBills() const
    {
        std::set<std::string> expected;
        promise result
            = overCallers("each answered request is billed once", [&](const caller_record& record, promise& judged) {
                  const std::string id = billIdOf(record);
                  expected.insert(id);
                  if (record.outcome == caller_outcome::Complete)
                      judged.check(m_billIds.contains(id), record.marker + " has no bill");
                  else if (record.outcome == caller_outcome::Refused)
                      judged.check(!m_billIds.contains(id), record.marker + " was refused and billed");
              });
        for (const std::string& id : m_billIds)
            result.check(expected.contains(id), "bill " + id + " belongs to no request");
        return result;
    }

    promise judgeSessions() const
    {
        return overCallers("a session keeps its version", [](const caller_record& record, promise& result) {
            if (record.outcome == caller_outcome::Complete && record.kind.find("session") != std::string::npos)
                result.check(!record.sessionChanged || record.sessionChangeTold, record.marker);
        });
    }

    promise judgeLeaving() const
    {
        promise result { "a leaving backend server gets no new work after 3 s", 0, 0, "" };
        for (const demo_event& event : m_events) {
            if (event.name != "leaving")
                continue;
            for (const engine_work& work : m_records.engineWork) {
                if (work.engine == event.subject)
                    result.check(work.startMilliseconds <= event.timeMilliseconds + leavingGraceMs, work.marker);
            }
        }
        return result;
    }

    promise judgeConfiguration() const
    {
        promise result { "a configuration is in force within 5 s and never reverts", 0, 0, "" };
        for (const version_sighting& sighting : m_load.sightings) {
            if (!sighting.daemon.starts_with(m_fleet.name))
                continue;
            result.check(!sighting.reverted, sighting.daemon + " went back");
            for (const dated_configuration& configuration : m_records.configurations) {
                if (configuration.version == sighting.version)
                    result.check(sighting.timeMilliseconds - configuration.fromMilliseconds <= configurationGraceMs,
                        sighting.daemon + " was late");
            }
        }
        return result;
    }

    promise judgeCompletion() const
    {
        return overCallers(
            "every caller that keeps trying gets a definite answer", [](const caller_record& record, promise& result) {
                // A call whose daemon was killed while it ran may stay unknown for ever, and truly so.
                const bool unknown = record.nonRepeatable && record.tries.back().run == "unknown";
                result.check(record.outcome != caller_outcome::GaveUp || unknown, record.marker);
            });
    }

    const planned_fleet& m_fleet;
    const load_result& m_load;
    const std::vector<demo_event>& m_events;
    fleet_records m_records;
    std::set<std::string> m_workedRequests;
    std::set<std::string> m_billIds;
};

void printClasses(const planned_fleet& fleet, const load_result& load, std::ostream& out)
{
    std::map<std::string, std::vector<const caller_record*>> byKind;
    for (const caller_record& record : load.records) {
        if (record.fleet == fleet.name)
            byKind[record.kind].push_back(&record);
    }
    out << "  " << std::left << std::setw(20) << "requests" << std::right << std::setw(7) << "sent" << std::setw(9)
        << "answered" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(16) << "first p99 ms"
        << std::setw(9) << "retried" << '\n';
    for (const auto& [kind, records] : byKind) {
        std::vector<double> latencies;
        std::vector<double> firsts;
        size_t retried = 0;
        for (const caller_record* record : records) {
            retried += record->tries.size() > 1 ? 1 : 0;
            if (record->outcome != caller_outcome::Complete)
                continue;
            latencies.push_back(record->milliseconds);
            firsts.push_back(record->firstMilliseconds);
        }
        out << "  " << std::left << std::setw(20) << kind << std::right << std::setw(7) << records.size()
            << std::setw(9) << latencies.size() << std::fixed << std::setprecision(1) << std::setw(10)
            << percentile(latencies, 0.5) << std::setw(10) << percentile(latencies, 0.99) << std::setw(16)
            << percentile(firsts, 0.99) << std::setw(9) << retried << '\n';
    }
}

void printCosts(const fleet_records& records, const std::string& currency, std::ostream& out)
{
    std::map<std::string, double> costs;
    std::set<std::string> seen;
    for (const billed& bill : records.bills) {
        if (seen.insert(bill.id).second)
            costs[bill.requestClass] += bill.cost;
    }
    out << "  cost:";
    for (const auto& [name, cost] : costs)
        out << "  " << name << ' ' << std::setprecision(2) << cost << ' ' << currency;
    out << "  (" << records.bills.size() - seen.size() << " repeated bill records folded)\n";
}

void printVersions(const fleet_records& records, std::ostream& out)
{
    std::map<std::string, size_t> counts;
    for (const engine_work& work : records.engineWork)
        ++counts[work.version];
    out << "  versions served:";
    for (const auto& [version, count] : counts)
        out << "  " << version << ' ' << count;
    out << '\n';
}

void printConfigurations(
    const planned_fleet& fleet, const load_result& load, const fleet_records& records, std::ostream& out)
{
    for (const dated_configuration& configuration : records.configurations) {
        int64_t slowest = -1;
        size_t daemons = 0;
        for (const version_sighting& sighting : load.sightings) {
            if (!sighting.daemon.starts_with(fleet.name) || sighting.version != configuration.version)
                continue;
            ++daemons;
            slowest = std::max(slowest, sighting.timeMilliseconds - configuration.fromMilliseconds);
        }
        out << "  configuration " << configuration.version;
        if (daemons == 0)
            out << " was in force before the load began\n";
        else
            out << " in force on " << daemons << " daemons after at most " << slowest << " ms\n";
    }
}

bool printPromises(const std::vector<promise>& promises, std::ostream& out)
{
    bool allHold = true;
    for (const promise& promise : promises) {
        allHold = allHold && promise.broken == 0;
        out << "  " << (promise.broken == 0 ? "held   " : "BROKEN ") << promise.name << ": " << promise.broken << " of "
            << promise.checked;
        if (promise.broken > 0)
            out << ", such as " << promise.example;
        out << '\n';
    }
    return allHold;
}

} // namespace

std::vector<demo_event> readEvents(const std::string& path)
{
    std::vector<demo_event> events;
    std::ifstream in(path);
    for (demo_event event; in >> event.name >> event.timeMilliseconds >> event.subject;)
        events.push_back(event);
    return events;
}

bool printReport(const std::vector<planned_fleet>& plan, const load_result& load, const std::vector<demo_event>& events,
    std::ostream& out)
{
    bool allHold = true;
    for (const planned_fleet& fleet : plan) {
        const fleet_judge judge(fleet, load, events);
        const auto& configurations = judge.records().configurations;
        out << "\n== " << fleet.name << " ==\n";
        printClasses(fleet, load, out);
        printCosts(judge.records(), configurations.empty() ? "" : configurations.back().document->currency, out);
        printVersions(judge.records(), out);
        printConfigurations(fleet, load, judge.records(), out);
        allHold = printPromises(judge.judge(), out) && allHold;
    }
    out << (allHold ? "\nevery promise held\n" : "\nNOT EVERY PROMISE HELD\n");
    return allHold;
}

} // namespace pollen
