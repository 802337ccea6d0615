#pragma once

#include <base/error.h>
#include <scheduling/permit_allocator.h>

namespace pollen {

// A permit message between daemons that cannot be decoded.
class permit_message_error final : public error {
public:
    using error::error;
};

// Asks for a permit for one of the servers. Without servers, only checks that the receiver answers.
struct permit_request {
    instance_id sender;
    // The sender takes its permits for its failure domain from the receiver and from no other daemon.
    bool isMember = false;
    // In the order of preference.
    std::vector<instance_id> servers;
    // The limits of these servers that the sender knows.
    std::vector<rate_limit_notice> rateLimits;
    // What the sender knows of cold servers among them other than from their entries.
    std::vector<warm_up_notice> warmUps {};

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

struct permit_reply {
    // False if the receiver knows of a daemon that allocates the permits of the failure domain in its place.
    bool isAllocator = false;
    permit_decision decision;

    friend bool operator==(const permit_reply&, const permit_reply&) = default;
};

std::string encodePermitRequest(const permit_request& request);
std::string encodePermitReply(const permit_reply& reply);

// Both throw permit_message_error.
permit_request decodePermitRequest(const std::string& bytes);
permit_reply decodePermitReply(const std::string& bytes);

} // namespace pollen
