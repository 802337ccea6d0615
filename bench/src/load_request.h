#pragma once

#include <http/http_client.h>

namespace pollen {

// What one request of a benchmark asks for, and where.
struct load_target {
    endpoint server;
    // As the server knows it: "auto" for the router, the version for an engine.
    std::string model;
};

// A chat completion of a given size.
inline http_request makeLoadRequest(const load_target& target, bool streaming, int tokens)
{
    http_request request { "POST", "/v1/chat/completions",
        { { "Authorization", "Bearer bench" }, { "Content-Type", "application/json" }, { "X-Request-Id", "bench" } },
        "" };
    request.body = R"({"model":")" + target.model + R"(","stream":)" + (streaming ? "true" : "false")
        + R"(,"max_tokens":)" + std::to_string(tokens)
        + R"(,"messages":[{"role":"user","content":"marker:bench what does a horn comb cost"}]})";
    return request;
}

} // namespace pollen
