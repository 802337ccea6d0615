#include <relay/shared_topic.h>

#include <scheduling/request_hash.h>

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

uint64_t digestOf(const topic_record& record)
{
    return hashOf(record.key, record.position.era << 32 ^ record.position.offset);
}

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
        put({ record.key, std::nullopt, last, true });
        existing = m_records.find(record.key);
    }
    // Daemons send each other carried records that the receiver may have. These say nothing about a doubtful record.
    if (existing != m_records.end() && record == existing->second)
        return;
    if (existing != m_records.end() && !isNewer(record, existing->second)) {
        if (m_lapse && record.position.era > existing->second.position.era)
            doubt(record);
        return;
    }
    const auto doubtful = m_doubtful.extract(record.key);
    store(record);
    if (!doubtful || doubtful.mapped().position.era <= record.position.era)
        return;
    // A record of an earlier era does not show that the store has lost the doubtful one.
    const topic_record& waiting = doubtful.mapped();
    if (isNewer(waiting, m_records.at(waiting.key)))
        store(waiting);
    else
        doubt(waiting);
}

void shared_topic::doubt(const topic_record& record)
{
    const auto [known, isNew] = m_doubtful.try_emplace(record.key, record);
    if (!isNew && record.position > known->second.position)
        known->second = record;
}

void shared_topic::store(const topic_record& record)
{
    const auto existing = m_records.find(record.key);
    const bool changed = m_listener.onKey(record.key, record.value);
    if (changed || existing == m_records.end() || existing->second.value.has_value() != record.value.has_value()
        || existing->second.position.era != record.position.era)
        put(record);
}

void shared_topic::put(const topic_record& record)
{
    const auto [known, isNew] = m_records.try_emplace(record.key, record);
    if (!isNew) {
        unindex(known->second);
        known->second = record;
    }
    index(known->second);
}

void shared_topic::erase(std::map<std::string, topic_record>::iterator position)
{
    unindex(position->second);
    m_records.erase(position);
}

void shared_topic::index(const topic_record& record)
{
    m_byPosition.insert(&record);
    m_tombstones += record.value ? 0 : 1;
    if (isCarried(record))
        m_carriedDigest ^= digestOf(record);
}

void shared_topic::unindex(const topic_record& record)
{
    m_byPosition.erase(&record);
    m_tombstones -= record.value ? 0 : 1;
    if (isCarried(record))
        m_carriedDigest ^= digestOf(record);
}

// A later era makes carried records of those of the era before.
void shared_topic::setPosition(const log_position& position)
{
    const auto firstBefore = firstOfEra();
    m_position = position;
    const auto first = firstOfEra();
    for (auto record = firstBefore; record != first; ++record)
        m_carriedDigest ^= digestOf(**record);
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
    if (position > m_position)
        setPosition(position);
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
    for (const auto& [key, record] : std::exchange(m_doubtful, {})) {
        // The store was restored once more, and its new copy lacks the record.
        if (isCarried(record))
            continue;
        store({ key, record.value, m_position, true });
    }
}

void shared_topic::discardTombstones()
{
    const auto discard = [this](const auto& isDiscarded) {
        for (auto item = m_records.begin(); item != m_records.end();) {
            const auto current = item++;
            if (!current->second.value && isDiscarded(current->second))
                erase(current);
        }
    };
    if (m_tombstones > maximumTombstones) {
        m_oldestTombstone = m_position;
        discard([](const topic_record&) { return true; });
    }
    const bool hasCarried = firstOfEra() != m_byPosition.begin();
    if (hasCarried && m_asOf - m_eraSince >= carriedTombstoneLifetime)
        discard([this](const topic_record& record) { return isCarried(record); });
}

std::optional<topic_change> shared_topic::changeSince(
    const topic_state& known, time_point now, const change_limits& limits) const
{
    if (!m_isSynced)
        return std::nullopt;
    topic_change change;
    change.isSnapshot = known.position.era < m_position.era || known.position < m_oldestTombstone;
    change.position = m_position;
    change.age = now - m_asOf;
    const auto first = firstOfEra();
    size_t bytes = 0;
    // Records that fit into a part.
    size_t partRecords = 0;
    const auto add = [&](const topic_record& record) {
        bytes += record.key.size() + record.value.value_or("").size();
        change.isOmitted = bytes > limits.total;
        if (change.isOmitted)
            return;
        change.records.push_back(record);
        partRecords += bytes <= limits.part ? 1 : 0;
    };
    // The later records alone may settle what is carried, so it is sent to daemons that have these.
    const bool lacksCarried = known.carriedDigest != m_carriedDigest && known.position == m_position;
    if (change.isSnapshot || lacksCarried) {
        for (auto record = m_byPosition.begin(); record != first && !change.isOmitted; ++record)
            add(**record);
    }
    const auto firstNew = change.isSnapshot ? first : m_byPosition.lower_bound(known.position);
    for (auto record = firstNew; record != m_byPosition.end() && !change.isOmitted; ++record) {
        if (change.isSnapshot && !(*record)->value)
            continue;
        add(**record);
    }
    if (change.isOmitted) {
        change.records.clear();
        return change;
    }
    partRecords = std::max(partRecords, size_t { 1 });
    // Records that are carried over, or that stand at one position, are sent together.
    const bool hasParts = !change.isSnapshot && partRecords < change.records.size()
        && change.records.front().position >= known.position
        && change.records[partRecords].position > change.records.front().position;
    if (hasParts) {
        change.isPartial = true;
        change.position = change.records[partRecords].position;
        change.records.resize(partRecords);
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
    if (change.isPartial) {
        setPosition(change.position);
        m_listener.onSynced(m_asOf);
        return;
    }
    markSynced(change.position, requestedAt - change.age);
}

std::vector<topic_record> shared_topic::unconfirmed() const
{
    std::vector<topic_record> records;
    const auto first = firstOfEra();
    for (auto record = m_byPosition.begin(); record != first; ++record) {
        if ((*record)->value)
            records.push_back(**record);
    }
    return records;
}

} // namespace pollen
