#pragma once

#include <control/configuration_manager.h>
#include <gateway/caller_gateway.h>
#include <peer/peer_node.h>

namespace pollen {

// What the daemon tells its operators.
struct operator_dependencies {
    caller_gateway& callers;
    gateway_dependencies& shared;
    peer_node& node;
    peer_table& peers;
    // None when the fleet comes from a file.
    const configuration_manager* configuration;
};

// Serves operators: health, readiness, metrics, status and explanations.
class operator_gateway {
public:
    explicit operator_gateway(const operator_dependencies& dependencies);

    void handle(server_request& request);

private:
    std::string statusJson() const;
    void updateGauges();
    void explain(server_request& request, const std::string& id);

    operator_dependencies m_dependencies;
};

} // namespace pollen
