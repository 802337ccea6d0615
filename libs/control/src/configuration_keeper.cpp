#include <control/configuration_keeper.h>

#include <base/digest.h>

namespace pollen {

namespace {

// Daemons that find a snapshot due wait a random time up to this, so that usually one of them writes it.
constexpr int64_t snapshotSpreadMs = 5000;

} // namespace

configuration_keeper::configuration_keeper(event_loop& loop, record_log& log, fleet_tables& tables,
    const instance_id& self, random_source& random, const clock& clock, logger& logger)
    : m_log(log)
    , m_tables(tables)
    , m_self(self)
    , m_random(random)
    , m_logger(logger)
    , m_follower(loop, log, configurationStream, random, clock,
          { [this](const log_record& record) { onRecord(record); },
              [this](log_offset oldest) { m_fold.skipTo(oldest); } })
{
}

void configuration_keeper::onRecord(const log_record& record)
{
    const log_offset before = m_fold.state().version;
    for (const folded_change& change : m_fold.apply(record.offset, record.value)) {
        const bool anchors = change.record.kind == change_kind::Snapshot && change.result != verdict::InvalidDocument;
        if (anchors || m_anchorMilliseconds == 0)
            m_anchorMilliseconds = record.timeMilliseconds;
        report(change);
    }
    if (m_fold.state().version == before || !m_fold.state().document)
        return;
    m_tables.install(m_fold.state().document);
    m_logger.write(log_level::Info, "configuration_in_force", { { "version", m_fold.state().version } });
}

void configuration_keeper::report(const folded_change& change)
{
    const bool accepted = change.result == verdict::Accepted || change.result == verdict::Duplicate;
    m_logger.write(accepted ? log_level::Info : log_level::Warning, "configuration_change",
        { { "offset", change.offset }, { "kind", toText(change.record.kind) }, { "verdict", toText(change.result) },
            { "author", change.record.author }, { "reason", change.record.reason }, { "detail", change.detail } });
}

void configuration_keeper::tick(time_point now)
{
    const int64_t retention = m_follower.retentionMilliseconds();
    const int64_t age = m_follower.logMilliseconds() - m_anchorMilliseconds;
    if (version() == 0 || !m_follower.caughtUp() || age < retention / 2) {
        m_nextSnapshotTry = time_point {};
        return;
    }
    if (m_nextSnapshotTry == time_point {}) {
        const int64_t spread = std::min(snapshotSpreadMs, retention / 8);
        std::uniform_int_distribution<int64_t> wait(0, spread);
        m_nextSnapshotTry = now + std::chrono::milliseconds(wait(m_random));
    }
    if (now < m_nextSnapshotTry)
        return;
    m_nextSnapshotTry = time_point {};
    writeSnapshot();
}

void configuration_keeper::writeSnapshot()
{
    const configuration_record record = m_fold.snapshot(randomHex64(), m_self.text());
    m_log.append(configurationStream, { encodeRecord(record) }, [this](const append_result& result) {
        const bool appended = result.outcome == append_outcome::Appended;
        m_logger.write(
            appended ? log_level::Info : log_level::Warning, "configuration_snapshot", { { "appended", appended } });
    });
}

} // namespace pollen
