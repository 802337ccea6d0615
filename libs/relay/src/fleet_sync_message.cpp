#include <relay/fleet_sync_message.h>

#include "message_codec.h"

namespace pollen {

template <typename Archive> void serialize(Archive& archive, log_position& position)
{
    archive(position.era, position.offset);
}

template <typename Archive> void serialize(Archive& archive, topic_state& state)
{
    archive(state.position, state.carriedDigest);
}

template <typename Archive> void serialize(Archive& archive, topic_record& record)
{
    archive(record.key, record.value, record.position, record.mayPredateEra);
}

template <typename Archive> void serialize(Archive& archive, topic_change& change)
{
    archive(change.isSnapshot, change.position, change.age, change.records, change.isOmitted, change.isPartial);
}

template <typename Archive> void serialize(Archive& archive, version_answers& answers)
{
    archive(answers.sent, answers.good, answers.bad, answers.timed, answers.slow, answers.verySlow, answers.paced,
        answers.slowPaced, answers.verySlowPaced);
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
        report.otherVersionRequests, report.rejected, report.accepted);
}

template <typename Archive> void serialize(Archive& archive, server_work& work)
{
    archive(work.server, work.requests, work.unreadTokens);
}

template <typename Archive> void serialize(Archive& archive, work_state& state) { archive(state.sum, state.change); }

template <typename Archive> void serialize(Archive& archive, work_change& change)
{
    archive(change.isComplete, change.state, change.work);
}

template <typename Archive> void serialize(Archive& archive, server_crash& end)
{
    archive(end.server, end.timeMilliseconds, end.request);
}

template <typename Archive> void serialize(Archive& archive, crash_report& report)
{
    archive(report.key.fingerprint, report.key.daemon, report.revision, report.crashes, report.lastAnswerMilliseconds);
}

template <typename Archive> void serialize(Archive& archive, crash_state& state) { archive(state.table, state.change); }

template <typename Archive> void serialize(Archive& archive, crash_changes& changes)
{
    archive(changes.state, changes.reports);
}

template <typename Archive> void serialize(Archive& archive, fleet_sync_request& request)
{
    archive(request.topics, request.sender, request.isMember, request.acceptsLarge, request.reports, request.work,
        request.knownWork, request.crashes, request.knownCrashes, request.rateLimits, request.warmUps);
}

template <typename Archive> void serialize(Archive& archive, fleet_sync_reply& reply)
{
    archive(reply.hasLostStore, reply.changes, reply.totals, reply.work, reply.crashes, reply.knownCrashes,
        reply.rateLimits, reply.warmUps);
}

std::string encodeFleetSyncRequest(const fleet_sync_request& request) { return encodeMessage(request); }
std::string encodeFleetSyncReply(const fleet_sync_reply& reply) { return encodeMessage(reply); }

fleet_sync_request decodeFleetSyncRequest(const std::string& bytes)
{
    return decodeMessage<fleet_sync_request, fleet_sync_error>(bytes);
}

fleet_sync_reply decodeFleetSyncReply(const std::string& bytes)
{
    return decodeMessage<fleet_sync_reply, fleet_sync_error>(bytes);
}

} // namespace pollen
