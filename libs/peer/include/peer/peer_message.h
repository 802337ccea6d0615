#pragma once

#include <base/error.h>
#include <base/log_offset.h>
#include <peer/bill.h>
#include <string_view>
#include <variant>
#include <vector>

namespace pollen {

// Sent to known peers at a fixed interval.
struct heartbeat_message {
    failure_domain_name failureDomain;
    // Configuration version in force at the sender.
    log_offset configurationVersion = 0;
    bool draining = false;
    uint32_t openRequests = 0;

    friend bool operator==(const heartbeat_message&, const heartbeat_message&) = default;
};

// Requests that a peer keep a copy of the bill until the sender has written it to the log.
struct bill_copy_message {
    bill copy;

    friend bool operator==(const bill_copy_message&, const bill_copy_message&) = default;
};

// Acknowledges that the sender keeps a copy of the bill.
struct bill_copy_ack_message {
    std::string billId;

    friend bool operator==(const bill_copy_ack_message&, const bill_copy_ack_message&) = default;
};

// The bills are in the log; copies can be dropped.
struct bills_settled_message {
    std::vector<std::string> billIds;

    friend bool operator==(const bills_settled_message&, const bills_settled_message&) = default;
};

using peer_payload = std::variant<heartbeat_message, bill_copy_message, bill_copy_ack_message, bills_settled_message>;

// One datagram between daemons.
struct peer_message {
    instance_id sender;
    // Wall clock at the start of the process in milliseconds: a replacement under the same id has a higher one.
    uint64_t incarnation = 0;
    peer_payload payload;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

// The bytes are not a valid message of this fleet: too short or long, a forged tag, or fields beyond their limits.
class datagram_error final : public error {
public:
    using error::error;
};

constexpr size_t maximumDatagramBytes = 8192;
constexpr size_t maximumSettledIds = 64;

// Encodes with cereal and prepends a keyed tag.
std::string encodeDatagram(const peer_message& message, std::string_view secret);

// Verifies the tag before anything else is read; memory use is bounded by the size of the datagram. Throws
// datagram_error.
peer_message decodeDatagram(std::string_view datagram, std::string_view secret);

} // namespace pollen
