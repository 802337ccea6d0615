#include <relay/rollout_table.h>

namespace pollen {

void rollout_table::applyOrder(const rollout_order& order, time_point now)
{
    const auto found = m_rows.find(order.service);
    if (found != m_rows.end() && found->second.order == order)
        return;
    rollout_row row;
    row.order = order;
    row.startTime = now;
    const auto known = m_statuses.find(order.service);
    if (known != m_statuses.end() && known->second.target == order.target)
        row.state = known->second.state;
    m_rows[order.service] = row;
}

void rollout_table::applyStatus(const rollout_status& status)
{
    m_statuses[status.service] = status;
    rollout_row* row = find(status.service);
    if (row && row->order.target == status.target)
        row->state = status.state;
}

rollout_row* rollout_table::find(const service_name& service)
{
    const auto found = m_rows.find(service);
    return found == m_rows.end() ? nullptr : &found->second;
}

const rollout_row* rollout_table::find(const service_name& service) const
{
    const auto found = m_rows.find(service);
    return found == m_rows.end() ? nullptr : &found->second;
}

bool rollout_table::isOnTrial(const service_name& service, const version_name& version) const
{
    const rollout_row* row = find(service);
    return row && row->state == rollout_state::Running && row->order.target == version;
}

} // namespace pollen
