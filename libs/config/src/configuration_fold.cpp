#include <config/configuration_fold.h>

#include <algorithm>

namespace pollen {

namespace {

constexpr size_t maximumRecentIds = 256;

// The document with all withdrawn versions marked so.
std::shared_ptr<const fleet_document> withWithdrawals(fleet_document document, const std::set<version_ref>& withdrawn)
{
    for (version_entry& entry : document.versions) {
        if (!withdrawn.contains(entry.ref))
            continue;
        entry.state = version_state::Withdrawn;
        entry.rolloutShare = 0;
    }
    return std::make_shared<const fleet_document>(std::move(document));
}

bool listed(const std::vector<version_ref>& refs, const version_ref& ref)
{
    return std::find(refs.begin(), refs.end(), ref) != refs.end();
}

} // namespace

const char* toText(verdict verdict)
{
    switch (verdict) {
    case verdict::Accepted:
        return "accepted";
    case verdict::Duplicate:
        return "duplicate";
    case verdict::StaleBase:
        return "stale_base";
    case verdict::InvalidDocument:
        return "invalid_document";
    case verdict::UnknownVersion:
        return "unknown_version";
    case verdict::ReinstatesWithdrawn:
        return "reinstates_withdrawn";
    case verdict::Undecodable:
        return "undecodable";
    case verdict::Pending:
        return "pending";
    }
    return "undecodable";
}

std::vector<folded_change> configuration_fold::apply(log_offset offset, const std::string& text)
{
    if (offset <= m_position)
        return {};
    m_position = offset;
    configuration_record record;
    try {
        record = decodeRecord(text);
    } catch (const record_error& problem) {
        return { { offset, record, verdict::Undecodable, problem.what(), m_state.version } };
    }
    if (record.kind == change_kind::Snapshot)
        return applySnapshot(offset, record);
    // Part of a state that was taken over from a peer.
    if (offset <= m_state.version)
        return { { offset, record, verdict::Duplicate, "", m_state.version } };
    if (m_needsSnapshot) {
        m_pending.push_back({ offset, record });
        return { { offset, record, verdict::Pending, "waits for a snapshot", m_state.version } };
    }
    return { decide(offset, record) };
}

void configuration_fold::skipTo(log_offset oldest)
{
    if (oldest <= m_position + 1)
        return;
    m_position = oldest - 1;
    m_needsSnapshot = m_needsSnapshot || oldest > m_state.version + 1;
}

configuration_record configuration_fold::snapshot(const std::string& id, const std::string& author) const
{
    configuration_record record;
    record.kind = change_kind::Snapshot;
    record.id = id;
    record.author = author;
    record.reason = "carries the state forward before older records expire";
    record.base = m_state.version;
    record.document = m_state.document ? toToml(*m_state.document) : std::string();
    record.withdrawn.assign(m_state.withdrawn.begin(), m_state.withdrawn.end());
    record.recentIds.assign(m_state.recentIds.begin(), m_state.recentIds.end());
    return record;
}

folded_change configuration_fold::decide(log_offset offset, const configuration_record& record)
{
    folded_change change { offset, record, verdict::Accepted, "", 0 };
    if (std::find(m_state.recentIds.begin(), m_state.recentIds.end(), record.id) != m_state.recentIds.end())
        change.result = verdict::Duplicate;
    else if (record.kind == change_kind::Withdraw)
        change.result = applyWithdraw(record);
    else if (record.base != m_state.version)
        change.result = verdict::StaleBase;
    else if (record.kind == change_kind::Publish)
        change.result = applyPublish(record, change.detail);
    else
        change.result = applyRollout(record, change.detail);
    if (change.result == verdict::StaleBase)
        change.detail = "made from version " + std::to_string(record.base) + ", in force is version "
            + std::to_string(m_state.version);
    if (change.result == verdict::Accepted)
        accept(offset, record);
    change.versionAfter = m_state.version;
    return change;
}

verdict configuration_fold::applyPublish(const configuration_record& record, std::string& detail)
{
    fleet_document document;
    try {
        document = parseFleetDocument(record.document, "published");
    } catch (const settings_error& problem) {
        detail = problem.what();
        return verdict::InvalidDocument;
    }
    std::set<version_ref> withdrawn;
    for (const version_ref& ref : m_state.withdrawn) {
        const version_entry* entry = document.findVersion(ref);
        if (listed(record.reinstate, ref))
            continue;
        if (entry && entry->state != version_state::Withdrawn) {
            detail = ref.text() + " is withdrawn and would return to service";
            return verdict::ReinstatesWithdrawn;
        }
        withdrawn.insert(ref);
    }
    for (const version_entry& entry : document.versions) {
        if (entry.state == version_state::Withdrawn)
            withdrawn.insert(entry.ref);
    }
    m_state.withdrawn = std::move(withdrawn);
    m_state.document = std::make_shared<const fleet_document>(std::move(document));
    return verdict::Accepted;
}

verdict configuration_fold::applyWithdraw(const configuration_record& record)
{
    if (!m_state.document || !m_state.document->findVersion(record.version))
        return verdict::UnknownVersion;
    m_state.withdrawn.insert(record.version);
    m_state.document = withWithdrawals(*m_state.document, m_state.withdrawn);
    return verdict::Accepted;
}

verdict configuration_fold::applyRollout(const configuration_record& record, std::string& detail)
{
    if (!m_state.document || !m_state.document->findVersion(record.version))
        return verdict::UnknownVersion;
    if (m_state.withdrawn.contains(record.version)) {
        detail = record.version.text() + " is withdrawn";
        return verdict::ReinstatesWithdrawn;
    }
    if (!(record.share >= 0 && record.share <= 1)) {
        detail = "the share must lie between 0 and 1";
        return verdict::InvalidDocument;
    }
    fleet_document document = *m_state.document;
    for (version_entry& entry : document.versions) {
        if (entry.ref != record.version)
            continue;
        const bool complete = record.share == 1;
        entry.state = complete ? version_state::Active : version_state::RollingOut;
        entry.rolloutShare = complete ? 0 : record.share;
    }
    m_state.document = std::make_shared<const fleet_document>(std::move(document));
    return verdict::Accepted;
}

std::vector<folded_change> configuration_fold::applySnapshot(log_offset offset, const configuration_record& record)
{
    // A base ahead of the state in force shows that a change expired unread; a fold that missed nothing never sees one.
    if (!m_needsSnapshot && record.base <= m_state.version)
        return { { offset, record, verdict::Duplicate, "", m_state.version } };
    if (record.base < m_state.version)
        return { { offset, record, verdict::StaleBase, "is older than the state in force", m_state.version } };
    try {
        takeOver(record);
    } catch (const settings_error& problem) {
        return { { offset, record, verdict::InvalidDocument, problem.what(), m_state.version } };
    }
    m_needsSnapshot = false;
    std::vector<folded_change> changes { { offset, record, verdict::Accepted, "", m_state.version } };
    for (const pending_record& pending : std::exchange(m_pending, {})) {
        // The snapshot already contains what came before its version.
        if (pending.offset > record.base)
            changes.push_back(decide(pending.offset, pending.record));
    }
    return changes;
}

bool configuration_fold::adopt(const std::string& snapshotText)
{
    const configuration_record snapshot = decodeRecord(snapshotText);
    if (snapshot.kind != change_kind::Snapshot)
        throw record_error("a peer's state must be a snapshot");
    if (snapshot.base <= m_state.version)
        return false;
    takeOver(snapshot);
    if (m_position <= m_state.version)
        m_needsSnapshot = false;
    return true;
}

void configuration_fold::takeOver(const configuration_record& snapshot)
{
    fleet_document document = parseFleetDocument(snapshot.document, "snapshot");
    m_state.withdrawn = { snapshot.withdrawn.begin(), snapshot.withdrawn.end() };
    m_state.document = withWithdrawals(std::move(document), m_state.withdrawn);
    m_state.version = snapshot.base;
    m_state.recentIds = { snapshot.recentIds.begin(), snapshot.recentIds.end() };
}

void configuration_fold::accept(log_offset offset, const configuration_record& record)
{
    m_state.version = offset;
    m_state.recentIds.push_back(record.id);
    if (m_state.recentIds.size() > maximumRecentIds)
        m_state.recentIds.pop_front();
}

} // namespace pollen
