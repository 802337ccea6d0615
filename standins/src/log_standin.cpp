#include <standins/log_standin.h>

#include <algorithm>

namespace pollen {

namespace {

constexpr duration pollInterval = std::chrono::milliseconds(20);
constexpr size_t maximumRecordsPerRead = 1000;
constexpr std::string_view streamPrefix = "/streams/";

int64_t numberParameter(const std::string& target, const char* name)
{
    return std::strtoll(std::string(queryParameter(target, name)).c_str(), nullptr, 10);
}

} // namespace

log_standin::log_standin(event_loop& loop, const endpoint& listenAddress)
    : standin(loop, listenAddress)
    , m_timer(loop, [this] { answerWaiting(); })
{
    m_timer.startRepeating(pollInterval);
}

void log_standin::set(const std::string& name, int64_t value)
{
    if (name == "retention_ms")
        m_retentionMilliseconds = value;
    if (name == "appends_per_second")
        m_appendsPerSecond = value;
    if (name == "outage")
        m_outage = value;
    if (name == "lose_answers")
        m_loseAnswers = value;
}

void log_standin::handle(const std::shared_ptr<server_request>& request)
{
    const http_request& message = request->request();
    const std::string path(targetPath(message.target));
    if (m_outage != 0 || !path.starts_with(streamPrefix)) {
        replyJson(*request, m_outage != 0 ? 503 : 404, { { "error", "unavailable" } }, { { "X-Run", "not_run" } });
        return;
    }
    expire();
    const std::string name = path.substr(streamPrefix.size());
    if (message.method == "POST")
        append(*request, name);
    else
        read(request, name);
}

void log_standin::append(server_request& request, const std::string& name)
{
    const auto body = nlohmann::json::parse(request.request().body, nullptr, false);
    if (!body.is_object() || !body.contains("records")) {
        replyJson(request, 400, { { "error", "no records" } });
        return;
    }
    if (!takeAppend()) {
        replyJson(request, 429, { { "error", "append limit" } }, { { "Retry-After", "1" } });
        return;
    }
    stream& stream = m_streams[name];
    const uint64_t first = stream.next;
    for (const auto& value : body["records"])
        stream.records.push_back({ stream.next++, wallMilliseconds(), value.get<std::string>() });
    ++m_appends;
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        request.abort();
    } else {
        replyJson(request, 200, { { "first_offset", first } });
    }
    answerWaiting();
}

bool log_standin::takeAppend()
{
    const int64_t now = nowMicroseconds();
    const double earned = static_cast<double>(now - m_allowanceAt) * static_cast<double>(m_appendsPerSecond) / 1e6;
    m_appendAllowance = std::min(static_cast<double>(m_appendsPerSecond), m_appendAllowance + earned);
    m_allowanceAt = now;
    if (m_appendAllowance < 1)
        return false;
    m_appendAllowance -= 1;
    return true;
}

void log_standin::read(const std::shared_ptr<server_request>& request, const std::string& name)
{
    const std::string& target = request->request().target;
    const auto from = static_cast<uint64_t>(numberParameter(target, "from"));
    const int64_t wait = numberParameter(target, "wait_ms");
    const stream& stream = m_streams[name];
    if (from < stream.next || wait == 0) {
        answerRead(*request, stream, from);
        return;
    }
    m_waiting.push_back({ request, name, from, wallMilliseconds() + wait });
}

void log_standin::answerRead(server_request& request, const stream& stream, uint64_t from)
{
    auto records = nlohmann::json::array();
    for (const record& record : stream.records) {
        if (record.offset < from)
            continue;
        if (records.size() == maximumRecordsPerRead)
            break;
        records.push_back(
            { { "offset", record.offset }, { "time_ms", record.timeMilliseconds }, { "value", record.value } });
    }
    const uint64_t oldest = stream.records.empty() ? stream.next : stream.records.front().offset;
    replyJson(request, 200,
        { { "records", records }, { "oldest", oldest }, { "now_ms", wallMilliseconds() },
            { "retention_ms", m_retentionMilliseconds } });
}

void log_standin::answerWaiting()
{
    const int64_t now = wallMilliseconds();
    for (waiting_read& waiting : std::exchange(m_waiting, {})) {
        const stream& stream = m_streams[waiting.stream];
        if (m_outage != 0)
            replyJson(*waiting.request, 503, { { "error", "unavailable" } });
        else if (waiting.from < stream.next || waiting.deadlineMilliseconds <= now)
            answerRead(*waiting.request, stream, waiting.from);
        else
            m_waiting.push_back(std::move(waiting));
    }
}

void log_standin::expire()
{
    const int64_t oldest = wallMilliseconds() - m_retentionMilliseconds;
    for (auto& [name, stream] : m_streams) {
        while (!stream.records.empty() && stream.records.front().timeMilliseconds < oldest)
            stream.records.pop_front();
    }
}

nlohmann::json log_standin::records() const
{
    nlohmann::json streams = nlohmann::json::object();
    for (const auto& [name, stream] : m_streams) {
        streams[name] = nlohmann::json::array();
        for (const record& record : stream.records)
            streams[name].push_back(
                { { "offset", record.offset }, { "time_ms", record.timeMilliseconds }, { "value", record.value } });
    }
    return { { "streams", streams }, { "appends", m_appends } };
}

} // namespace pollen
