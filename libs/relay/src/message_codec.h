#pragma once

#include "message_input.h"

#include <base/typed_id.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <scheduling/server_rate_limits.h>
#include <sstream>

// Encoding of the messages between daemons of the relay. cereal finds the functions by name.
namespace pollen {

// An id is written as its text.
template <typename Archive, typename Tag> void save(Archive& archive, const typed_id<Tag>& id) { archive(id.text()); }

template <typename Archive, typename Tag> void load(Archive& archive, typed_id<Tag>& id)
{
    std::string text;
    archive(text);
    id = typed_id<Tag>(std::move(text));
}

template <typename Archive> void serialize(Archive& archive, rate_limit_notice& notice)
{
    archive(notice.server, notice.statement, notice.limit, notice.age);
}

template <typename Archive> void serialize(Archive& archive, warm_up_notice& notice)
{
    archive(notice.server, notice.service, notice.statement, notice.isShared, notice.isUnreachable, notice.left,
        notice.age);
}

template <typename Message> std::string encodeMessage(const Message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return stream.str();
}

// Throws Failure, constructed from a text, for bytes that are not a message of this type.
template <typename Message, typename Failure> Message decodeMessage(const std::string& bytes)
{
    try {
        message_input archive(bytes);
        Message message;
        archive(message);
        return message;
    } catch (const cereal::Exception& problem) {
        throw Failure(problem.what());
    }
}

} // namespace pollen
