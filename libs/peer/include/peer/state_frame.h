#pragma once

#include <optional>
#include <peer/peer_message.h>
#include <string>
#include <string_view>

namespace pollen {

constexpr size_t maximumStateBytes = 4U << 20;
// Limit for the body of a request, which holds a daemon's own observations and no state.
constexpr size_t maximumStateRequestBytes = 512U << 10;

// The content of one message over TCP between daemons: a request for the state, or the state.
struct state_frame {
    bool isRequest = false;
    // The state, or the body of the request.
    std::string state;

    friend bool operator==(const state_frame&, const state_frame&) = default;
};

// Encodes a frame, prefixed with its length and keyed tag.
std::string encodeStateFrame(const state_frame& frame, std::string_view secret);

// Removes one frame from the front of the received bytes; none while it is incomplete. Throws datagram_error for bytes
// that cannot become a valid frame of at most maximumBytes, before memory is allocated for it.
std::optional<state_frame> extractStateFrame(
    std::string& received, std::string_view secret, size_t maximumBytes = maximumStateBytes);

} // namespace pollen
