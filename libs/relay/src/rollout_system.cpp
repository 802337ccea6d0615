#include <algorithm>
#include <relay/rollout_system.h>

namespace pollen {

namespace {

constexpr duration reportInterval = std::chrono::seconds(1);
// A daemon that has not reported for so long takes no part.
constexpr duration reportLifetime = std::chrono::milliseconds(3500);
constexpr duration publishInterval = std::chrono::milliseconds(500);
// Part of the allowed time until which what still runs on old servers is waited for.
constexpr double waitUntil = 0.92;
// Every daemon has had the time to move its sessions and to report what still runs on old servers.
constexpr duration movingTime = std::chrono::milliseconds(1600);

// The counts of both under the name of the first.
rollout_report sum(const rollout_report& left, const rollout_report& right)
{
    rollout_report total = left;
    total.age = std::max(left.age, right.age);
    total.evidence += right.evidence;
    total.othersRunning += right.othersRunning;
    total.condemned = total.condemned || right.condemned;
    total.moving = total.moving || right.moving;
    return total;
}

} // namespace

rollout_system::rollout_system(rollout_table& table, fleet_store& store, const instance_id& self, uint64_t incarnation,
    exposure_bound exposure, logger& log)
    : m_table(table)
    , m_store(store)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_trial(exposure)
    , m_log(log)
    , m_publishing(std::make_shared<bool>(false))
{
}

void rollout_system::tick(time_point now)
{
    countDueFirstBytes(now);
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
        row.evidence = total.evidence;
        row.othersRunning = total.othersRunning;
        advance(row, total, now);
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
    m_own[service] = {};
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

version_answers* rollout_system::countsOf(const rollout_subject& subject)
{
    const rollout_row* row = m_table.find(subject.service);
    if (!row || row->state != rollout_state::Running)
        return nullptr;
    beginCounting(*row);
    route_answers& answers = m_own[subject.service].at(subject.route);
    return subject.version == row->order.target ? &answers.target : &answers.others;
}

void rollout_system::countSent(const rollout_subject& subject)
{
    if (version_answers* answers = countsOf(subject))
        ++answers->sent;
}

void rollout_system::countAnswer(const rollout_subject& subject, bool good)
{
    if (version_answers* answers = countsOf(subject))
        ++(good ? answers->good : answers->bad);
}

void rollout_system::countFirstByte(const rollout_subject& subject, latency_grade grade)
{
    version_answers* answers = countsOf(subject);
    if (!answers)
        return;
    ++answers->timed;
    answers->slow += grade >= latency_grade::Slow ? 1 : 0;
    answers->verySlow += grade == latency_grade::VerySlow ? 1 : 0;
}

void rollout_system::countFirstByteAt(time_point due, const rollout_subject& subject, latency_grade grade)
{
    if (countsOf(subject))
        m_dueFirstBytes.emplace(due, std::pair(subject, grade));
}

void rollout_system::countDueFirstBytes(time_point now)
{
    while (!m_dueFirstBytes.empty() && m_dueFirstBytes.begin()->first <= now) {
        const auto [subject, grade] = m_dueFirstBytes.begin()->second;
        m_dueFirstBytes.erase(m_dueFirstBytes.begin());
        countFirstByte(subject, grade);
    }
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
    rollout_report report { m_self, m_incarnation, service, row.order.target, now - row.since, {}, 0, row.condemned,
        row.movedAt.has_value() };
    const auto counted = m_countedTarget.find(service);
    if (counted != m_countedTarget.end() && counted->second == row.order.target)
        report.evidence = m_own.at(service);
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

void rollout_system::advance(rollout_row& row, const rollout_report& total, time_point now)
{
    const double passed = passedShare(row, now);
    const rollout_verdict verdict = judgeRollout(row.evidence);
    const bool trialOver = m_trial.isOver(row, now);
    if (verdict == rollout_verdict::Bad && !row.condemned)
        condemn(row, "evidence");
    // Daemons see the same evidence at different times; what one has found holds for all.
    if (total.condemned && !row.condemned)
        condemn(row, "found by another daemon");
    // Where the evidence is weak, one daemon decides.
    const bool decides = isLeader(row.order.service, now);
    if (!row.condemned && !row.movedAt && trialOver && decides && seemsBad(row.evidence))
        condemn(row, "no time to see more");
    m_trial.advance(row, now);
    const bool foundGood = verdict == rollout_verdict::Good && rollout_trial::mayEnd(row, now);
    if (!row.condemned && !row.movedAt && ((decides && (foundGood || trialOver)) || total.moving))
        move(row, verdict, now);
    if (row.condemned)
        publish(row, rollout_state::RolledBack, now);
    else if (row.movedAt && now - *row.movedAt >= movingTime && (row.othersRunning == 0 || passed >= waitUntil))
        publish(row, rollout_state::Complete, now);
}

void rollout_system::condemn(rollout_row& row, const char* reason)
{
    row.condemned = true;
    m_nextReport = {};
    m_log.write(log_level::Warning, "rollout_condemned",
        { { "service", row.order.service.text() }, { "target", row.order.target.text() }, { "reason", reason },
            { "evidence", toText(row.evidence) } });
}

void rollout_system::move(rollout_row& row, rollout_verdict verdict, time_point now)
{
    row.movedAt = now;
    m_nextReport = {};
    m_log.write(log_level::Info, "rollout_moving",
        { { "service", row.order.service.text() }, { "target", row.order.target.text() },
            { "verdict", toText(verdict) }, { "evidence", toText(row.evidence) } });
    m_trial.advance(row, now);
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
            { "evidence", toText(row.evidence) }, { "others_running", row.othersRunning } });
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
