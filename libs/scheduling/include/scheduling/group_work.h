#pragma once

#include <base/clock.h>
#include <list>
#include <map>
#include <scheduling/server_work.h>
#include <unordered_map>

namespace pollen {

// The pending work of the daemons of a group, summed up by server. Its leader sends each member what has changed since
// the member's last request, or all sums where these are fewer.
class group_work {
public:
    // id: random number of the process.
    explicit group_work(uint64_t id)
        : m_id(id)
    {
    }

    // Replaces what the daemon has reported.
    void report(const instance_id& daemon, std::vector<server_work> work, time_point now);

    // Removes the work of daemons that have not reported for too long.
    void removeSilent(time_point now);

    // The sums that the receiver lacks, its own work included.
    work_change changeSince(const work_state& known) const;

    size_t members() const { return m_members.size(); }

private:
    struct member {
        std::vector<server_work> work;
        time_point reportedAt;
    };
    struct sum {
        server_work work;
        uint64_t change = 0;
    };
    using sums = std::list<sum>;

    enum class sign { Plus, Minus };
    void add(const std::vector<server_work>& work, sign direction);
    void discardEmpty();

    uint64_t m_id;
    uint64_t m_change = 0;
    // Sums that were zero up to this change have been discarded.
    uint64_t m_discardedChange = 0;
    size_t m_empty = 0;
    std::map<instance_id, member> m_members;
    // Those that changed last come last.
    sums m_sums;
    std::unordered_map<instance_id, sums::iterator> m_byServer;
};

} // namespace pollen
