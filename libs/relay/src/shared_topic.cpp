#include <relay/shared_topic.h>

#include <utility>

namespace pollen {

namespace {

// Dropped keys that are remembered, to pass on that they were dropped.
constexpr size_t maximumDropped = 1024;

} // namespace

void shared_topic::apply(const topic_record& record)
{
    const auto known = m_records.find(record.key);
    if (known != m_records.end() && known->second.offset >= record.offset)
        return;
    const bool changed = m_listener.onKey(record.key, record.value);
    if (changed || known == m_records.end() || known->second.value.has_value() != record.value.has_value())
        m_records[record.key] = record;
}

void shared_topic::keepOnly(const std::set<std::string>& keys, uint64_t before)
{
    std::vector<topic_record> dropped;
    for (const auto& [key, record] : m_records) {
        if (record.value && record.offset < before && !keys.contains(key))
            dropped.push_back({ key, std::nullopt, before });
    }
    for (const topic_record& record : dropped)
        apply(record);
}

void shared_topic::synced(uint64_t position, time_point asOf)
{
    if (!std::exchange(m_known, true))
        m_droppedSince = position;
    m_position = std::max(m_position, position);
    m_asOf = std::max(m_asOf, asOf);
    size_t dropped = 0;
    for (const auto& [key, record] : m_records)
        dropped += record.value ? 0 : 1;
    if (dropped > maximumDropped) {
        m_droppedSince = m_position;
        std::erase_if(m_records, [](const auto& item) { return !item.second.value; });
    }
    m_listener.onSynced(m_asOf);
}

std::optional<topic_change> shared_topic::changeSince(uint64_t position, time_point now) const
{
    if (!m_known)
        return std::nullopt;
    topic_change change;
    change.whole = position < m_droppedSince;
    change.position = m_position;
    change.age = now - m_asOf;
    for (const auto& [key, record] : m_records) {
        const bool wanted = change.whole ? record.value.has_value() : record.offset >= position;
        if (wanted)
            change.records.push_back(record);
    }
    return change;
}

void shared_topic::apply(const topic_change& change, time_point asked)
{
    // A daemon that is behind this one has nothing to tell, and what it takes for the newest is not.
    if (change.position < m_position)
        return;
    for (const topic_record& record : change.records)
        apply(record);
    if (change.whole) {
        std::set<std::string> keys;
        for (const topic_record& record : change.records)
            keys.insert(record.key);
        keepOnly(keys, change.position);
    }
    synced(change.position, asked - change.age);
}

} // namespace pollen
