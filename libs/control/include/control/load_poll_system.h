#pragma once

#include <backend/model_engine.h>
#include <fleet/fleet_system.h>
#include <fleet/fleet_tables.h>
#include <memory>

namespace pollen {

// Asks each engine for its load report and enters it in the server table.
class load_poll_system final : public fleet_system {
public:
    load_poll_system(model_engine& engine, fleet_tables& tables);

    void tick(time_point now) override;

private:
    void poll(const server_row& row);

    model_engine& m_engine;
    fleet_tables& m_tables;
    time_point m_nextPoll {};
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
