#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <unordered_map>

namespace pollen {

// What servers have said of themselves in their answers to this daemon. Kept apart from the list of servers: a server
// that drops out of the list and returns to it is the same process as before, unless its entry states a later start.
class server_statements {
public:
    // The process leaves and must get no new requests. processStart: from the server's entry, Unix milliseconds; 0 if
    // the entry does not state it. Returns false if this was known.
    bool recordLeaving(const instance_id& server, int64_t processStart);

    // The process wants no requests before the given time. Returns false if a later time was known.
    bool recordNotBefore(const instance_id& server, int64_t processStart, time_point notBefore);

    bool isLeaving(const instance_id& server, int64_t processStart) const;
    // The epoch of the clock if the process has not said so.
    time_point notBefore(const instance_id& server, int64_t processStart) const;

private:
    struct statement {
        int64_t processStart = 0;
        bool leaving = false;
        time_point notBefore {};
    };

    // Null if nothing is known of this process.
    const statement* find(const instance_id& server, int64_t processStart) const;
    // The statement of this process; replaces that of an earlier one.
    statement& at(const instance_id& server, int64_t processStart);

    std::unordered_map<instance_id, statement> m_statements;
};

} // namespace pollen
