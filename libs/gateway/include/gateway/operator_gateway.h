#pragma once

#include <control/configuration_manager.h>
#include <gateway/caller_gateway.h>
#include <http/connection_report.h>
#include <peer/peer_node.h>

namespace pollen {

// Objects that operator endpoints report on.
struct operator_dependencies {
    caller_gateway& callers;
    gateway_dependencies& shared;
    peer_node& node;
    peer_table& peers;
    // Null if the fleet is read from a file.
    const configuration_manager* configuration;
    // Null if the process has no limits over its connections.
    const connection_report* connections = nullptr;
};

// Serves the operator endpoints: health, readiness, metrics, status and explanations of routing decisions.
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
