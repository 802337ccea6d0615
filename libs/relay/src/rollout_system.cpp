#include <algorithm>
#include <relay/rollout_system.h>

namespace pollen {

namespace {

constexpr duration reportInterval = std::chrono::seconds(1);
// Older reports say nothing of what is in progress.
constexpr duration reportLifetime = std::chrono::milliseconds(3500);
// A leader publishes a member's report this long after it has received it, also when the store did not answer for a
// time.
constexpr duration publishedLifetime = std::chrono::seconds(10);
constexpr duration publishInterval = std::chrono::milliseconds(500);
// Gives every daemon time to move its sessions and to report the requests still running on other versions.
constexpr duration moveSettleTime = std::chrono::milliseconds(1100);
// Time left at which the roll-out completes although requests still run on other versions. Daemons see an order some
// 100 ms after it was given, and the completion has to be stored.
constexpr duration completionMargin = std::chrono::milliseconds(800);
// The same where the exposure leaves little time for the move.
constexpr duration shortCompletionMargin = std::chrono::milliseconds(600);
// All daemons have moved after this time: they begin within one report of each other.
constexpr duration minimumSettleTime = std::chrono::milliseconds(250);
// Members ask for the totals four times a second each.
constexpr duration totalsInterval = std::chrono::milliseconds(50);

} // namespace

rollout_system::rollout_system(rollout_table& table, fleet_store& store, const instance_id& self, uint64_t incarnation,
    exposure_limit exposure, logger& log)
    : m_table(table)
    , m_store(store)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_trial(exposure)
    , m_log(log)
    , m_publishPending(std::make_shared<bool>(false))
{
}

void rollout_system::tick(time_point now)
{
    countDueFirstBytes(now);
    bool anyRunning = false;
    const bool reportNow = m_isLeader && now >= m_nextReport;
    for (auto& [service, row] : m_table.rows()) {
        const bool isRunning = row.state == rollout_state::Running;
        m_reports.keepOnly(service, isRunning ? row.order.target : version_name());
        if (!isRunning)
            continue;
        anyRunning = true;
        startCounting(row);
        if (reportNow)
            m_store.publishReport(groupReport(row, now));
        const rollout_report total = totalReport(row, now);
        row.evidence = total.evidence;
        row.otherVersionRequests = total.otherVersionRequests;
        advance(row, total, now);
    }
    if (reportNow && anyRunning)
        m_nextReport = now + reportInterval;
    m_store.followReports(anyRunning);
}

// Answers are counted from the time at which the order is known.
void rollout_system::startCounting(const rollout_row& row)
{
    const service_name& service = row.order.service;
    if (m_countedTargets[service] == row.order.target)
        return;
    m_countedTargets[service] = row.order.target;
    m_ownEvidence[service] = {};
    m_log.write(log_level::Info, "rollout_seen",
        { { "service", service.text() }, { "target", row.order.target.text() },
            { "allowed_ms", toMilliseconds(row.order.timeLimit) } });
}

void rollout_system::receiveGroupReport(const rollout_group_report& report, time_point now)
{
    m_leaders[{ report.leader, report.service }] = now;
    for (const rollout_report& counted : report.reports)
        receive(counted, report_path::Published, now);
}

void rollout_system::receiveMemberReport(const rollout_report& report, const instance_id& sender, time_point now)
{
    receive(report, report.daemon == sender ? report_path::Direct : report_path::Forwarded, now);
}

void rollout_system::receive(const rollout_report& report, report_path path, time_point now)
{
    updateStartTime(report, now);
    if (report.daemon == m_self && report.incarnation == m_incarnation)
        return;
    if (!m_reports.merge(report, path, now))
        m_log.write(log_level::Warning, "rollout_report_dropped",
            { { "daemon", report.daemon.text() }, { "service", report.service.text() },
                { "reason", "too many daemons" } });
}

void rollout_system::receiveTotalReport(const rollout_report& report, time_point now)
{
    m_totals[report.service] = { report, now };
    updateStartTime(report, now);
}

// A daemon that started later takes over the age of the roll-out from reports.
void rollout_system::updateStartTime(const rollout_report& report, time_point now)
{
    rollout_row* row = m_table.find(report.service);
    if (row && row->order.target == report.target)
        row->startTime = std::min(row->startTime, now - report.age);
}

std::vector<rollout_report> rollout_system::memberReports(time_point now) const
{
    std::vector<rollout_report> reports;
    for (const auto& [service, row] : m_table.rows()) {
        if (row.state != rollout_state::Running)
            continue;
        reports.push_back(ownReport(row, now));
        for (const received_report* received : m_reports.find(service, row.order.target)) {
            if (received->path == report_path::Direct && now - received->receivedAt < reportLifetime)
                reports.push_back(received->report);
        }
    }
    return reports;
}

const std::vector<rollout_report>& rollout_system::totalReports(time_point now)
{
    if (m_totalReportsAt && now - *m_totalReportsAt < totalsInterval)
        return m_totalReports;
    m_totalReportsAt = now;
    m_totalReports.clear();
    for (const auto& [service, row] : m_table.rows()) {
        if (row.state == rollout_state::Running)
            m_totalReports.push_back(totalReport(row, now));
    }
    return m_totalReports;
}

version_answers* rollout_system::answersFor(const rollout_subject& subject)
{
    const rollout_row* row = m_table.find(subject.service);
    if (!row || row->state != rollout_state::Running)
        return nullptr;
    startCounting(*row);
    route_answers& answers = m_ownEvidence[subject.service].at(subject.route);
    return subject.version == row->order.target ? &answers.target : &answers.others;
}

void rollout_system::countSent(const rollout_subject& subject)
{
    if (version_answers* answers = answersFor(subject))
        ++answers->sent;
}

void rollout_system::countAnswer(const rollout_subject& subject, bool good)
{
    if (version_answers* answers = answersFor(subject))
        ++(good ? answers->good : answers->bad);
}

void rollout_system::countFirstByte(const rollout_subject& subject, latency_grade grade)
{
    version_answers* answers = answersFor(subject);
    if (!answers)
        return;
    ++answers->timed;
    answers->slow += grade >= latency_grade::Slow ? 1 : 0;
    answers->verySlow += grade == latency_grade::VerySlow ? 1 : 0;
}

void rollout_system::countPace(const rollout_subject& subject, latency_grade grade)
{
    version_answers* answers = answersFor(subject);
    if (!answers)
        return;
    ++answers->paced;
    answers->slowPaced += grade >= latency_grade::Slow ? 1 : 0;
    answers->verySlowPaced += grade == latency_grade::VerySlow ? 1 : 0;
}

void rollout_system::countFirstByteAt(time_point due, const rollout_subject& subject, latency_grade grade)
{
    if (answersFor(subject))
        m_pendingFirstBytes.emplace(due, std::pair(subject, grade));
}

void rollout_system::countDueFirstBytes(time_point now)
{
    while (!m_pendingFirstBytes.empty() && m_pendingFirstBytes.begin()->first <= now) {
        const auto [subject, grade] = m_pendingFirstBytes.begin()->second;
        m_pendingFirstBytes.erase(m_pendingFirstBytes.begin());
        countFirstByte(subject, grade);
    }
}

bool rollout_system::isCoordinator(const service_name& service, time_point now) const
{
    if (!m_isLeader)
        return false;
    for (const auto& [key, publishedAt] : m_leaders) {
        if (key.second == service && key.first < m_self && now - publishedAt < reportLifetime)
            return false;
    }
    return true;
}

rollout_report rollout_system::ownReport(const rollout_row& row, time_point now) const
{
    const service_name& service = row.order.service;
    rollout_report report { m_self, m_incarnation, service, row.order.target, now - row.startTime, {}, 0, row.rejected,
        row.accepted };
    const auto counted = m_countedTargets.find(service);
    if (counted != m_countedTargets.end() && counted->second == row.order.target)
        report.evidence = m_ownEvidence.at(service);
    const auto running = m_otherVersionRequests.find(service);
    report.otherVersionRequests = running == m_otherVersionRequests.end() ? 0 : running->second;
    return report;
}

rollout_group_report rollout_system::groupReport(const rollout_row& row, time_point now) const
{
    rollout_group_report group { m_self, row.order.service, row.order.target, { ownReport(row, now) } };
    for (const received_report* received : m_reports.find(row.order.service, row.order.target)) {
        const duration age = now - received->receivedAt;
        if (received->path == report_path::Published || age >= publishedLifetime)
            continue;
        group.reports.push_back(received->report);
        if (age >= reportLifetime)
            group.reports.back().otherVersionRequests = 0;
    }
    return group;
}

rollout_report rollout_system::totalReport(const rollout_row& row, time_point now) const
{
    const service_name& service = row.order.service;
    rollout_report report = ownReport(row, now);
    for (const received_report* received : m_reports.find(service, row.order.target))
        addReport(report, received->report, now - received->receivedAt < reportLifetime);
    report.evidence += m_reports.evidence(service, row.order.target);
    const auto total = m_totals.find(service);
    const bool usable = total != m_totals.end() && total->second.report.target == row.order.target
        && now - total->second.receivedAt < reportLifetime;
    if (m_isLeader || !usable)
        return report;
    // Neither holds a count twice, so that the one with more requests is nearer to the truth.
    const auto sent = [](const rollout_report& counted) {
        const route_answers answers = counted.evidence.total();
        return answers.target.sent + answers.others.sent;
    };
    rollout_report larger = sent(report) > sent(total->second.report) ? report : total->second.report;
    larger.rejected = report.rejected || total->second.report.rejected;
    larger.accepted = report.accepted || total->second.report.accepted;
    return larger;
}

void rollout_system::advance(rollout_row& row, const rollout_report& total, time_point now)
{
    const rollout_verdict verdict = judgeRollout(row.evidence);
    if (verdict == rollout_verdict::Bad && !row.rejected)
        reject(row, "evidence");
    // Daemons see the same evidence at different times; a rejection by one of them is valid for all.
    if (total.rejected && !row.rejected)
        reject(row, "found by another daemon");
    // When the evidence is weak, only the coordinator decides. It goes on looking until the move, as answers that were
    // under way at its decision are counted later.
    const bool isDecisionDue = m_trial.isDecisionDue(row, now) && isCoordinator(row.order.service, now);
    if (!row.rejected && !row.moveStarted && isDecisionDue && isProbablyBad(row.evidence))
        reject(row, row.accepted ? "evidence since the decision" : "no time to see more");
    // The operators no longer wait for a version that was not decided on in time, as while the store was away.
    const bool isOverdue = now - row.startTime >= row.order.timeLimit;
    if (!row.rejected && !row.accepted && !total.accepted && isDecisionDue && isOverdue)
        reject(row, "no decision within the time limit");
    if (!row.rejected && !row.accepted && (isDecisionDue || total.accepted))
        accept(row, verdict);
    if (!row.rejected && row.accepted && !row.moveStarted && m_trial.mayMove(row, now))
        startMove(row, now);
    m_trial.advance(row, now);
    if (row.rejected)
        publish(row, rollout_state::RolledBack, now);
    else if (row.moveStarted && isCompletionDue(row, now))
        publish(row, rollout_state::Complete, now);
}

// The servers of other versions stop at once on completion, so their requests get as much time as there is.
bool rollout_system::isCompletionDue(const rollout_row& row, time_point now)
{
    const duration moving = now - *row.moveStarted;
    const duration left = row.order.timeLimit - (now - row.startTime);
    if (moving >= moveSettleTime && row.otherVersionRequests == 0)
        return true;
    return moving >= minimumSettleTime && left <= (moving >= moveSettleTime ? completionMargin : shortCompletionMargin);
}

void rollout_system::reject(rollout_row& row, const char* reason)
{
    row.rejected = true;
    m_nextReport = {};
    m_log.write(log_level::Warning, "rollout_condemned",
        { { "service", row.order.service.text() }, { "target", row.order.target.text() }, { "reason", reason },
            { "evidence", toText(row.evidence) } });
}

void rollout_system::accept(rollout_row& row, rollout_verdict verdict)
{
    row.accepted = true;
    m_nextReport = {};
    m_log.write(log_level::Info, "rollout_accepted",
        { { "service", row.order.service.text() }, { "target", row.order.target.text() },
            { "verdict", toText(verdict) }, { "evidence", toText(row.evidence) } });
}

void rollout_system::startMove(rollout_row& row, time_point now)
{
    row.moveStarted = now;
    const route_answers total = row.evidence.total();
    m_log.write(log_level::Info, "rollout_moving",
        { { "service", row.order.service.text() }, { "target", row.order.target.text() },
            { "sent", static_cast<int64_t>(total.target.sent) },
            { "others_sent", static_cast<int64_t>(total.others.sent) },
            { "left_ms", toMilliseconds(row.order.timeLimit - (now - row.startTime)) } });
}

void rollout_system::publish(const rollout_row& row, rollout_state state, time_point now)
{
    if (*m_publishPending || now < m_nextPublish || !isCoordinator(row.order.service, now))
        return;
    m_nextPublish = now + publishInterval;
    *m_publishPending = true;
    const rollout_status status { row.order.service, row.order.target, state };
    m_log.write(log_level::Info, "rollout_state_published",
        { { "service", status.service.text() }, { "target", status.target.text() },
            { "state", state == rollout_state::Complete ? "complete" : "rolled_back" },
            { "evidence", toText(row.evidence) }, { "others_running", row.otherVersionRequests } });
    m_store.publishRollout(status, [this, pending = std::weak_ptr(m_publishPending), status](bool stored) {
        const auto alive = pending.lock();
        if (!alive)
            return;
        *alive = false;
        if (stored)
            m_table.applyStatus(status);
    });
}

} // namespace pollen
