#include <relay/shared_topic.h>

#include "request_hash.h"

#include <algorithm>
#include <utility>

namespace pollen {

namespace {

// Tombstones kept so that deletions can be passed on. Beyond this number all are discarded, and a daemon at an older
// position receives a snapshot.
constexpr size_t maximumTombstones = 1024;
// Tombstones of an earlier era keep a copy's records from coming back. Daemons that have been cut off for longer read
// the store first.
constexpr duration carriedTombstoneLifetime = std::chrono::seconds(30);

} // namespace

bool shared_topic::isNewer(const topic_record& record, const topic_record& known) const
{
    if (record.position.era == known.position.era)
        return record.position.offset > known.position.offset
            || (known.mayPredateEra && record.position.offset == known.position.offset);
    const bool isLaterEra = record.position.era > known.position.era;
    if (!(isLaterEra ? record : known).mayPredateEra)
        return isLaterEra;
    // The record of the later era may be a copy of one of the earlier era, where it stood at the same offset.
    if (record.value == known.value)
        return isLaterEra;
    if (record.value && known.value) {
        const std::partial_ordering order = m_listener.compareAge(record.key, *record.value, *known.value);
        if (order != std::partial_ordering::unordered)
            return order > 0 || (isLaterEra && order == 0);
    }
    // Two different records at one offset: the later era has given it out again.
    if (record.position.offset == known.position.offset)
        return isLaterEra;
    return record.position.offset > known.position.offset;
}

bool shared_topic::hadLapsed(const topic_record& record) const
{
    return m_lapse && m_isSynced && record.position.era > m_position.era && record.mayPredateEra
        && record.position.offset < m_position.offset;
}

void shared_topic::apply(const topic_record& record)
{
    auto existing = m_records.find(record.key);
    if (existing == m_records.end() && hadLapsed(record)) {
        const log_position last { m_position.era, m_position.offset - 1 };
        existing = m_records.insert({ record.key, { record.key, std::nullopt, last, true } }).first;
    }
    if (existing == m_records.end() || isNewer(record, existing->second)) {
        m_doubtful.erase(record.key);
        store(record);
    } else if (m_lapse && record.position.era > existing->second.position.era) {
        m_doubtful[record.key] = record;
    }
}

void shared_topic::store(const topic_record& record)
{
    const auto existing = m_records.find(record.key);
    const bool changed = m_listener.onKey(record.key, record.value);
    if (changed || existing == m_records.end() || existing->second.value.has_value() != record.value.has_value()
        || existing->second.position.era != record.position.era)
        m_records[record.key] = record;
}

void shared_topic::keepOnly(const std::set<std::string>& keys, const log_position& before)
{
    std::vector<topic_record> tombstones;
    for (const auto& [key, record] : m_records) {
        if (record.value && record.position.era == before.era && record.position < before && !keys.contains(key))
            tombstones.push_back({ key, std::nullopt, before, true });
    }
    for (const topic_record& record : tombstones)
        apply(record);
}

void shared_topic::markSynced(const log_position& position, time_point asOf)
{
    if (!std::exchange(m_isSynced, true)) {
        m_oldestTombstone = position;
        m_eraSince = asOf;
    }
    if (position.era > m_position.era)
        m_eraSince = asOf;
    m_position = std::max(m_position, position);
    m_asOf = std::max(m_asOf, asOf);
    if (m_lapse && m_asOf - m_eraSince >= m_lapse->unconfirmed)
        dropUnconfirmed();
    if (m_lapse && m_asOf - m_eraSince >= m_lapse->doubtful)
        acceptDoubtful();
    discardTombstones();
    m_listener.onSynced(m_asOf);
}

void shared_topic::dropUnconfirmed()
{
    for (const topic_record& record : unconfirmed())
        store({ record.key, std::nullopt, m_position, true });
}

void shared_topic::acceptDoubtful()
{
    for (const auto& [key, record] : std::exchange(m_doubtful, {}))
        store({ key, record.value, m_position, true });
}

void shared_topic::discardTombstones()
{
    const auto tombstones = std::count_if(
        m_records.begin(), m_records.end(), [](const auto& item) { return !item.second.value.has_value(); });
    if (tombstones > static_cast<std::ptrdiff_t>(maximumTombstones)) {
        m_oldestTombstone = m_position;
        std::erase_if(m_records, [](const auto& item) { return !item.second.value; });
    }
    if (m_asOf - m_eraSince >= carriedTombstoneLifetime)
        std::erase_if(m_records, [this](const auto& item) { return !item.second.value && isCarried(item.second); });
}

std::optional<topic_change> shared_topic::changeSince(const topic_state& known, time_point now) const
{
    if (!m_isSynced)
        return std::nullopt;
    topic_change change;
    change.isSnapshot = known.position.era < m_position.era || known.position < m_oldestTombstone;
    change.position = m_position;
    change.age = now - m_asOf;
    const bool knowsCarried = known.carriedDigest == carriedDigest();
    for (const auto& [key, record] : m_records) {
        const bool isIncluded = isCarried(record) ? change.isSnapshot || !knowsCarried
            : change.isSnapshot                   ? record.value.has_value()
                                                  : record.position >= known.position;
        if (isIncluded)
            change.records.push_back(record);
    }
    return change;
}

void shared_topic::apply(const topic_change& change, time_point requestedAt)
{
    // The change of a daemon that is behind this one holds nothing new, and its age refers to older records.
    if (change.position < m_position || change.isOmitted)
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

std::vector<topic_record> shared_topic::unconfirmed() const
{
    std::vector<topic_record> records;
    for (const auto& [key, record] : m_records) {
        if (record.value && isCarried(record))
            records.push_back(record);
    }
    return records;
}

uint64_t shared_topic::carriedDigest() const
{
    uint64_t digest = 0;
    for (const auto& [key, record] : m_records) {
        if (isCarried(record))
            digest ^= hashOf(key, record.position.era << 32 ^ record.position.offset);
    }
    return digest;
}

} // namespace pollen
