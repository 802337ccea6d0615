#pragma once

#include <scheduling/server_work.h>
#include <unordered_map>

namespace pollen {

// The pending work of a group as known to one of its members, followed by changes.
class work_view {
public:
    // How far the sums are known, for the next request.
    const work_state& state() const { return m_state; }

    void apply(const work_change& change);

    // The work of the other daemons. own: what this daemon had reported when the last change was made.
    std::vector<server_work> excluding(const std::vector<server_work>& own) const;

private:
    work_state m_state;
    std::unordered_map<instance_id, server_work> m_sums;
};

} // namespace pollen
