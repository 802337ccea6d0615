#include <relay/shared_topic.h>

#include <utility>

namespace pollen {

namespace {

// Tombstones kept so that deletions can be passed on. Beyond this number all are discarded, and a daemon at an older
// position receives a snapshot.
constexpr size_t maximumTombstones = 1024;

} // namespace

void shared_topic::apply(const topic_record& record)
{
    const auto existing = m_records.find(record.key);
    if (existing != m_records.end() && existing->second.offset >= record.offset)
        return;
    const bool changed = m_listener.onKey(record.key, record.value);
    if (changed || existing == m_records.end() || existing->second.value.has_value() != record.value.has_value())
        m_records[record.key] = record;
}

void shared_topic::keepOnly(const std::set<std::string>& keys, uint64_t before)
{
    std::vector<topic_record> tombstones;
    for (const auto& [key, record] : m_records) {
        if (record.value && record.offset < before && !keys.contains(key))
            tombstones.push_back({ key, std::nullopt, before });
    }
    for (const topic_record& record : tombstones)
        apply(record);
}

void shared_topic::markSynced(uint64_t position, time_point asOf)
{
    if (!std::exchange(m_isSynced, true))
        m_oldestTombstone = position;
    m_position = std::max(m_position, position);
    m_asOf = std::max(m_asOf, asOf);
    size_t tombstones = 0;
    for (const auto& [key, record] : m_records)
        tombstones += record.value ? 0 : 1;
    if (tombstones > maximumTombstones) {
        m_oldestTombstone = m_position;
        std::erase_if(m_records, [](const auto& item) { return !item.second.value; });
    }
    m_listener.onSynced(m_asOf);
}

std::optional<topic_change> shared_topic::changeSince(uint64_t position, time_point now) const
{
    if (!m_isSynced)
        return std::nullopt;
    topic_change change;
    change.isSnapshot = position < m_oldestTombstone;
    change.position = m_position;
    change.age = now - m_asOf;
    for (const auto& [key, record] : m_records) {
        const bool isIncluded = change.isSnapshot ? record.value.has_value() : record.offset >= position;
        if (isIncluded)
            change.records.push_back(record);
    }
    return change;
}

void shared_topic::apply(const topic_change& change, time_point requestedAt)
{
    // The change of a daemon that is behind this one holds nothing new, and its age refers to older records.
    if (change.position < m_position)
        return;
    for (const topic_record& record : change.records)
        apply(record);
    if (change.isSnapshot) {
        std::set<std::string> keys;
        for (const topic_record& record : change.records)
            keys.insert(record.key);
        keepOnly(keys, change.position);
    }
    markSynced(change.position, requestedAt - change.age);
}

} // namespace pollen
