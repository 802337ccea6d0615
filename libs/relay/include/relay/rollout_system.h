#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <map>
#include <memory>
#include <optional>
#include <relay/fleet_store.h>
#include <relay/rollout_reports.h>
#include <relay/rollout_trial.h>
#include <relay/rollout_verdict.h>

namespace pollen {

// Takes roll-outs through their stages. Members send their counts to their leader, and each leader publishes the counts
// of its group in the store, so that every daemon computes the same sums and reaches the same verdict. The first of the
// leaders is the coordinator: it publishes the state to the operators.
//
// Counts keep the name of the daemon that counted wherever they are passed on. Only the total that a daemon gets from
// the one that it queries is a sum, and it is not passed on.
class rollout_system final : public fleet_system {
public:
    rollout_system(rollout_table& table, fleet_store& store, const instance_id& self, uint64_t incarnation,
        exposure_limit exposure, logger& log);

    void tick(time_point now) override;

    // Whether this daemon is a leader: it reads the store and aggregates the counts of its group.
    void setLeader(bool isLeader) { m_isLeader = isLeader; }

    // Stores the published reports of a group.
    void receiveGroupReport(const rollout_group_report& report, time_point now);
    // Stores counts that a member of this daemon's group has sent.
    void receiveMemberReport(const rollout_report& report, const instance_id& sender, time_point now);
    // Stores the counts of all daemons, as sent by this daemon's leader.
    void receiveTotalReport(const rollout_report& report, time_point now);

    // The counts of this daemon and those that others have sent it of themselves, for each running roll-out.
    std::vector<rollout_report> memberReports(time_point now) const;
    // The counts of all daemons that are known here, one report for each running roll-out. Summed up at most once
    // within a short time, as all members of a group ask for them. Valid until the next call.
    const std::vector<rollout_report>& totalReports(time_point now);

    // Counts a request sent to a server; ignored, like the counts below, unless a roll-out of the service is running.
    void countSent(const rollout_subject& subject);
    // Counts a completed answer.
    void countAnswer(const rollout_subject& subject, bool good);
    // Counts a first byte that has arrived or is overdue.
    void countFirstByte(const rollout_subject& subject, latency_grade grade);
    // As countFirstByte(), but counted once `due` has passed.
    void countFirstByteAt(time_point due, const rollout_subject& subject, latency_grade grade);
    // Counts a stream whose pace has been measured.
    void countPace(const rollout_subject& subject, latency_grade grade);
    // A request starts or ends on a server of a version other than the target.
    void addOtherVersionRequest(const service_name& service) { ++m_otherVersionRequests[service]; }
    void removeOtherVersionRequest(const service_name& service) { --m_otherVersionRequests[service]; }

private:
    using received_report = rollout_reports::received_report;

    bool isCoordinator(const service_name& service, time_point now) const;
    void startCounting(const rollout_row& row);
    // The counters for the subject; null unless a roll-out of its service is running.
    version_answers* answersFor(const rollout_subject& subject);
    void countDueFirstBytes(time_point now);
    void reject(rollout_row& row, const char* reason);
    void accept(rollout_row& row, rollout_verdict verdict);
    void startMove(rollout_row& row, time_point now);
    static bool isCompletionDue(const rollout_row& row, time_point now);
    void receive(const rollout_report& report, report_path path, time_point now);
    rollout_report ownReport(const rollout_row& row, time_point now) const;
    rollout_group_report groupReport(const rollout_row& row, time_point now) const;
    rollout_report totalReport(const rollout_row& row, time_point now) const;
    void updateStartTime(const rollout_report& report, time_point now);
    void advance(rollout_row& row, const rollout_report& total, time_point now);
    void publish(const rollout_row& row, rollout_state state, time_point now);

    rollout_table& m_table;
    fleet_store& m_store;
    instance_id m_self;
    uint64_t m_incarnation;
    rollout_trial m_trial;
    logger& m_log;
    bool m_isLeader = true;
    std::map<service_name, rollout_evidence> m_ownEvidence;
    std::multimap<time_point, std::pair<rollout_subject, latency_grade>> m_pendingFirstBytes;
    std::map<service_name, uint64_t> m_otherVersionRequests;
    std::map<service_name, version_name> m_countedTargets;
    rollout_reports m_reports;
    // When each leader has published last.
    std::map<std::pair<instance_id, service_name>, time_point> m_leaders;
    std::map<service_name, received_report> m_totals;
    // For the members, and when they were summed up.
    std::vector<rollout_report> m_totalReports;
    std::optional<time_point> m_totalReportsAt;
    time_point m_nextReport {};
    time_point m_nextPublish {};
    std::shared_ptr<bool> m_publishPending;
};

} // namespace pollen
