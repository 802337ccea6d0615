#pragma once

#include <algorithm>
#include <base/clock.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollen {

// The newest record of one key; a record without a value is a tombstone: the key has been deleted.
struct topic_record {
    std::string key;
    std::optional<std::string> value;
    // Position of the record in the platform's log.
    uint64_t offset = 0;

    friend bool operator==(const topic_record&, const topic_record&) = default;
};

// Receives the records of a topic.
class topic_listener {
public:
    virtual ~topic_listener() = default;
    // Returns false when the record changes nothing relevant, so that it need not be passed on.
    virtual bool onKey(const std::string& key, const std::optional<std::string>& value) = 0;
    // All records that the topic held at that time have been passed to onKey().
    virtual void onSynced(time_point asOf) = 0;
};

// Changes of a topic since a log position.
struct topic_change {
    // The records are the complete topic; all other keys have been deleted.
    bool isSnapshot = false;
    // The change contains the effect of all records before this position.
    uint64_t position = 0;
    // Time since the sender last knew that there was nothing newer.
    duration age { 0 };
    std::vector<topic_record> records;

    friend bool operator==(const topic_change&, const topic_change&) = default;
};

// The newest records of a keyed topic, with their positions, so that daemons can send each other the records that the
// receiver lacks, whether these came from the log or from a third daemon.
class shared_topic {
public:
    explicit shared_topic(topic_listener& listener)
        : m_listener(listener)
    {
    }

    // Applies one record; a record that is not newer than the known one of its key is ignored.
    void apply(const topic_record& record);

    // Deletes the keys that are not in the set and were last written before the given position.
    void keepOnly(const std::set<std::string>& keys, uint64_t before);

    // Marks the topic as complete up to the given position as of the given time.
    void markSynced(uint64_t position, time_point asOf);

    // False until the first call of markSynced().
    bool isSynced() const { return m_isSynced; }
    // Position after the last known record.
    uint64_t position() const { return m_position; }
    time_point asOf() const { return m_asOf; }

    // Changes for a daemon at the given position; none while the topic has not been synced.
    std::optional<topic_change> changeSince(uint64_t position, time_point now) const;

    // Applies the changes that another daemon sent. requestedAt: when the request was sent.
    void apply(const topic_change& change, time_point requestedAt);

private:
    topic_listener& m_listener;
    std::map<std::string, topic_record> m_records;
    bool m_isSynced = false;
    uint64_t m_position = 0;
    // Tombstones before this position have been discarded.
    uint64_t m_oldestTombstone = 0;
    time_point m_asOf {};
};

} // namespace pollen
