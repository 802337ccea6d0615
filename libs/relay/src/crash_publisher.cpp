#include <relay/crash_publisher.h>

namespace pollen {

namespace {

// Limits the calls to the store. The leaders poll the store at the same interval; with one request between member and
// leader in each group, all daemons know within three seconds, the minimum that the platform allows.
constexpr duration publishInterval = std::chrono::milliseconds(1000);

} // namespace

crash_publisher::crash_publisher(crash_table& table, fleet_store& store, const clock& time, logger& log)
    : m_table(table)
    , m_store(store)
    , m_time(time)
    , m_log(log)
    , m_alive(std::make_shared<bool>(true))
{
}

void crash_publisher::tick(time_point now)
{
    if (now < m_nextPublish)
        return;
    m_nextPublish = now + publishInterval;
    logQuarantines();
    m_table.sweep(m_time.wallMilliseconds());
    if (m_isLeader && !m_isPublishing)
        publish();
}

void crash_publisher::logQuarantines()
{
    for (const uint64_t fingerprint : m_table.takeNewlyQuarantined(m_time.wallMilliseconds()))
        m_log.write(log_level::Warning, "request_quarantined",
            { { "fingerprint", fingerprintText(fingerprint) },
                { "ends", static_cast<int64_t>(m_table.countCrashes(fingerprint)) } });
}

void crash_publisher::publish()
{
    std::vector<crash_report> reports = m_table.unstored();
    const std::vector<crash_report_key> outdated = m_table.outdated(m_time.wallMilliseconds());
    if (reports.empty() && outdated.empty())
        return;
    m_isPublishing = true;
    m_store.publishCrashes(reports, outdated, [this, reports, alive = std::weak_ptr<bool>(m_alive)](bool stored) {
        if (alive.expired())
            return;
        m_isPublishing = false;
        // Without a response the reports may have been stored; storing them again has no effect.
        if (!stored)
            return;
        for (const crash_report& report : reports)
            m_table.merge(report, true);
    });
}

} // namespace pollen
