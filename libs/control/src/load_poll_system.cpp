#include <control/load_poll_system.h>

namespace pollen {

namespace {

constexpr duration pollInterval = std::chrono::milliseconds(500);

} // namespace

load_poll_system::load_poll_system(model_engine& engine, fleet_tables& tables)
    : m_engine(engine)
    , m_tables(tables)
    , m_alive(std::make_shared<bool>(true))
{
}

void load_poll_system::tick(time_point now)
{
    if (now < m_nextPoll)
        return;
    m_nextPoll = now + pollInterval;
    for (const server_row& row : m_tables.servers().rows()) {
        if (row.used && row.entry.kind == backend_kind::ModelEngine)
            poll(row);
    }
}

void load_poll_system::poll(const server_row& row)
{
    const auto onLoad = [this, id = row.entry.id, alive = std::weak_ptr<bool>(m_alive)](const auto& load) {
        if (alive.expired() || !load)
            return;
        const auto server = m_tables.servers().find(id);
        if (server)
            m_tables.servers().reportLoad(*server, load->running + load->queued, load->leaving);
    };
    m_engine.load(row.entry.address, onLoad);
}

} // namespace pollen
