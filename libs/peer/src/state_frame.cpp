#include <peer/state_frame.h>

#include <base/digest.h>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace pollen {

namespace {

constexpr size_t tagBytes = 64;
constexpr size_t lengthFieldBytes = 5;
constexpr size_t headerBytes = lengthFieldBytes + tagBytes;

// The length as cereal writes it: one byte for the byte order, four for the number.
std::string encodeLength(size_t length)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(static_cast<uint32_t>(length));
    return stream.str();
}

size_t decodeLength(const std::string& text)
{
    try {
        std::istringstream stream(text);
        cereal::PortableBinaryInputArchive archive(stream);
        uint32_t length = 0;
        archive(length);
        return length;
    } catch (const cereal::Exception& problem) {
        throw datagram_error(problem.what());
    }
}

std::string encodeBody(const state_frame& frame)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(frame.isRequest, static_cast<uint32_t>(frame.state.size()));
        archive(cereal::binary_data(frame.state.data(), frame.state.size()));
    }
    return stream.str();
}

state_frame decodeBody(const std::string& body)
{
    try {
        std::istringstream stream(body);
        cereal::PortableBinaryInputArchive archive(stream);
        state_frame frame;
        uint32_t length = 0;
        archive(frame.isRequest, length);
        if (length > body.size())
            throw datagram_error("state length exceeds the frame");
        frame.state.resize(length);
        archive(cereal::binary_data(frame.state.data(), frame.state.size()));
        return frame;
    } catch (const cereal::Exception& problem) {
        throw datagram_error(problem.what());
    }
}

} // namespace

std::string encodeStateFrame(const state_frame& frame, std::string_view secret)
{
    const std::string body = encodeBody(frame);
    if (body.size() > maximumStateBytes)
        throw datagram_error("cannot send state: exceeds the maximum frame size");
    return encodeLength(body.size()) + hmacSha256Hex(secret, body) + body;
}

std::optional<state_frame> extractStateFrame(std::string& received, std::string_view secret, size_t maximumBytes)
{
    if (received.size() < lengthFieldBytes)
        return std::nullopt;
    const size_t length = decodeLength(received.substr(0, lengthFieldBytes));
    if (length > maximumBytes)
        throw datagram_error("frame exceeds the maximum size");
    if (received.size() < headerBytes + length)
        return std::nullopt;
    const std::string body = received.substr(headerBytes, length);
    const std::string_view tag(received.data() + lengthFieldBytes, tagBytes);
    if (!equalInConstantTime(tag, hmacSha256Hex(secret, body)))
        throw datagram_error("authentication tag does not match");
    state_frame frame = decodeBody(body);
    received.erase(0, headerBytes + length);
    return frame;
}

} // namespace pollen
