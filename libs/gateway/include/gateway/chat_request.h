#pragma once

#include <base/typed_id.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace pollen {

// The parts of a chat completion that routing depends on.
struct chat_request {
    // Both names are empty if the router chooses the model ("auto").
    version_ref requestedVersion;
    bool streaming = false;
    // Estimated from the length of the message texts.
    uint32_t promptTokens = 0;
    // The limit set by the caller, or a default.
    uint32_t outputTokens = 0;
    // The whole body, parsed.
    std::shared_ptr<const nlohmann::json> body {};

    friend bool operator==(const chat_request&, const chat_request&) = default;
};

// Parses the body of POST /v1/chat/completions. Throws request_error.
chat_request parseChatRequest(const std::string& body);

} // namespace pollen
