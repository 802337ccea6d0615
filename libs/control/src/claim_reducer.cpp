#include <control/claim_reducer.h>

#include <config/configuration_record.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

const char* toText(claim_record_kind kind)
{
    switch (kind) {
    case claim_record_kind::Claim:
        return "claim";
    case claim_record_kind::Result:
        return "result";
    case claim_record_kind::Release:
        return "release";
    }
    return "claim";
}

claim_record_kind parseKind(const std::string& text)
{
    for (const auto kind : { claim_record_kind::Claim, claim_record_kind::Result, claim_record_kind::Release }) {
        if (text == toText(kind))
            return kind;
    }
    throw record_error("unknown claim record kind '" + text + "'");
}

} // namespace

std::string encodeClaim(const claim_record& record)
{
    nlohmann::json json { { "kind", toText(record.kind) }, { "key", record.key }, { "request", record.request.text() },
        { "daemon", record.daemon.text() }, { "incarnation", record.incarnation },
        { "fingerprint", record.fingerprint } };
    if (record.kind == claim_record_kind::Result) {
        json["status"] = record.answer.status;
        json["content_type"] = record.answer.contentType;
        json["body"] = record.answer.body;
        json["body_kept"] = record.answer.bodyKept;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

claim_record decodeClaim(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        claim_record record;
        record.kind = parseKind(json.at("kind").get<std::string>());
        record.key = json.at("key").get<std::string>();
        record.request = request_id(json.at("request").get<std::string>());
        record.daemon = instance_id(json.at("daemon").get<std::string>());
        record.incarnation = json.at("incarnation").get<uint64_t>();
        record.fingerprint = json.at("fingerprint").get<std::string>();
        if (record.kind != claim_record_kind::Result)
            return record;
        record.answer.status = json.at("status").get<int>();
        record.answer.contentType = json.at("content_type").get<std::string>();
        record.answer.body = json.at("body").get<std::string>();
        record.answer.bodyKept = json.at("body_kept").get<bool>();
        return record;
    } catch (const nlohmann::json::exception& problem) {
        throw record_error(problem.what());
    }
}

claim_reducer::claim_reducer(int64_t lifetimeMilliseconds)
    : m_lifetimeMilliseconds(lifetimeMilliseconds)
{
}

void claim_reducer::apply(const claim_record& record, int64_t logMilliseconds)
{
    expire(logMilliseconds);
    const auto found = m_entries.find(record.key);
    if (record.kind == claim_record_kind::Claim) {
        if (found != m_entries.end())
            return;
        m_entries.emplace(record.key,
            claim_entry {
                record.request, record.daemon, record.incarnation, record.fingerprint, logMilliseconds, std::nullopt });
        m_claimOrder.push_back({ logMilliseconds, record.key });
        return;
    }
    if (found == m_entries.end() || found->second.owner != record.request)
        return;
    if (record.kind == claim_record_kind::Result)
        found->second.answer = record.answer;
    else
        m_entries.erase(found);
}

const claim_entry* claim_reducer::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

void claim_reducer::expire(int64_t logMilliseconds)
{
    while (
        !m_claimOrder.empty() && m_claimOrder.front().claimedMilliseconds + m_lifetimeMilliseconds <= logMilliseconds) {
        const auto found = m_entries.find(m_claimOrder.front().key);
        // The key may have been released and claimed again; the newer claim has not expired.
        if (found != m_entries.end() && found->second.claimedMilliseconds == m_claimOrder.front().claimedMilliseconds)
            m_entries.erase(found);
        m_claimOrder.pop_front();
    }
}

} // namespace pollen
