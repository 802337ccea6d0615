#include <gateway/chat_request.h>

#include <gateway/api_error.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr uint32_t defaultOutputTokens = 256;
constexpr uint32_t maximumOutputTokens = 1U << 20;
// Estimate for the prompt, which is not tokenized here.
constexpr uint32_t bytesPerToken = 4;
// JSON serialization recurses once per nesting level, so deeper documents could exhaust the stack.
constexpr int maximumDepth = 64;

[[noreturn]] void throwMalformed(const std::string& message)
{
    throw request_error({ error_kind::MalformedRequest, run_state::NotRun, message });
}

nlohmann::json parseBounded(const std::string& body)
{
    const auto checkDepth = [](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        if (depth > maximumDepth)
            throwMalformed("the body is nested too deeply");
        return true;
    };
    try {
        return nlohmann::json::parse(body, checkDepth);
    } catch (const nlohmann::json::exception&) {
        throwMalformed("the body is not JSON");
    }
}

uint32_t readOutputTokens(const nlohmann::json& json)
{
    for (const char* key : { "max_completion_tokens", "max_tokens" }) {
        const auto found = json.find(key);
        if (found == json.end() || found->is_null())
            continue;
        if (!found->is_number_unsigned() || found->get<uint64_t>() == 0)
            throwMalformed(std::string(key) + " must be a positive whole number");
        return static_cast<uint32_t>(std::min<uint64_t>(found->get<uint64_t>(), maximumOutputTokens));
    }
    return defaultOutputTokens;
}

size_t textBytes(const nlohmann::json& content)
{
    if (content.is_string())
        return content.get_ref<const std::string&>().size();
    size_t bytes = 0;
    if (!content.is_array())
        return bytes;
    for (const auto& part : content) {
        const auto text = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && text != part.end() && text->is_string())
            bytes += text->get_ref<const std::string&>().size();
    }
    return bytes;
}

uint32_t countPromptTokens(const nlohmann::json& messages)
{
    size_t bytes = 0;
    for (const auto& message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            throwMalformed("each message needs a role");
        if (message.contains("content"))
            bytes += textBytes(message["content"]);
    }
    return static_cast<uint32_t>(bytes / bytesPerToken + 1);
}

} // namespace

chat_request parseChatRequest(const std::string& body)
{
    const auto document = std::make_shared<const nlohmann::json>(parseBounded(body));
    const nlohmann::json& json = *document;
    if (!json.is_object())
        throwMalformed("the body must be a JSON object");
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array() || messages->empty())
        throwMalformed("messages must be an array that is not empty");
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string() || model->get_ref<const std::string&>().empty())
        throwMalformed("model must be text: \"auto\", a model, or \"model/version\"");
    chat_request request;
    if (*model != "auto")
        request.requestedVersion = parseVersionRef(model->get<std::string>());
    if (json.contains("stream") && !json["stream"].is_boolean())
        throwMalformed("stream must be true or false");
    request.streaming = json.value("stream", false);
    request.promptTokens = countPromptTokens(*messages);
    request.outputTokens = readOutputTokens(json);
    request.body = document;
    return request;
}

} // namespace pollen
