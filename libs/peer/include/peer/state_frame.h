#pragma once

#include <optional>
#include <peer/peer_message.h>
#include <string>
#include <string_view>

namespace pollen {

constexpr size_t maximumStateBytes = 4U << 20;

// What goes over one TCP connection between daemons: a request for the state, or the state.
struct state_frame {
    bool isRequest = false;
    // The state, or what the request asks for.
    std::string state;

    friend bool operator==(const state_frame&, const state_frame&) = default;
};

// A frame with its length and keyed tag in front.
std::string encodeStateFrame(const state_frame& frame, std::string_view secret);

// Takes one frame off the front of what was received; none while it is not complete. Throws datagram_error for
// anything that cannot become a frame, before memory is taken for it.
std::optional<state_frame> extractStateFrame(std::string& received, std::string_view secret);

} // namespace pollen
