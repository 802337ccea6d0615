#include <relay/rollout_reports.h>

#include <algorithm>

namespace pollen {

namespace {

// Starts of daemons, over all roll-outs. Bounds the memory that other daemons can claim.
constexpr size_t maximumReports = 4096;

} // namespace

bool rollout_reports::merge(const rollout_report& report, report_path path, time_point now)
{
    const key origin { report.service, report.target, report.daemon, report.incarnation };
    const auto known = m_reports.find(origin);
    if (known == m_reports.end() && m_reports.size() >= maximumReports)
        return false;
    rollout_evidence& evidence = m_evidence[{ report.service, report.target }];
    if (known == m_reports.end()) {
        m_reports.emplace(origin, received_report { report, now, path });
        evidence += report.evidence;
        return true;
    }
    // The age only grows while the daemon runs, and the counts with it.
    if (known->second.report.age < report.age) {
        evidence -= known->second.report.evidence;
        evidence += report.evidence;
        known->second = { report, now, path };
    }
    return true;
}

const rollout_evidence& rollout_reports::evidence(const service_name& service, const version_name& target) const
{
    static const rollout_evidence none;
    const auto known = m_evidence.find({ service, target });
    return known == m_evidence.end() ? none : known->second;
}

std::vector<const rollout_reports::received_report*> rollout_reports::find(
    const service_name& service, const version_name& target) const
{
    std::vector<const received_report*> found;
    for (auto item = m_reports.lower_bound({ service, target, {}, 0 }); item != m_reports.end(); ++item) {
        if (item->second.report.service != service || item->second.report.target != target)
            break;
        found.push_back(&item->second);
    }
    return found;
}

void rollout_reports::keepOnly(const service_name& service, const version_name& target)
{
    std::erase_if(m_reports, [&](const auto& item) {
        return item.second.report.service == service && (target.empty() || item.second.report.target != target);
    });
    std::erase_if(m_evidence, [&](const auto& item) {
        return item.first.first == service && (target.empty() || item.first.second != target);
    });
}

void addReport(rollout_report& total, const rollout_report& report, bool isCurrent)
{
    total.age = std::max(total.age, report.age);
    total.otherVersionRequests += isCurrent ? report.otherVersionRequests : 0;
    total.rejected = total.rejected || report.rejected;
    total.accepted = total.accepted || report.accepted;
}

} // namespace pollen
