#pragma once

#include <backend/model_engine.h>
#include <fleet/fleet_system.h>
#include <fleet/fleet_tables.h>
#include <memory>

namespace pollen {

// Polls the load of model engines every 500 ms and stores it in the server table. The number of polls per round is
// bounded; with more engines than that, successive rounds poll them in turn.
class load_poll_system final : public fleet_system {
public:
    load_poll_system(model_engine& engine, fleet_tables& tables);

    void tick(time_point now) override;

private:
    void poll(const server_row& row);

    model_engine& m_engine;
    fleet_tables& m_tables;
    time_point m_nextPoll {};
    size_t m_nextRow = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
