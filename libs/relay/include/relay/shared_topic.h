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

// The newest record of one key; without a value the key has been dropped.
struct topic_record {
    std::string key;
    std::optional<std::string> value;
    // Position of the record in the platform's log.
    uint64_t offset = 0;

    friend bool operator==(const topic_record&, const topic_record&) = default;
};

// Learns what a topic says.
class topic_listener {
public:
    virtual ~topic_listener() = default;
    // Returns false when the record changes nothing that matters, so that it need not be passed on.
    virtual bool onKey(const std::string& key, const std::optional<std::string>& value) = 0;
    // Everything that was in the topic at that time has been handed over.
    virtual void onSynced(time_point asOf) = 0;
};

// What has changed in a topic since a position.
struct topic_change {
    // The records are all that there are; keys that are not among them have been dropped.
    bool isSnapshot = false;
    // Records before this position are in force with this change.
    uint64_t position = 0;
    // How long ago the sender knew that there was nothing newer.
    duration age { 0 };
    std::vector<topic_record> records;

    friend bool operator==(const topic_change&, const topic_change&) = default;
};

// The newest records of a keyed topic, with their positions, so that daemons can pass on to each other what the others
// do not have yet, whether that came from the log or from a third daemon.
class shared_topic {
public:
    explicit shared_topic(topic_listener& listener)
        : m_listener(listener)
    {
    }

    // Takes in one record; one that is older than what is isSynced of its key changes nothing.
    void apply(const topic_record& record);

    // Drops the keys that are not named and were last written before a position.
    void keepOnly(const std::set<std::string>& keys, uint64_t before);

    // All records before the position are in force, and there were no others at that time.
    void markSynced(uint64_t position, time_point asOf);

    // False before the first markSynced().
    bool isSynced() const { return m_isSynced; }
    // Position behind the last record isSynced.
    uint64_t position() const { return m_position; }
    time_point asOf() const { return m_asOf; }

    // What a daemon at that position lacks. None while nothing is isSynced.
    std::optional<topic_change> changeSince(uint64_t position, time_point now) const;

    // Takes in what another daemon passes on. requestedAt: when it was requestedAt.
    void apply(const topic_change& change, time_point requestedAt);

private:
    topic_listener& m_listener;
    std::map<std::string, topic_record> m_records;
    bool m_isSynced = false;
    uint64_t m_position = 0;
    // Records dropped before this position are not remembered.
    uint64_t m_oldestTombstone = 0;
    time_point m_asOf {};
};

} // namespace pollen
