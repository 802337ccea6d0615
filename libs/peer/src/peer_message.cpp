#include <peer/peer_message.h>

#include <base/digest.h>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace pollen {

namespace {

// Half of a hexadecimal SHA-256 HMAC.
constexpr size_t tagBytes = 32;
constexpr size_t maximumTextBytes = 512;

template <typename Archive> void writeText(Archive& archive, const std::string& text)
{
    if (text.size() > maximumTextBytes)
        throw datagram_error("cannot send message: text exceeds the maximum length");
    const auto length = static_cast<uint16_t>(text.size());
    archive(length, cereal::binary_data(text.data(), length));
}

// cereal allocates whatever text length the sender claims; this checks the length first.
template <typename Archive> std::string readText(Archive& archive)
{
    uint16_t length = 0;
    archive(length);
    if (length > maximumTextBytes)
        throw datagram_error("text exceeds the maximum length");
    std::string text(length, '\0');
    archive(cereal::binary_data(text.data(), length));
    return text;
}

template <typename Archive, typename Value> Value readValue(Archive& archive)
{
    Value value {};
    archive(value);
    return value;
}

using output = cereal::PortableBinaryOutputArchive;
using input = cereal::PortableBinaryInputArchive;

void write(output& archive, const heartbeat_message& message)
{
    writeText(archive, message.failureDomain.text());
    archive(message.configurationVersion, message.draining, message.openRequests);
}

void write(output& archive, const bill_copy_message& message)
{
    const bill& copy = message.copy;
    writeText(archive, copy.id);
    writeText(archive, copy.request.text());
    writeText(archive, copy.team.text());
    writeText(archive, copy.requestClass.text());
    writeText(archive, copy.target);
    archive(copy.promptTokens, copy.outputTokens, copy.cost, copy.timeMilliseconds);
}

void write(output& archive, const bill_copy_ack_message& message) { writeText(archive, message.billId); }

void write(output& archive, const bills_settled_message& message)
{
    archive(static_cast<uint16_t>(message.billIds.size()));
    for (const std::string& id : message.billIds)
        writeText(archive, id);
}

heartbeat_message readHeartbeat(input& archive)
{
    heartbeat_message message;
    message.failureDomain = failure_domain_name(readText(archive));
    archive(message.configurationVersion, message.draining, message.openRequests);
    return message;
}

bill_copy_message readBillCopy(input& archive)
{
    bill copy;
    copy.id = readText(archive);
    copy.request = request_id(readText(archive));
    copy.team = team_name(readText(archive));
    copy.requestClass = class_name(readText(archive));
    copy.target = readText(archive);
    archive(copy.promptTokens, copy.outputTokens, copy.cost, copy.timeMilliseconds);
    return { std::move(copy) };
}

bills_settled_message readBillsSettled(input& archive)
{
    const auto count = readValue<input, uint16_t>(archive);
    if (count > maximumSettledIds)
        throw datagram_error("too many bill ids in one message");
    bills_settled_message message;
    for (uint16_t i = 0; i < count; ++i)
        message.billIds.push_back(readText(archive));
    return message;
}

peer_payload readPayload(input& archive, uint8_t kind)
{
    switch (kind) {
    case 0:
        return readHeartbeat(archive);
    case 1:
        return readBillCopy(archive);
    case 2:
        return bill_copy_ack_message { readText(archive) };
    case 3:
        return readBillsSettled(archive);
    default:
        throw datagram_error("unknown message kind");
    }
}

std::string computeTag(std::string_view secret, std::string_view body)
{
    return hmacSha256Hex(secret, body).substr(0, tagBytes);
}

} // namespace

std::string encodeDatagram(const peer_message& message, std::string_view secret)
{
    std::ostringstream stream;
    {
        output archive(stream);
        archive(static_cast<uint8_t>(message.payload.index()));
        writeText(archive, message.sender.text());
        archive(message.incarnation);
        std::visit([&](const auto& payload) { write(archive, payload); }, message.payload);
    }
    const std::string body = stream.str();
    if (body.size() + tagBytes > maximumDatagramBytes)
        throw datagram_error("cannot send message: exceeds the maximum datagram size");
    return computeTag(secret, body) + body;
}

peer_message decodeDatagram(std::string_view datagram, std::string_view secret)
{
    if (datagram.size() <= tagBytes || datagram.size() > maximumDatagramBytes)
        throw datagram_error("datagram length out of range");
    const std::string_view body = datagram.substr(tagBytes);
    if (!equalInConstantTime(datagram.substr(0, tagBytes), computeTag(secret, body)))
        throw datagram_error("authentication tag does not match");
    try {
        std::istringstream stream { std::string(body) };
        input archive(stream);
        const auto kind = readValue<input, uint8_t>(archive);
        peer_message message;
        message.sender = instance_id(readText(archive));
        message.incarnation = readValue<input, uint64_t>(archive);
        message.payload = readPayload(archive, kind);
        if (stream.peek() != std::istringstream::traits_type::eof())
            throw datagram_error("trailing bytes after the message");
        return message;
    } catch (const cereal::Exception& problem) {
        throw datagram_error(problem.what());
    }
}

} // namespace pollen
