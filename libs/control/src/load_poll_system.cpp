#include <control/load_poll_system.h>

namespace pollen {

namespace {

constexpr duration pollInterval = std::chrono::milliseconds(500);
constexpr size_t maximumPollsPerRound = 16;

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
    const std::vector<server_row>& rows = m_tables.servers().rows();
    size_t polled = 0;
    for (size_t i = 0; i < rows.size() && polled < maximumPollsPerRound; ++i) {
        const server_row& row = rows[m_nextRow++ % rows.size()];
        if (!row.used || row.entry.kind != backend_kind::ModelEngine)
            continue;
        poll(row);
        ++polled;
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
