#include <standins/standin.h>

#include <base/clock.h>

namespace pollen {

namespace {

http_server_limits standinLimits()
{
    http_server_limits limits;
    limits.idleTimeout = std::chrono::minutes(10);
    return limits;
}

} // namespace

standin::standin(event_loop& loop, const endpoint& listenAddress)
    : m_loop(loop)
    , m_server(loop, listenAddress, standinLimits(),
          [this](const std::shared_ptr<server_request>& request) { dispatch(request); })
{
}

void standin::dispatch(const std::shared_ptr<server_request>& request)
{
    const std::string& target = request->request().target;
    const std::string_view path = targetPath(target);
    if (path == "/standin/records") {
        replyJson(*request, 200, records());
        return;
    }
    if (path != "/standin/set") {
        handle(request);
        return;
    }
    const std::string pair = target.substr(std::min(target.size(), path.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string::npos)
        set(pair.substr(0, equals), std::strtoll(pair.c_str() + equals + 1, nullptr, 10));
    replyJson(*request, 200, nlohmann::json::object());
}

void replyJson(server_request& request, int status, const nlohmann::json& body, http_headers headers)
{
    headers.emplace_back("Content-Type", "application/json");
    request.reply(status, headers, body.dump());
}

int64_t nowMicroseconds() { return os_clock().now().time_since_epoch().count(); }

int64_t wallMilliseconds() { return os_clock().wallMilliseconds(); }

} // namespace pollen
