#pragma once

#include <base/random_source.h>
#include <fleet/server_table.h>
#include <optional>
#include <scheduling/prompt_part.h>
#include <scheduling/relay_service.h>
#include <unordered_map>
#include <vector>

namespace pollen {

// A request to be placed on a server.
struct placement_request {
    service_name service;
    // The version that the server must have and one that it must not have; no constraint where empty.
    version_name onlyVersion;
    version_name notVersion;
    model_name model;
    std::vector<prompt_part> parts;
    uint32_t promptTokens = 0;
    // Servers that the request may go to; empty: any.
    std::vector<server_handle> onlyServers;
    // Servers on trial are new to the service's requests: assume that they have cached only what this daemon sent them.
    bool assumeColdCaches = false;
    // Servers that have already been tried for this request.
    std::vector<server_handle> excluded;
    failure_domain_name failureDomain;
};

struct placement_choice {
    server_handle server;
    // Prompt tokens that the server is expected to process because they are not cached.
    uint32_t unreadTokens = 0;
    // Expected time until the server starts to answer.
    duration wait { 0 };
};

// Selects servers: on engines by expected time to the first token, on plain services by load. Keeps track of the prompt
// parts sent to each server.
class placement {
public:
    explicit placement(random_source& random)
        : m_random(random)
    {
    }

    // None when no server may take the request.
    std::optional<placement_choice> choose(
        const placement_request& request, const server_table& servers, const relay_service& service, time_point now);

    // Records that the server has been sent the prompt parts of the request.
    void recordSent(const instance_id& server, const placement_request& request, uint64_t cacheTokens);
    void forget(const instance_id& server) { m_cacheEstimates.erase(server); }

private:
    // Estimated prompt cache of a server; the part with the lowest lastUse is evicted first.
    struct prompt_cache_estimate {
        struct part {
            uint32_t tokens = 0;
            uint64_t lastUse = 0;
        };
        std::unordered_map<uint64_t, part> parts;
        uint64_t tokens = 0;
        uint64_t uses = 0;
    };

    uint32_t cachedTokens(const instance_id& server, const placement_request& request) const;
    static bool matchesServiceAndVersion(const server_row& row, const placement_request& request);
    static bool isEligible(const server_row& row, server_handle server, const placement_request& request);
    // The servers that all daemons rank first for a shared part.
    static std::vector<server_handle> preferredServers(
        uint64_t part, const placement_request& request, const server_table& servers);
    // Prompt tokens that the server would have to process.
    uint32_t unreadTokens(const server_row& row, server_handle server, const placement_request& request,
        const std::vector<server_handle>& preferred) const;

    random_source& m_random;
    std::unordered_map<instance_id, prompt_cache_estimate> m_cacheEstimates;
};

} // namespace pollen
