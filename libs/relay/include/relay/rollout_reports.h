#pragma once

#include <map>
#include <relay/rollout.h>
#include <tuple>
#include <vector>

namespace pollen {

// How a report has reached this daemon.
enum class report_path {
    // From the daemon that counted.
    Direct,
    // From a member that had it directly.
    Forwarded,
    // From the store.
    Published,
};

// The reports of other daemons on the running roll-outs, by the daemon that counted and its start, so that a count is
// taken once however often and on whatever paths it arrives. What an earlier start of a daemon has counted stays.
class rollout_reports {
public:
    struct received_report {
        rollout_report report;
        time_point receivedAt;
        report_path path = report_path::Published;
    };

    // Keeps the report unless one as old or older is known of the same start. Returns false if there are too many
    // daemons for another one.
    bool merge(const rollout_report& report, report_path path, time_point now);

    // The reports on a roll-out, in a fixed order. Valid until the next change.
    std::vector<const received_report*> find(const service_name& service, const version_name& target) const;

    // The counts of all reports on a roll-out, summed up as reports arrive.
    const rollout_evidence& evidence(const service_name& service, const version_name& target) const;

    // Drops what is kept for other roll-outs of the service than this one; for all if the target is empty.
    void keepOnly(const service_name& service, const version_name& target);

private:
    // Service, target, daemon and incarnation.
    using key = std::tuple<service_name, version_name, instance_id, uint64_t>;

    std::map<key, received_report> m_reports;
    std::map<std::pair<service_name, version_name>, rollout_evidence> m_evidence;
};

// Adds what a report says to the total, without its counts. Requests in progress are added if isCurrent.
void addReport(rollout_report& total, const rollout_report& report, bool isCurrent);

} // namespace pollen
