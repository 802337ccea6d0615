#include <standins/engine_standin.h>

#include <algorithm>

namespace pollen {

namespace {

constexpr duration stepInterval = std::chrono::milliseconds(1);
constexpr size_t maximumPrefixes = 64;
constexpr size_t prefixBytes = 64;
constexpr size_t maximumRecords = 20000;
constexpr size_t bytesPerToken = 4;
constexpr size_t defaultOutputTokens = 32;
constexpr size_t tokensBeforeCut = 3;
constexpr std::string_view markerStart = "marker:";

std::string promptOf(const nlohmann::json& body)
{
    std::string prompt;
    for (const auto& message : body["messages"]) {
        if (message.is_object() && message.contains("content") && message["content"].is_string())
            prompt += message["content"].get<std::string>();
    }
    return prompt;
}

// The word after "marker:" in a prompt; the answer begins with it, so that its reader can tell whose it is.
std::string markerOf(const std::string& prompt)
{
    const size_t start = prompt.find(markerStart);
    if (start == std::string::npos)
        return "none";
    const size_t end = prompt.find_first_of(" \n", start);
    return prompt.substr(start + markerStart.size(), end - start - markerStart.size());
}

} // namespace

engine_standin::engine_standin(
    event_loop& loop, const endpoint& listenAddress, std::vector<std::string> versions, const engine_speed& speed)
    : standin(loop, listenAddress)
    , m_versions(std::move(versions))
    , m_speed(speed)
    , m_step(loop, [this] { step(); })
{
    m_settings["slow"] = 100;
    m_step.startRepeating(stepInterval);
}

void engine_standin::set(const std::string& name, int64_t value) { m_settings[name] = value; }

void engine_standin::handle(const std::shared_ptr<server_request>& request)
{
    const http_request& message = request->request();
    if (message.method == "GET" && targetPath(message.target) == "/load") {
        replyJson(*request, 200, loadReport());
        return;
    }
    if (message.method == "POST" && targetPath(message.target) == "/v1/chat/completions") {
        generate(request);
        return;
    }
    replyJson(*request, 404, { { "error", "no such path" } });
}

bool engine_standin::take(const char* setting)
{
    if (m_settings[setting] <= 0)
        return false;
    --m_settings[setting];
    return true;
}

void engine_standin::generate(const std::shared_ptr<server_request>& request)
{
    const http_request& message = request->request();
    const std::string id(findHeader(message.headers, "X-Request-Id"));
    const http_headers idHeader { { "X-Request-Id", id } };
    const auto body = nlohmann::json::parse(message.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("messages") && body.contains("model");
    if (!valid || std::find(m_versions.begin(), m_versions.end(), body["model"]) == m_versions.end()) {
        replyJson(*request, valid ? 404 : 400, { { "error", "bad request or model" } }, idHeader);
        return;
    }
    if (take("refuse")) {
        replyJson(*request, 503, { { "error", "busy" } }, idHeader);
        return;
    }
    if (take("fail")) {
        replyJson(*request, 500, { { "error", "failed" } }, idHeader);
        return;
    }
    auto work = std::make_shared<job>();
    work->request = request;
    work->id = take("cross") ? id + "-other" : id;
    work->version = body["model"].get<std::string>();
    const std::string prompt = promptOf(body);
    work->marker = markerOf(prompt);
    work->streaming = body.value("stream", false);
    work->cut = take("cut");
    work->priority = std::strtoll(std::string(findHeader(message.headers, "X-Priority")).c_str(), nullptr, 10);
    work->promptTokens = prompt.size() / bytesPerToken + 1;
    work->outputTokens = body.value("max_tokens", defaultOutputTokens);
    work->record = m_records.size();
    if (m_records.size() < maximumRecords)
        m_records.push_back({ { "request", id }, { "version", work->version }, { "marker", work->marker },
            { "start_ms", wallMilliseconds() }, { "state", "queued" } });
    request->setHangUpCallback([work] { work->gone = true; });
    const auto place = std::find_if(m_queue.begin(), m_queue.end(),
        [&](const std::shared_ptr<job>& other) { return other->priority > work->priority; });
    m_queue.insert(place, std::move(work));
    admit();
}

void engine_standin::admit()
{
    while (!m_queue.empty() && m_running.size() < m_speed.slots) {
        const std::shared_ptr<job> work = m_queue.front();
        m_queue.pop_front();
        work->nextToken = nowMicroseconds() + readingTime(*work);
        // An engine without any delay answers at once, so that it can stand behind a benchmark.
        if (m_speed.tokenMicroseconds > 0 || advance(*work, work->nextToken))
            m_running.push_back(work);
    }
}

int64_t engine_standin::readingTime(const job& job)
{
    constexpr int64_t cachedShare = 10;
    const auto body = nlohmann::json::parse(job.request->request().body, nullptr, false);
    const std::string prefix = promptOf(body).substr(0, prefixBytes);
    const int64_t whole
        = static_cast<int64_t>(job.promptTokens) * m_speed.promptMicroseconds * m_settings["slow"] / 100;
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool cached = found != m_prefixes.end();
    if (cached)
        m_prefixes.erase(found);
    m_prefixes.push_back(prefix);
    if (m_prefixes.size() > maximumPrefixes)
        m_prefixes.pop_front();
    return cached ? whole / cachedShare : whole;
}

// A full batch takes one and a half times as long for each token.
int64_t engine_standin::tokenTime() const
{
    const double fill = static_cast<double>(m_running.size()) / static_cast<double>(m_speed.slots);
    const double normal = static_cast<double>(m_speed.tokenMicroseconds) * (1 + fill / 2);
    return static_cast<int64_t>(normal) * m_settings.at("slow") / 100;
}

void engine_standin::step()
{
    const int64_t now = nowMicroseconds();
    for (auto entry = m_running.begin(); entry != m_running.end();) {
        const std::shared_ptr<job> work = *entry;
        if (advance(*work, now))
            ++entry;
        else
            entry = m_running.erase(entry);
    }
    std::erase_if(m_queue, [](const std::shared_ptr<job>& work) { return work->gone; });
    admit();
    sampleLoad(now);
}

// Returns false when the job has ended.
bool engine_standin::advance(job& job, int64_t now)
{
    constexpr size_t maximumUnsentBytes = 1U << 18;
    const int64_t interval = tokenTime();
    while (!job.gone && job.emitted < job.outputTokens && job.nextToken <= now) {
        if (job.request->unsentBytes() > maximumUnsentBytes) {
            job.nextToken = now + interval;
            break;
        }
        emitToken(job);
        job.nextToken += interval;
        if (!job.cut || job.emitted < tokensBeforeCut)
            continue;
        job.request->abort();
        return false;
    }
    if (job.gone) {
        if (job.record < m_records.size())
            m_records[job.record]["state"] = "cancelled";
        return false;
    }
    if (job.emitted < job.outputTokens)
        return true;
    finish(job);
    return false;
}

void engine_standin::emitToken(job& job)
{
    const std::string text = job.emitted == 0 ? job.marker : " w" + std::to_string(job.emitted);
    ++job.emitted;
    if (!job.streaming)
        return;
    if (job.emitted == 1)
        job.request->startStream(200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", job.id } });
    job.request->sendPart("data: {\"id\":\"" + job.id + "\",\"object\":\"chat.completion.chunk\",\"model\":\""
        + job.version + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n");
}

void engine_standin::finish(job& job)
{
    if (job.record < m_records.size())
        m_records[job.record]["state"] = "answered";
    const nlohmann::json usage { { "prompt_tokens", job.promptTokens }, { "completion_tokens", job.outputTokens },
        { "total_tokens", job.promptTokens + job.outputTokens } };
    if (job.streaming) {
        const nlohmann::json last { { "id", job.id }, { "object", "chat.completion.chunk" }, { "model", job.version },
            { "choices", nlohmann::json::array() }, { "usage", usage } };
        job.request->sendPart("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
        job.request->endStream();
        return;
    }
    std::string text = job.marker;
    for (size_t i = 1; i < job.outputTokens; ++i)
        text += " w" + std::to_string(i);
    const nlohmann::json message { { "role", "assistant" }, { "content", text } };
    const nlohmann::json choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    replyJson(*job.request, 200,
        { { "id", job.id }, { "object", "chat.completion" }, { "model", job.version },
            { "choices", nlohmann::json::array({ choice }) }, { "usage", usage } },
        { { "X-Request-Id", job.id } });
}

void engine_standin::sampleLoad(int64_t now)
{
    constexpr int64_t sampleInterval = 50000;
    constexpr size_t maximumSamples = 200;
    if (!m_load.empty() && now - m_load.back().at < sampleInterval)
        return;
    m_load.push_back({ now, m_running.size(), m_queue.size() });
    if (m_load.size() > maximumSamples)
        m_load.pop_front();
}

nlohmann::json engine_standin::loadReport() const
{
    const auto lag = m_settings.find("load_lag_ms");
    const int64_t until = nowMicroseconds() - (lag == m_settings.end() ? 0 : lag->second * 1000);
    load_sample sample {};
    for (const load_sample& candidate : m_load) {
        if (candidate.at <= until)
            sample = candidate;
    }
    const auto leaving = m_settings.find("leaving");
    return { { "running", sample.running }, { "queued", sample.queued }, { "versions", m_versions },
        { "leaving", leaving != m_settings.end() && leaving->second != 0 } };
}

nlohmann::json engine_standin::records() const { return m_records; }

} // namespace pollen
