#include <control/configuration_manager.h>

#include <base/digest.h>

namespace pollen {

namespace {

// A due snapshot is delayed by a random time up to this limit, so that usually only one daemon writes it.
constexpr int64_t maximumSnapshotDelayMilliseconds = 5000;
// Time for which a peer must be ahead before its state is fetched; the log usually delivers the change sooner.
constexpr duration peerFetchDelay = std::chrono::milliseconds(300);
constexpr duration fetchInterval = std::chrono::milliseconds(500);

} // namespace

configuration_manager::configuration_manager(event_loop& loop, record_log& log, fleet_tables& tables, peer_table& peers,
    state_exchange& exchange, const instance_id& self, random_source& random, const clock& clock, logger& logger)
    : m_log(log)
    , m_tables(tables)
    , m_peers(peers)
    , m_exchange(exchange)
    , m_self(self)
    , m_random(random)
    , m_logger(logger)
    , m_follower(loop, log, configurationStream, random, clock,
          { [this](const log_record& record) { onRecord(record); },
              [this](log_offset oldest) { m_reducer.skipTo(oldest); } })
    , m_alive(std::make_shared<bool>(true))
{
    m_exchange.setSource([this](const std::string&) {
        return version() == 0 ? std::string() : encodeRecord(m_reducer.snapshot(randomHex64(), m_self.text()));
    });
}

void configuration_manager::onRecord(const log_record& record)
{
    const log_offset before = m_reducer.state().version;
    for (const folded_change& change : m_reducer.apply(record.offset, record.value)) {
        const bool isAnchor = change.record.kind == change_kind::Snapshot && change.result != verdict::InvalidDocument;
        if (isAnchor || m_anchorMilliseconds == 0)
            m_anchorMilliseconds = record.timeMilliseconds;
        logChange(change);
    }
    if (m_reducer.state().version != before && m_reducer.state().document)
        install();
}

void configuration_manager::install()
{
    m_tables.install(m_reducer.state().document);
    m_logger.write(log_level::Info, "configuration_in_force", { { "version", m_reducer.state().version } });
}

void configuration_manager::logChange(const folded_change& change)
{
    const bool accepted = change.result == verdict::Accepted || change.result == verdict::Duplicate;
    m_logger.write(accepted ? log_level::Info : log_level::Warning, "configuration_change",
        { { "offset", change.offset }, { "kind", toText(change.record.kind) }, { "verdict", toText(change.result) },
            { "author", change.record.author }, { "reason", change.record.reason }, { "detail", change.detail } });
}

void configuration_manager::tick(time_point now)
{
    catchUpFromPeers(now);
    writeSnapshotIfDue(now);
}

void configuration_manager::catchUpFromPeers(time_point now)
{
    const peer_row* newest = nullptr;
    for (const auto& [id, row] : m_peers.rows()) {
        if (!m_peers.isAlive(id, now) || row.configurationVersion <= version())
            continue;
        if (!newest || row.configurationVersion > newest->configurationVersion)
            newest = &row;
    }
    if (!newest) {
        m_behindSince = time_point {};
        return;
    }
    if (m_behindSince == time_point {})
        m_behindSince = now;
    if (m_fetching || now - m_behindSince < peerFetchDelay || now < m_nextFetch)
        return;
    m_fetching = true;
    m_nextFetch = now + fetchInterval;
    m_exchange.fetch(newest->listed.address, "",
        [this, peer = newest->listed.id, alive = std::weak_ptr<bool>(m_alive)](const auto& state) {
            if (!alive.expired())
                onPeerState(peer, state);
        });
}

void configuration_manager::onPeerState(const instance_id& peer, const std::optional<std::string>& state)
{
    m_fetching = false;
    try {
        if (!state || !m_reducer.adopt(*state))
            return;
    } catch (const error& problem) {
        m_logger.write(
            log_level::Warning, "peer_state_refused", { { "peer", peer.text() }, { "detail", problem.what() } });
        return;
    }
    m_logger.write(log_level::Info, "configuration_from_peer", { { "peer", peer.text() } });
    install();
}

void configuration_manager::writeSnapshotIfDue(time_point now)
{
    const int64_t retention = m_follower.retentionMilliseconds();
    const int64_t age = m_follower.logMilliseconds() - m_anchorMilliseconds;
    if (version() == 0 || !m_follower.caughtUp() || age < retention / 2) {
        m_snapshotDue = time_point {};
        return;
    }
    if (m_snapshotDue == time_point {}) {
        const int64_t spread = std::min(maximumSnapshotDelayMilliseconds, retention / 8);
        std::uniform_int_distribution<int64_t> wait(0, spread);
        m_snapshotDue = now + std::chrono::milliseconds(wait(m_random));
    }
    if (now < m_snapshotDue)
        return;
    m_snapshotDue = time_point {};
    writeSnapshot();
}

void configuration_manager::writeSnapshot()
{
    const configuration_record record = m_reducer.snapshot(randomHex64(), m_self.text());
    m_log.append(configurationStream, { encodeRecord(record) }, [this](const append_result& result) {
        const bool appended = result.outcome == append_outcome::Appended;
        m_logger.write(
            appended ? log_level::Info : log_level::Warning, "configuration_snapshot", { { "appended", appended } });
    });
}

} // namespace pollen
