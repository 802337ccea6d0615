#include <algorithm>
#include <relay/rollout_system.h>

namespace pollen {

namespace {

constexpr duration reportInterval = std::chrono::seconds(1);
// A daemon that has not reported for so long takes no part.
constexpr duration reportLifetime = std::chrono::milliseconds(3500);
constexpr duration publishInterval = std::chrono::milliseconds(500);
// Part of the exposure that the users allow which a trial uses; the rest is for what is under way at the verdict.
constexpr double partOfExposure = 0.5;
constexpr double smallestTrialShare = 0.05;
constexpr double largestTrialShare = 0.6;
// Parts of the allowed time. Requests of one session reach several daemons, and none of them knows whether a session
// began before the roll-out, so all stay on the old version for the first half. All move once the version is found
// good; when it can't be told by the second mark, by what the evidence rather speaks for. What still runs on old
// servers when all sessions have moved is waited for until the last mark.
constexpr double trialFrom = 0.5;
constexpr double decideBy = 0.75;
constexpr double waitUntil = 0.9;
// Before, slow answers have not shown yet and quick ones speak for a version alone; the users' longest latency
// objective.
constexpr duration leastTrial = std::chrono::seconds(3);

version_answers sum(const version_answers& left, const version_answers& right)
{
    return { left.good + right.good, left.bad + right.bad, left.timed + right.timed, left.slow + right.slow };
}

// The counts of both under the name of the first.
rollout_report sum(const rollout_report& left, const rollout_report& right)
{
    rollout_report total = left;
    total.age = std::max(left.age, right.age);
    total.targetAnswers = sum(left.targetAnswers, right.targetAnswers);
    total.otherAnswers = sum(left.otherAnswers, right.otherAnswers);
    total.othersRunning += right.othersRunning;
    return total;
}

// Part of the allowed time that has passed.
double passedShare(const rollout_row& row, time_point now)
{
    return toSeconds(now - row.since) / std::max(toSeconds(row.order.allowed), 1.0);
}

} // namespace

rollout_system::rollout_system(rollout_table& table, fleet_store& store, const instance_id& self, uint64_t incarnation,
    exposure_bound exposure, logger& log)
    : m_table(table)
    , m_store(store)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_exposure(exposure)
    , m_log(log)
    , m_publishing(std::make_shared<bool>(false))
{
}

void rollout_system::tick(time_point now)
{
    bool anyRunning = false;
    const bool reportNow = m_reading && now >= m_nextReport;
    for (auto& [service, row] : m_table.rows()) {
        if (row.state != rollout_state::Running)
            continue;
        anyRunning = true;
        beginCounting(row);
        if (reportNow)
            m_store.publishReport(groupReport(row, now));
        const rollout_report total = totalReport(row, now);
        row.targetAnswers = total.targetAnswers;
        row.otherAnswers = total.otherAnswers;
        row.othersRunning = total.othersRunning;
        advance(row, now);
    }
    if (reportNow && anyRunning)
        m_nextReport = now + reportInterval;
    m_store.followReports(anyRunning);
}

// Answers count from the moment at which the order is known.
void rollout_system::beginCounting(const rollout_row& row)
{
    const service_name& service = row.order.service;
    if (m_countedTarget[service] == row.order.target)
        return;
    m_countedTarget[service] = row.order.target;
    m_ownTarget[service] = {};
    m_ownOthers[service] = {};
    m_log.write(log_level::Info, "rollout_seen",
        { { "service", service.text() }, { "target", row.order.target.text() },
            { "allowed_ms", toMilliseconds(row.order.allowed) } });
}

void rollout_system::hear(const rollout_report& report, time_point now)
{
    m_groups[{ report.daemon, report.service }] = { report, now };
    learnAge(report, now);
}

void rollout_system::hearMember(const rollout_report& report, time_point now)
{
    m_members[{ report.daemon, report.service }] = { report, now };
}

void rollout_system::hearTotal(const rollout_report& report, time_point now)
{
    m_totals[report.service] = { report, now };
    learnAge(report, now);
}

// A daemon that started later learns how long the roll-out has been going on.
void rollout_system::learnAge(const rollout_report& report, time_point now)
{
    rollout_row* row = m_table.find(report.service);
    if (row && row->order.target == report.target)
        row->since = std::min(row->since, now - report.age);
}

std::vector<rollout_report> rollout_system::ownReports(time_point now) const
{
    std::vector<rollout_report> reports;
    for (const auto& [service, row] : m_table.rows()) {
        if (row.state == rollout_state::Running)
            reports.push_back(groupReport(row, now));
    }
    return reports;
}

std::vector<rollout_report> rollout_system::totals(time_point now) const
{
    std::vector<rollout_report> reports;
    for (const auto& [service, row] : m_table.rows()) {
        if (row.state == rollout_state::Running)
            reports.push_back(totalReport(row, now));
    }
    return reports;
}

version_answers* rollout_system::countsOf(const service_name& service, const version_name& version)
{
    const rollout_row* row = m_table.find(service);
    if (!row || row->state != rollout_state::Running)
        return nullptr;
    beginCounting(*row);
    return version == row->order.target ? &m_ownTarget[service] : &m_ownOthers[service];
}

void rollout_system::countAnswer(const service_name& service, const version_name& version, bool good)
{
    if (version_answers* answers = countsOf(service, version))
        ++(good ? answers->good : answers->bad);
}

void rollout_system::countFirstByte(const service_name& service, const version_name& version, bool slow)
{
    version_answers* answers = countsOf(service, version);
    if (!answers)
        return;
    ++answers->timed;
    answers->slow += slow ? 1 : 0;
}

bool rollout_system::isLeader(const service_name& service, time_point now) const
{
    if (!m_reading)
        return false;
    for (const auto& [key, heard] : m_groups) {
        if (key.second == service && key.first < m_self && now - heard.heard < reportLifetime)
            return false;
    }
    return true;
}

rollout_report rollout_system::groupReport(const rollout_row& row, time_point now) const
{
    const service_name& service = row.order.service;
    rollout_report report { m_self, m_incarnation, service, row.order.target, now - row.since, {}, {}, 0 };
    const auto counted = m_countedTarget.find(service);
    if (counted != m_countedTarget.end() && counted->second == row.order.target) {
        report.targetAnswers = m_ownTarget.at(service);
        report.otherAnswers = m_ownOthers.at(service);
    }
    const auto running = m_othersRunning.find(service);
    report.othersRunning = running == m_othersRunning.end() ? 0 : running->second;
    for (const auto& [key, heard] : m_members) {
        if (key.second == service && heard.report.target == row.order.target && now - heard.heard < reportLifetime)
            report = sum(report, heard.report);
    }
    return report;
}

rollout_report rollout_system::totalReport(const rollout_row& row, time_point now) const
{
    const service_name& service = row.order.service;
    const auto total = m_totals.find(service);
    const bool usable = total != m_totals.end() && total->second.report.target == row.order.target
        && now - total->second.heard < reportLifetime;
    if (!m_reading && usable)
        return total->second.report;
    rollout_report report = groupReport(row, now);
    for (const auto& [key, heard] : m_groups) {
        if (key.second == service && key.first != m_self && heard.report.target == row.order.target)
            report = sum(report, heard.report);
    }
    return report;
}

void rollout_system::advance(rollout_row& row, time_point now)
{
    const double passed = passedShare(row, now);
    const rollout_verdict verdict = judgeRollout(row.targetAnswers, row.otherAnswers);
    if (verdict == rollout_verdict::Bad && !row.condemned)
        condemn(row, "evidence");
    if (!row.condemned && !row.movedAt && passed >= decideBy && seemsBad(row.targetAnswers, row.otherAnswers))
        condemn(row, "no time to see more");
    chooseShare(row, verdict, now);
    if (row.condemned)
        publish(row, rollout_state::RolledBack, now);
    else if (row.movedAt && reportedSince(row, now) && (row.othersRunning == 0 || passed >= waitUntil))
        publish(row, rollout_state::Complete, now);
}

void rollout_system::condemn(rollout_row& row, const char* reason)
{
    row.condemned = true;
    m_log.write(log_level::Warning, "rollout_condemned",
        { { "service", row.order.service.text() }, { "target", row.order.target.text() }, { "reason", reason },
            { "bad", row.targetAnswers.bad }, { "answers", row.targetAnswers.all() },
            { "slow", row.targetAnswers.slow }, { "timed", row.targetAnswers.timed },
            { "others_bad", row.otherAnswers.bad }, { "others", row.otherAnswers.all() },
            { "others_slow", row.otherAnswers.slow }, { "others_timed", row.otherAnswers.timed } });
}

void rollout_system::chooseShare(rollout_row& row, rollout_verdict verdict, time_point now)
{
    const double passed = passedShare(row, now);
    row.share = 0;
    if (row.condemned || passed < trialFrom)
        return;
    if (!row.trialShare)
        row.trialShare = trialShare(row, now);
    row.share = *row.trialShare;
    const duration sinceTrial = now - row.since - std::chrono::duration_cast<duration>(row.order.allowed * trialFrom);
    const bool foundGood = verdict == rollout_verdict::Good && sinceTrial >= leastTrial;
    if (!row.movedAt && !foundGood && passed < decideBy)
        return;
    if (!row.movedAt) {
        row.movedAt = now;
        m_log.write(log_level::Info, "rollout_moving",
            { { "service", row.order.service.text() }, { "target", row.order.target.text() },
                { "verdict", toText(verdict) }, { "bad", row.targetAnswers.bad },
                { "answers", row.targetAnswers.all() }, { "slow", row.targetAnswers.slow },
                { "timed", row.targetAnswers.timed } });
    }
    row.share = 1;
}

double rollout_system::trialShare(const rollout_row& row, time_point now) const
{
    const double seconds = std::max(toSeconds(now - row.since), 1.0);
    const double requestsPerSecond = static_cast<double>(row.otherAnswers.timed) / seconds;
    const double allowedSeconds = toSeconds(row.order.allowed);
    const double exposure = m_exposure.share * requestsPerSecond * allowedSeconds * decideBy + m_exposure.slack;
    const double trialRequests = requestsPerSecond * allowedSeconds * (decideBy - trialFrom);
    if (trialRequests <= 0)
        return smallestTrialShare;
    return std::clamp(exposure * partOfExposure / trialRequests, smallestTrialShare, largestTrialShare);
}

// Every daemon has had the time to move its sessions and to report what still runs on old servers.
bool rollout_system::reportedSince(const rollout_row& row, time_point now)
{
    return now - *row.movedAt >= reportInterval * 2;
}

void rollout_system::publish(const rollout_row& row, rollout_state state, time_point now)
{
    if (*m_publishing || now < m_nextPublish || !isLeader(row.order.service, now))
        return;
    m_nextPublish = now + publishInterval;
    *m_publishing = true;
    const rollout_status status { row.order.service, row.order.target, state };
    m_log.write(log_level::Info, "rollout_state_published",
        { { "service", status.service.text() }, { "target", status.target.text() },
            { "state", state == rollout_state::Complete ? "complete" : "rolled_back" },
            { "bad", row.targetAnswers.bad }, { "answers", row.targetAnswers.all() },
            { "others_running", row.othersRunning } });
    m_store.publishRollout(status, [this, publishing = std::weak_ptr(m_publishing), status](bool stored) {
        const auto alive = publishing.lock();
        if (!alive)
            return;
        *alive = false;
        if (stored)
            m_table.status(status);
    });
}

} // namespace pollen
