#pragma once

#include <cstdint>
#include <map>
#include <relay/topic_change.h>
#include <relay/topic_listener.h>
#include <set>
#include <tuple>

namespace pollen {

// The newest records of a keyed topic, with their positions, so that daemons can send each other the records that the
// receiver lacks, whether these came from the log or from a third daemon.
//
// When the store comes back from an older copy, a new era begins and its offsets start from the copy's end. What was
// known before is carried over: a record of the copy does not replace it, unless the record says that it is newer. A
// carried record is confirmed by an equal or newer one of the new era.
class shared_topic {
public:
    // Times after the start of an era, for topics whose writers repeat their records by themselves and whose keys
    // lapse.
    struct lapse_times {
        // Carried records that the new era has not confirmed by then are dropped.
        duration unconfirmed { 0 };
        // Records that contradict what was known before are accepted if they still stand then.
        duration doubtful { 0 };
    };

    explicit shared_topic(topic_listener& listener, std::optional<lapse_times> lapse = std::nullopt)
        : m_listener(listener)
        , m_lapse(lapse)
    {
    }
    shared_topic(const shared_topic&) = delete;
    shared_topic& operator=(const shared_topic&) = delete;

    // Applies one record; a record that is not newer than the known one of its key is ignored, or is doubtful if its
    // era is later and keys lapse.
    void apply(const topic_record& record);

    // Deletes the keys that are not in the set and were last written before the given position of its era.
    void keepOnly(const std::set<std::string>& keys, const log_position& before);

    // Marks the topic as complete up to the given position as of the given time.
    void markSynced(const log_position& position, time_point asOf);

    // False until the first call of markSynced().
    bool isSynced() const { return m_isSynced; }
    // Position after the last known record.
    const log_position& position() const { return m_position; }
    topic_state state() const { return { m_position, m_carriedDigest }; }
    time_point asOf() const { return m_asOf; }

    // Bounds of a change in bytes of keys and values.
    struct change_limits {
        // A change beyond this is omitted.
        size_t total = SIZE_MAX;
        // A change beyond this is sent in parts, unless it is a single record or a snapshot.
        size_t part = SIZE_MAX;
    };

    // Changes for a daemon that knows the topic as far as the given state; none while the topic has not been synced.
    // The cost depends on the records sent, not on the topic.
    std::optional<topic_change> changeSince(
        const topic_state& known, time_point now, const change_limits& limits) const;
    std::optional<topic_change> changeSince(const topic_state& known, time_point now) const
    {
        return changeSince(known, now, {});
    }

    // Applies the changes that another daemon sent. requestedAt: when the request was sent.
    void apply(const topic_change& change, time_point requestedAt);

    // Values that the store has not shown since it was restored.
    std::vector<topic_record> unconfirmed() const;

private:
    bool isNewer(const topic_record& record, const topic_record& known) const;
    bool isCarried(const topic_record& record) const { return record.position.era < m_position.era; }
    // Whether a record of the copy belongs to a key that had lapsed before the restore.
    bool hadLapsed(const topic_record& record) const;
    void store(const topic_record& record);
    // Keeps a record that contradicts the known one until it is accepted; of two, the one that was written later.
    void doubt(const topic_record& record);
    // Insert, replace and erase records together with what is derived from them.
    void put(const topic_record& record);
    void erase(std::map<std::string, topic_record>::iterator position);
    // Adds a record to the derived members, or removes it from them.
    void index(const topic_record& record);
    void unindex(const topic_record& record);
    void setPosition(const log_position& position);
    void dropUnconfirmed();
    void acceptDoubtful();
    void discardTombstones();

    topic_listener& m_listener;
    std::optional<lapse_times> m_lapse;
    struct position_order {
        bool operator()(const topic_record* left, const topic_record* right) const
        {
            return std::tie(left->position, left->key) < std::tie(right->position, right->key);
        }
        using is_transparent = void;
        bool operator()(const topic_record* record, const log_position& position) const
        {
            return record->position < position;
        }
    };
    using records_by_position = std::set<const topic_record*, position_order>;
    // The first record of the current era; those before it are carried.
    records_by_position::const_iterator firstOfEra() const
    {
        return m_byPosition.lower_bound(log_position { m_position.era, 0 });
    }

    std::map<std::string, topic_record> m_records;
    // The same records.
    records_by_position m_byPosition;
    size_t m_tombstones = 0;
    // Digest of the carried records.
    uint64_t m_carriedDigest = 0;
    // Records of a later era than the known ones, which they contradict, for topics whose keys lapse. Those of an era
    // before the current one are not accepted.
    std::map<std::string, topic_record> m_doubtful;
    bool m_isSynced = false;
    log_position m_position;
    // Tombstones before this position have been discarded.
    log_position m_oldestTombstone;
    time_point m_asOf {};
    // When the era of m_position was first synced.
    time_point m_eraSince {};
};

} // namespace pollen
