#include <relay/fleet_sync_message.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace pollen {

// cereal finds these by name. An id is written as its text.
template <typename Archive, typename Tag> void save(Archive& archive, const typed_id<Tag>& id) { archive(id.text()); }

template <typename Archive, typename Tag> void load(Archive& archive, typed_id<Tag>& id)
{
    std::string text;
    archive(text);
    id = typed_id<Tag>(std::move(text));
}

template <typename Archive> void serialize(Archive& archive, topic_record& record)
{
    archive(record.key, record.value, record.offset);
}

template <typename Archive> void serialize(Archive& archive, topic_change& change)
{
    archive(change.isSnapshot, change.position, change.age, change.records);
}

template <typename Archive> void serialize(Archive& archive, version_answers& answers)
{
    archive(answers.sent, answers.good, answers.bad, answers.timed, answers.slow, answers.verySlow);
}

template <typename Archive> void serialize(Archive& archive, route_answers& answers)
{
    archive(answers.route, answers.target, answers.others);
}

template <typename Archive> void save(Archive& archive, const rollout_evidence& evidence)
{
    archive(evidence.routes());
}

template <typename Archive> void load(Archive& archive, rollout_evidence& evidence)
{
    std::vector<route_answers> routes;
    archive(routes);
    evidence = rollout_evidence(std::move(routes));
}

template <typename Archive> void serialize(Archive& archive, rollout_report& report)
{
    archive(report.daemon, report.incarnation, report.service, report.target, report.age, report.evidence,
        report.otherVersionRequests, report.rejected, report.moving);
}

template <typename Archive> void serialize(Archive& archive, server_work& work)
{
    archive(work.server, work.requests, work.unreadTokens);
}

template <typename Archive> void serialize(Archive& archive, server_crash& end)
{
    archive(end.server, end.timeMilliseconds);
}

template <typename Archive> void serialize(Archive& archive, crash_report& report)
{
    archive(report.key.fingerprint, report.key.daemon, report.revision, report.crashes, report.lastAnswerMilliseconds);
}

template <typename Archive> void serialize(Archive& archive, fleet_sync_request& request)
{
    archive(request.positions, request.sender, request.reports, request.work, request.crashes);
}

template <typename Archive> void serialize(Archive& archive, fleet_sync_reply& reply)
{
    archive(reply.changes, reply.totals, reply.work, reply.crashes);
}

namespace {

template <typename Message> std::string encode(const Message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return stream.str();
}

template <typename Message> Message decode(const std::string& bytes)
{
    try {
        std::istringstream stream(bytes);
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        archive(message);
        return message;
    } catch (const cereal::Exception& problem) {
        throw fleet_sync_error(problem.what());
    } catch (const std::length_error& problem) {
        // A length beyond what a string or vector can hold.
        throw fleet_sync_error(problem.what());
    } catch (const std::bad_alloc& problem) {
        throw fleet_sync_error(problem.what());
    }
}

} // namespace

std::string encodeFleetSyncRequest(const fleet_sync_request& request) { return encode(request); }
std::string encodeFleetSyncReply(const fleet_sync_reply& reply) { return encode(reply); }
fleet_sync_request decodeFleetSyncRequest(const std::string& bytes) { return decode<fleet_sync_request>(bytes); }
fleet_sync_reply decodeFleetSyncReply(const std::string& bytes) { return decode<fleet_sync_reply>(bytes); }

} // namespace pollen
