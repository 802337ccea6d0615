#pragma once

#include <base/typed_id.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace pollen {

// What the router needs to know of a chat completion.
struct chat_request {
    // Empty names when the caller leaves the choice to the router (model "auto").
    version_ref requestedVersion;
    bool streaming = false;
    // Estimated from the text.
    uint32_t promptTokens = 0;
    // The caller's limit, or a default.
    uint32_t outputTokens = 0;
    // The whole body, parsed.
    std::shared_ptr<const nlohmann::json> body {};

    friend bool operator==(const chat_request&, const chat_request&) = default;
};

// Reads the body of POST /v1/chat/completions. Throws request_error.
chat_request parseChatRequest(const std::string& body);

} // namespace pollen
