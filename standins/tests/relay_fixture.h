#pragma once

#include <base/json_logger.h>
#include <gtest/gtest.h>
#include <platform_relay.h>
#include <standins/store_standin.h>

namespace pollen {

inline constexpr duration patience = std::chrono::seconds(8);

inline const char* const configurationText = R"({"version":VERSION,"routes":[
{"name":"stream","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":4000,"goal-ms":3000,
"sizes":["small","large"],"service":"advice","max-attempts":3,"sticky":true,"resumable":true},
{"name":"order","host":"h.example","path-prefix":"/o/","kind":"non_idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":3},
{"name":"read","host":"h.example","path-prefix":"/r/","kind":"idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":2},
{"name":"open","host":"h.example","path-prefix":"/open/","kind":"idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":2,"public":true}],
"services":[{"name":"advice","max-conns":100,"engine":{"slots":64,"kv-capacity":100000}},
{"name":"desk","max-conns":100}],"tenants":[{"name":"team","api-keys":[KEYS]}]})";

inline std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    return text.replace(text.find(what), what.size(), with);
}

inline std::string configuration(int version, const std::string& keys = "\"key\"")
{
    return replaced(replaced(configurationText, "VERSION", std::to_string(version)), "KEYS", keys);
}

// What a backend server does with the requests that it gets, one after the other; the last one repeats.
using behaviour = std::function<void(const std::shared_ptr<server_request>&)>;

class backend_standin {
public:
    backend_standin(event_loop& loop, std::vector<behaviour> script)
        : m_script(std::move(script))
        , m_server(std::make_unique<http_server>(loop, endpoint { "127.0.0.1", 0 }, http_server_limits {},
              [this](const std::shared_ptr<server_request>& request) { handle(request); }))
    {
    }

    const endpoint& address() const { return m_server->address(); }
    const std::vector<http_request>& requests() const { return m_requests; }
    std::string header(size_t request, const char* name) const
    {
        return std::string(findHeader(m_requests.at(request).headers, name));
    }
    void stopListening() { m_server->stopAccepting(); }
    std::vector<std::shared_ptr<server_request>> held;
    size_t hungUp = 0;

private:
    void handle(const std::shared_ptr<server_request>& request)
    {
        const size_t turn = std::min(m_requests.size(), m_script.size() - 1);
        m_requests.push_back(request->request());
        m_script[turn](request);
        held.push_back(request);
        request->setHangUpCallback([this] { ++hungUp; });
    }

    std::vector<behaviour> m_script;
    std::vector<http_request> m_requests;
    std::unique_ptr<http_server> m_server;
};

inline http_headers answerHeaders(const server_request& request, http_headers more = {})
{
    more.emplace_back(
        "Pollenroute-Request-Id", std::string(findHeader(request.request().headers, "Pollenroute-Request-Id")));
    more.emplace_back("Pollenroute-Response-Seal", "seal");
    return more;
}

inline behaviour answers(int status, const std::string& body, const http_headers& more = {})
{
    return [=](const std::shared_ptr<server_request>& request) {
        request->reply(status, answerHeaders(*request, more), body);
    };
}

inline std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n"; }

// Sends the events of a stream after the caller's last one, and breaks off within the event behind the last.
inline behaviour streams(int last, bool complete, const http_headers& more = {})
{
    return [=](const std::shared_ptr<server_request>& request) {
        const std::string since(findHeader(request->request().headers, "Last-Event-Id"));
        request->startStream(200, answerHeaders(*request, more));
        for (int id = since.empty() ? 1 : std::atoi(since.c_str()) + 1; id <= last; ++id)
            request->sendPart(event(id));
        if (complete) {
            request->endStream();
            return;
        }
        request->sendPart("id: 99\nda");
        request->callWhenSent([request] { request->abort(); });
    };
}

inline const behaviour hangs = [](const std::shared_ptr<server_request>&) {};
inline const behaviour breaksOff = [](const std::shared_ptr<server_request>& request) { request->abort(); };
inline const behaviour isFull = answers(503, "full", { { "Pollenroute-Not-Executed", "1" } });
inline const behaviour hasMoved = answers(421, "", {});

// What a backend server writes about itself.
inline std::string serverEntry(
    const char* service, const endpoint& address, const char* state = "ready", const char* version = "v1")
{
    return nlohmann::json {
        { "service", service }, { "address", address.text() }, { "zone", "a" }, { "version", version }, { "slots", 6 },
        { "state", state }, { "seq", 1 }
    }.dump();
}

// The fleet's allowance for repeats, as the users' sheet for rkwt-lahore gives it.
inline constexpr double repeatShare = 0.9;
inline constexpr double repeatSlack = 58;
inline constexpr duration repeatWindow = std::chrono::seconds(10);
// And what it allows a bad version.
inline constexpr double exposureShare = 0.15;
inline constexpr double exposureSlack = 30;

// One daemon of a fleet with the port for its callers.
class fleet_daemon {
public:
    fleet_daemon(event_loop& loop, logger& log, const clock& time, const store_standin& store, const char* id,
        const char* failureDomain)
        : m_settings { instance_id(id), failure_domain_name(failureDomain), { "127.0.0.1", 0 }, { "127.0.0.1", 0 },
            store.address(), { "127.0.0.1", freePort(loop) }, std::chrono::seconds(2), std::chrono::milliseconds(300),
            std::chrono::seconds(8), std::chrono::milliseconds(5000), std::chrono::seconds(5), repeatShare, repeatSlack,
            repeatWindow, exposureShare, exposureSlack }
        , m_relay(loop, m_settings, log, time)
        , m_front(loop, { "127.0.0.1", 0 }, {},
              [this](const std::shared_ptr<server_request>& message) { m_relay.gateway().handle(message); })
        , m_ticker(loop, [this, &time] { m_relay.tick(time.now()); })
    {
        m_relay.start();
        m_ticker.startRepeating(std::chrono::milliseconds(10));
    }

    platform_relay& relay() { return m_relay; }
    const endpoint& address() const { return m_front.address(); }

private:
    static uint16_t freePort(event_loop& loop)
    {
        const http_server server(loop, { "127.0.0.1", 0 }, {}, [](const std::shared_ptr<server_request>&) {});
        return server.address().port;
    }

    node_settings m_settings;
    platform_relay m_relay;
    http_server m_front;
    timer m_ticker;
};

} // namespace pollen
