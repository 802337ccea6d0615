#pragma once

#include <backend/model_engine.h>
#include <fleet/fleet_system.h>
#include <fleet/fleet_tables.h>
#include <memory>

namespace pollen {

// Asks engines for their load reports and enters them in the server table: each engine twice a second, or in turn a
// bounded number of engines where there are many.
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
