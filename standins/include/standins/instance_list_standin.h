#pragma once

#include <standins/standin.h>
#include <vector>

namespace pollen {

// The platform's list of instances. Settings: leaving.ID (1: on its way out), gone.ID (1: off the list), outage.
class instance_list_standin final : public standin {
public:
    // instances: entries as the contract shows them.
    instance_list_standin(event_loop& loop, const endpoint& listenAddress, nlohmann::json instances);

    void set(const std::string& name, int64_t value) override;

protected:
    void handle(const std::shared_ptr<server_request>& request) override;
    nlohmann::json records() const override { return m_instances; }

private:
    nlohmann::json m_instances;
    int64_t m_outage = 0;
    // Counts the changes of the list.
    uint64_t m_edition = 1;
};

} // namespace pollen
