#pragma once

#include <map>
#include <relay/topic_change.h>
#include <relay/topic_listener.h>
#include <set>

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

    // Applies one record; a record that is not newer than the known one of its key is ignored.
    void apply(const topic_record& record);

    // Deletes the keys that are not in the set and were last written before the given position of its era.
    void keepOnly(const std::set<std::string>& keys, const log_position& before);

    // Marks the topic as complete up to the given position as of the given time.
    void markSynced(const log_position& position, time_point asOf);

    // False until the first call of markSynced().
    bool isSynced() const { return m_isSynced; }
    // Position after the last known record.
    const log_position& position() const { return m_position; }
    topic_state state() const { return { m_position, carriedDigest() }; }
    time_point asOf() const { return m_asOf; }

    // Changes for a daemon that knows the topic as far as the given state; none while the topic has not been synced.
    std::optional<topic_change> changeSince(const topic_state& known, time_point now) const;

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
    uint64_t carriedDigest() const;
    void dropUnconfirmed();
    void acceptDoubtful();
    void discardTombstones();

    topic_listener& m_listener;
    std::optional<lapse_times> m_lapse;
    std::map<std::string, topic_record> m_records;
    // Records of the current era that contradict carried ones, for topics whose keys lapse.
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
