#include <standins/store_standin.h>

#include <cstdlib>

namespace pollen {

namespace {

constexpr duration waitCheck = std::chrono::milliseconds(5);
constexpr size_t lengthBytes = 4;
constexpr size_t offsetBytes = 8;
constexpr unsigned bitsPerByte = 8;

std::string bigEndian(uint64_t value, size_t bytes)
{
    std::string text;
    for (size_t i = bytes; i-- > 0;)
        text += static_cast<char>(value >> (i * bitsPerByte) & 0xff);
    return text;
}

std::string base64(const std::string& bytes)
{
    static const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = group << bitsPerByte | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? alphabet[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

uint64_t number(const std::string& target, const char* name)
{
    return std::strtoull(std::string(queryParameter(target, name)).c_str(), nullptr, 10);
}

} // namespace

store_standin::store_standin(event_loop& loop, const endpoint& listenAddress)
    : standin(loop, listenAddress)
    , m_timer(loop, [this] { answerWaiting(); })
{
    m_timer.startRepeating(waitCheck);
}

void store_standin::set(const std::string& name, int64_t value)
{
    if (name == "outage")
        m_outage = value;
    if (name == "lose_answers")
        m_loseAnswers = value;
    if (name == "era")
        m_era = value;
    if (name == "copy")
        m_copy = m_topics;
    if (name == "restore") {
        m_topics = m_copy;
        ++m_era;
    }
    if (name != "forget")
        return;
    for (auto& [topicName, topic] : m_topics) {
        topic.first = topic.end();
        topic.records.clear();
    }
}

void store_standin::put(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
{
    add(topic, static_cast<char>(key.size()) + key + value.value_or(""));
}

std::optional<std::string> store_standin::newest(const std::string& topic, const std::string& key) const
{
    const auto found = m_topics.find(topic);
    if (found == m_topics.end() || !found->second.newest.contains(key))
        return std::nullopt;
    return found->second.newest.at(key).second;
}

void store_standin::handle(const std::shared_ptr<server_request>& request)
{
    ++m_calls;
    if (m_outage == 1) {
        reply(*request, 503, { { "error", "down" } });
        return;
    }
    if (m_outage == 2) {
        m_unanswered.push_back(request);
        return;
    }
    const std::string& target = request->request().target;
    const std::string_view path = targetPath(target);
    const std::string name(queryParameter(target, "topic"));
    if (path == "/api/log-append")
        append(*request, name);
    else if (path == "/api/log-read")
        read(request, name);
    else if (path == "/api/log-newest")
        replyNewest(*request, name);
    else
        reply(*request, 404, { { "error", "no such call" } });
}

void store_standin::append(server_request& request, const std::string& name)
{
    const std::string& target = request.request().target;
    topic& topic = m_topics[name];
    if (!queryParameter(target, "at").empty() && number(target, "at") != topic.end()) {
        reply(request, 412, { { "end", topic.end() } });
        return;
    }
    const uint64_t offset = topic.end();
    const std::string& body = request.request().body;
    size_t at = 0;
    while (at + lengthBytes <= body.size()) {
        size_t length = 0;
        for (size_t i = 0; i < lengthBytes; ++i)
            length = length << bitsPerByte | static_cast<unsigned char>(body[at + i]);
        add(name, body.substr(at + lengthBytes, length));
        at += lengthBytes + length;
    }
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        request.abort();
        return;
    }
    reply(request, 200, { { "offset", offset }, { "end", topic.end() } });
}

void store_standin::add(const std::string& name, const std::string& record)
{
    topic& topic = m_topics[name];
    const uint64_t offset = topic.end();
    topic.records.push_back(record);
    if (!name.starts_with("keyed.") || record.empty())
        return;
    const size_t keyLength = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, keyLength);
    if (record.size() > 1 + keyLength)
        topic.newest[key] = { offset, record.substr(1 + keyLength) };
    else
        topic.newest.erase(key);
}

void store_standin::read(const std::shared_ptr<server_request>& request, const std::string& name)
{
    const std::string& target = request->request().target;
    const auto wait = static_cast<int64_t>(number(target, "wait-ms"));
    m_waiting.push_back({ request, name, number(target, "from"), wallMilliseconds() + wait });
    answerWaiting();
}

void store_standin::answerWaiting()
{
    if (m_outage != 0)
        return;
    std::vector<waiting_read> still;
    for (const waiting_read& waiting : std::exchange(m_waiting, {})) {
        const topic& topic = m_topics[waiting.topic];
        if (waiting.from < topic.first || waiting.from > topic.end()) {
            reply(*waiting.request, 410, { { "first", topic.first } });
            continue;
        }
        if (waiting.from >= topic.end() && wallMilliseconds() < waiting.deadlineMilliseconds) {
            still.push_back(waiting);
            continue;
        }
        std::string body = bigEndian(topic.end(), offsetBytes) + bigEndian(topic.first, offsetBytes);
        for (uint64_t i = waiting.from; i < topic.end(); ++i) {
            const std::string& record = topic.records[i - topic.first];
            body += bigEndian(record.size(), lengthBytes) + record;
        }
        waiting.request->reply(200, eraHeaders(), body);
    }
    m_waiting.insert(m_waiting.end(), still.begin(), still.end());
}

void store_standin::replyNewest(server_request& request, const std::string& name)
{
    const topic& topic = m_topics[name];
    nlohmann::json items = nlohmann::json::array();
    for (const auto& [key, entry] : topic.newest)
        items.push_back({ { "key", key }, { "value", base64(entry.second) }, { "offset", entry.first } });
    reply(request, 200, { { "items", items }, { "more", false }, { "end", topic.end() } });
}

void store_standin::reply(server_request& request, int status, const nlohmann::json& body)
{
    replyJson(request, status, body, eraHeaders());
}

http_headers store_standin::eraHeaders() const
{
    if (m_era == 0)
        return {};
    return { { "Store-Era", std::to_string(m_era) } };
}

nlohmann::json store_standin::records() const
{
    nlohmann::json topics = nlohmann::json::object();
    for (const auto& [name, topic] : m_topics)
        topics[name] = topic.end();
    return topics;
}

} // namespace pollen
