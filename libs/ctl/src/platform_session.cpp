#include "platform_session.h"

#include <utility>

namespace pollen {

namespace {

constexpr duration callTimeout = std::chrono::seconds(5);
constexpr int maximumTries = 4;
constexpr int maximumReads = 100000;

} // namespace

platform_session::platform_session(const ctl_arguments& arguments)
    : m_client(m_loop)
{
    if (arguments.log)
        m_log.emplace(m_client, *arguments.log);
}

record_log& platform_session::log()
{
    if (!m_log)
        throw ctl_error(ctl_exit::Usage, "give the platform's log with --log ADDRESS:PORT or POLLEN_LOG");
    return *m_log;
}

read_result platform_session::readOnce(const std::string& stream, log_offset from)
{
    for (int attempt = 0; attempt < maximumTries; ++attempt) {
        std::optional<read_result> answer;
        log().read(stream, from, duration(0), [&](const read_result& result) { answer = result; });
        m_loop.runUntil([&] { return answer.has_value(); }, callTimeout);
        if (answer && answer->ok)
            return *answer;
    }
    throw ctl_error(ctl_exit::Unreachable, "the platform's log cannot be read");
}

append_result platform_session::appendOnce(const std::string& record)
{
    std::optional<append_result> answer;
    log().append("configuration", { record }, [&](const append_result& result) { answer = result; });
    m_loop.runUntil([&] { return answer.has_value(); }, callTimeout);
    return answer.value_or(append_result {});
}

std::vector<log_record> platform_session::readAll(const std::string& stream)
{
    std::vector<log_record> records;
    log_offset next = 1;
    for (int i = 0; i < maximumReads; ++i) {
        const read_result result = readOnce(stream, next);
        if (result.records.empty())
            break;
        next = result.records.back().offset + 1;
        records.insert(records.end(), result.records.begin(), result.records.end());
    }
    return records;
}

folded_history platform_session::readConfiguration()
{
    folded_history history;
    const std::vector<log_record> records = readAll("configuration");
    if (!records.empty())
        history.fold.skipTo(records.front().offset);
    for (const log_record& record : records) {
        for (folded_change& change : history.fold.apply(record.offset, record.value))
            history.changes.push_back(std::move(change));
    }
    return history;
}

folded_change platform_session::submit(const configuration_record& record)
{
    for (int attempt = 0; attempt < maximumTries; ++attempt) {
        appendOnce(encodeRecord(record));
        // Whatever the answer was, the log itself tells whether the record is there and what it was worth.
        if (const auto decision = findDecision(record.id))
            return *decision;
    }
    throw ctl_error(ctl_exit::Unreachable,
        "the log did not take the change, or its answer was lost; running the same command again is harmless");
}

std::optional<folded_change> platform_session::findDecision(const std::string& id)
{
    // The first record with the id decides; later ones are its duplicates.
    for (folded_change& change : readConfiguration().changes) {
        if (change.record.id == id && change.result != verdict::Pending)
            return std::move(change);
    }
    return std::nullopt;
}

std::optional<http_response> platform_session::get(const endpoint& daemon, const std::string& target)
{
    std::optional<http_response> answer;
    bool finished = false;
    exchange_options options;
    options.timeout = callTimeout;
    m_client.fetch(
        daemon, { "GET", target, {}, "" }, options, [&](const exchange_result& result, const http_response& response) {
            finished = true;
            if (result.ok())
                answer = response;
        });
    m_loop.runUntil([&] { return finished; }, callTimeout);
    return answer;
}

} // namespace pollen
