#include <relay/permit_message.h>

#include "message_codec.h"

namespace pollen {

template <typename Archive> void serialize(Archive& archive, permit_request& request)
{
    archive(request.sender, request.isMember, request.servers, request.rateLimits, request.warmUps);
}

template <typename Archive> void serialize(Archive& archive, permit_reply& reply)
{
    archive(reply.isAllocator, reply.decision.server, reply.decision.wait);
}

std::string encodePermitRequest(const permit_request& request) { return encodeMessage(request); }
std::string encodePermitReply(const permit_reply& reply) { return encodeMessage(reply); }

permit_request decodePermitRequest(const std::string& bytes)
{
    return decodeMessage<permit_request, permit_message_error>(bytes);
}

permit_reply decodePermitReply(const std::string& bytes)
{
    return decodeMessage<permit_reply, permit_message_error>(bytes);
}

} // namespace pollen
