#pragma once

#include <base/clock.h>
#include <compare>
#include <optional>
#include <string>

namespace pollen {

// Receives the records of a topic.
class topic_listener {
public:
    virtual ~topic_listener() = default;

    // Returns false when the record changes nothing relevant, so that it need not be passed on.
    virtual bool onKey(const std::string& key, const std::optional<std::string>& value) = 0;

    // All records that the topic held at that time have been passed to onKey().
    virtual void onSynced(time_point asOf) = 0;

    // Compares two values of a key by what they say, such as a version; unordered if they do not tell which is newer.
    // Used where positions of different eras do not decide.
    virtual std::partial_ordering compareAge(
        const std::string& key, const std::string& value, const std::string& other) const
    {
        static_cast<void>(key);
        static_cast<void>(value);
        static_cast<void>(other);
        return std::partial_ordering::unordered;
    }
};

} // namespace pollen
