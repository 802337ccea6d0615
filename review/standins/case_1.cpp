// A server answers one request with a chunk extension that does not end. The daemon keeps all of it until its memory is
// used up and the platform kills it; the other callers' requests end without an answer.

#include "caller_channel.h"
#include "deployment.h"
#include <base/socket_address.h>
#include <csignal>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <map>
#include <random>
#include <set>

namespace pollen {

namespace {

constexpr size_t callers = 16;
constexpr size_t soundServers = 3;
// Orders differ in their work, so that they are in progress at different times.
constexpr int leastWorkMilliseconds = 150;
constexpr int mostWorkMilliseconds = 400;
constexpr duration timeBeforeTheFault = std::chrono::seconds(4);
constexpr duration timeAfterTheFault = std::chrono::seconds(9);
constexpr duration platformCheck = std::chrono::milliseconds(10);
constexpr duration restartDelay = std::chrono::milliseconds(500);
// LOST allows three.
constexpr size_t allowedLosses = 3;
// A daemon's own link, 1000 Mbit/s.
constexpr size_t linkBytesPerMillisecond = 125000;
constexpr duration writeInterval = std::chrono::milliseconds(5);
constexpr size_t bytesPerMegabyte = size_t { 1 } << 20;

const char* const configurationText = R"({"version":1,"routes":[
{"name":"contract-summary","host":"desk.example","path-prefix":"/summary/","kind":"streaming","timeout-ms":6000,
"goal-ms":3000,"priority":0,"service":"drafting-model","max-attempts":3,"public":true,"resumable":true,
"gap-goal-ms":1200},
{"name":"order-place","host":"desk.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":600,
"goal-ms":100,"priority":2,"service":"order-desk","max-attempts":1,"public":true}],
"services":[{"name":"drafting-model","health-path":"/health","max-conns":360},
{"name":"order-desk","health-path":"/health","max-conns":96}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[]})";

// A server whose answers are well-formed up to the extension of their first chunk, which goes on until the daemon
// closes. Without trouble, the same answer with an ordinary chunk.
class endless_server {
public:
    endless_server(event_loop& loop, recorder& record, bool isEndless)
        : m_loop(loop)
        , m_record(record)
        , m_isEndless(isEndless)
        , m_block(linkBytesPerMillisecond * static_cast<size_t>(toMilliseconds(writeInterval)), 'x')
        , m_timer(loop, [this] { sendMore(); })
    {
        const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<endless_server*>(self)->accept(socket);
        };
        socket_address address = toSocketAddress({ "127.0.0.1", 0 });
        m_listener = evconnlistener_new_bind(
            loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, 64, address.get(), static_cast<int>(address.length));
        socket_address bound;
        getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
        m_address = toEndpoint(bound);
        m_timer.startRepeating(writeInterval);
    }
    ~endless_server()
    {
        for (bufferevent* channel : m_channels)
            bufferevent_free(channel);
        evconnlistener_free(m_listener);
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    const endpoint& address() const { return m_address; }

private:
    void accept(evutil_socket_t socket)
    {
        bufferevent* channel = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        const auto onRead = [](bufferevent* from, void* self) { static_cast<endless_server*>(self)->answer(from); };
        const auto onEnd
            = [](bufferevent* ended, short, void* self) { static_cast<endless_server*>(self)->remove(ended); };
        bufferevent_setcb(channel, onRead, nullptr, onEnd, this);
        bufferevent_enable(channel, EV_READ | EV_WRITE);
        m_channels.insert(channel);
    }

    void answer(bufferevent* channel)
    {
        evbuffer* input = bufferevent_get_input(channel);
        const std::string text(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
        if (text.find("\r\n\r\n") == std::string::npos)
            return;
        evbuffer_drain(input, text.size());
        const std::string name = "Pollenroute-Request-Id: ";
        const size_t start = text.find(name) + name.size();
        const std::string id = text.substr(start, text.find("\r\n", start) - start);
        m_record.write("server drafting-1 runs " + id + " and answers "
            + (m_isEndless ? "with a chunk extension without end" : "one event"));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPollenroute-Request-Id: " + id
            + "\r\nPollenroute-Response-Seal: seal-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        head += m_isEndless ? "10;x=" : "10\r\nid: 1\ndata: ok\n\n\r\n0\r\n\r\n";
        bufferevent_write(channel, head.data(), head.size());
        if (m_isEndless)
            m_endless.insert(channel);
    }

    void sendMore()
    {
        // One answer at a time has the whole link.
        if (m_endless.empty())
            return;
        bufferevent* channel = *m_endless.begin();
        if (evbuffer_get_length(bufferevent_get_output(channel)) == 0)
            bufferevent_write(channel, m_block.data(), m_block.size());
    }

    void remove(bufferevent* channel)
    {
        if (m_endless.erase(channel) > 0)
            m_record.write("the daemon has closed the channel to drafting-1");
        m_channels.erase(channel);
        bufferevent_free(channel);
    }

    event_loop& m_loop;
    recorder& m_record;
    bool m_isEndless;
    std::string m_block;
    timer m_timer;
    evconnlistener* m_listener = nullptr;
    endpoint m_address;
    std::set<bufferevent*> m_channels;
    std::set<bufferevent*> m_endless;
};

// A sound server of the order desk.
class order_server {
public:
    order_server(event_loop& loop, recorder& record, std::string id, std::map<std::string, std::string>& runs)
        : m_loop(loop)
        , m_record(record)
        , m_id(std::move(id))
        , m_runs(runs)
        , m_server(
              loop, { "127.0.0.1", 0 }, {}, [this](const std::shared_ptr<server_request>& request) { run(request); })
    {
    }

    const endpoint& address() const { return m_server.address(); }
    const std::string& id() const { return m_id; }

private:
    void run(const std::shared_ptr<server_request>& request)
    {
        const std::string id(findHeader(request->request().headers, "Pollenroute-Request-Id"));
        m_runs[id] = m_id;
        m_record.write("server " + m_id + " runs " + id);
        const auto done = std::make_shared<std::unique_ptr<timer>>();
        *done = std::make_unique<timer>(m_loop, [this, request, id, done] {
            request->reply(
                200, { { "Pollenroute-Request-Id", id }, { "Pollenroute-Response-Seal", "seal-" + id } }, "done-" + id);
            m_loop.post([done] { done->reset(); });
        });
        std::uniform_int_distribution<int> work(leastWorkMilliseconds, mostWorkMilliseconds);
        (*done)->startOnce(std::chrono::milliseconds(work(m_random)));
    }

    event_loop& m_loop;
    recorder& m_record;
    std::string m_id;
    std::map<std::string, std::string>& m_runs;
    std::mt19937 m_random { 1 };
    http_server m_server;
};

class endless_answer_case {
public:
    explicit endless_answer_case(const case_arguments& arguments)
        : m_record(arguments.recordFile)
        , m_deployment(m_loop, arguments, m_record, { { "front-nbi-a-1", "nbi-a", "127.0.0.1" } })
        , m_endless(m_loop, m_record, arguments.hasTrouble)
        , m_platform(m_loop, [this] { checkMemory(); })
    {
        m_deployment.writeConfiguration(configurationText);
        m_deployment.writeServer("drafting-1", "drafting-model", m_endless.address(), "nbi-a", 64);
        for (size_t i = 0; i < soundServers; ++i) {
            m_servers.push_back(
                std::make_unique<order_server>(m_loop, m_record, "order-" + std::to_string(i + 1), m_runs));
            m_deployment.writeServer(m_servers.back()->id(), "order-desk", m_servers.back()->address(), "nbi-a");
        }
    }

    case_result run()
    {
        m_deployment.start();
        m_platform.startRepeating(platformCheck);
        for (size_t i = 0; i < callers; ++i) {
            m_channels.push_back(std::make_unique<caller_channel>(m_loop, m_deployment.callersAddress(0)));
            sendOrder(i);
        }
        m_deployment.runFor(timeBeforeTheFault);
        caller_channel summary(m_loop, m_deployment.callersAddress(0));
        m_record.write("caller sends summary-1");
        summary.send(makeRequest("GET", "/summary/1", "summary-1", 6000), [this](const told_answer& answer) {
            m_record.write("summary-1 ends: status " + std::to_string(answer.status)
                + (answer.complete ? ", complete" : ", the channel was closed"));
        });
        m_deployment.runFor(timeAfterTheFault);
        m_record.write(std::to_string(m_answered) + " orders answered, " + std::to_string(m_lost)
            + " on kept channels run by sound servers and closed without an answer (LOST allows "
            + std::to_string(allowedLosses) + "); largest memory " + std::to_string(m_largestMemory / bytesPerMegabyte)
            + " MB, " + std::to_string(m_kills) + " kills by the platform");
        std::printf("%zu orders lost, %d kills for memory\n", m_lost, m_kills);
        return m_lost > allowedLosses ? RuleBroken : RuleHeld;
    }

private:
    static http_request makeRequest(const char* method, const std::string& target, const std::string& id, int deadline)
    {
        return { method, target,
            { { "Host", "desk.example" }, { "Pollenroute-Request-Id", id },
                { "Pollenroute-Deadline-Ms", std::to_string(deadline) } },
            std::string(method) == "POST" ? "comb" : "" };
    }

    void sendOrder(size_t caller)
    {
        const std::string id = "order-" + std::to_string(caller) + "-" + std::to_string(++m_sent);
        m_channels[caller]->send(
            makeRequest("POST", "/order/1", id, 600), [this, caller, id](const told_answer& answer) {
                onAnswer(id, answer);
                // Callers pause for a moment, longer where no daemon is there.
                m_waits.push_back(std::make_unique<timer>(m_loop, [this, caller] { sendOrder(caller); }));
                m_waits.back()->startOnce(
                    answer.status == 0 ? std::chrono::milliseconds(300) : std::chrono::milliseconds(5));
            });
    }

    void onAnswer(const std::string& id, const told_answer& answer)
    {
        if (answer.complete) {
            ++m_answered;
            m_record.write(id + " answered " + std::to_string(answer.status));
            return;
        }
        const auto server = m_runs.find(id);
        const bool isLost = answer.onKeptChannel && answer.status == 0 && server != m_runs.end();
        m_lost += isLost ? 1 : 0;
        m_record.write(id + " ends without an answer" + (answer.onKeptChannel ? " on a kept channel" : "")
            + (server != m_runs.end() ? "; it was run by " + server->second : "; no server got it"));
    }

    // The platform kills a process that exceeds its memory and starts it again after a short delay.
    void checkMemory()
    {
        daemon_process& daemon = m_deployment.daemonAt(0);
        if (!daemon.isRunning()) {
            if (!m_restart) {
                m_restart = std::make_unique<timer>(m_loop, [this] {
                    m_deployment.restart(0);
                    m_loop.post([this] { m_restart.reset(); });
                });
                m_restart->startOnce(restartDelay);
            }
            return;
        }
        const size_t memory = daemon.residentBytes();
        m_largestMemory = std::max(m_largestMemory, memory);
        if (memory <= static_cast<size_t>(m_deployment.machineAt(0).memoryMegabytes) * bytesPerMegabyte)
            return;
        ++m_kills;
        m_record.write("front-nbi-a-1 uses " + std::to_string(memory / bytesPerMegabyte)
            + " MB of memory-mb 260; the platform kills it");
        daemon.signal(SIGKILL);
    }

    event_loop m_loop;
    recorder m_record;
    deployment m_deployment;
    endless_server m_endless;
    // The server that ran each order.
    std::map<std::string, std::string> m_runs;
    std::vector<std::unique_ptr<order_server>> m_servers;
    timer m_platform;
    std::unique_ptr<timer> m_restart;
    std::vector<std::unique_ptr<timer>> m_waits;
    std::vector<std::unique_ptr<caller_channel>> m_channels;
    size_t m_sent = 0;
    size_t m_answered = 0;
    size_t m_lost = 0;
    size_t m_largestMemory = 0;
    int m_kills = 0;
};

} // namespace

} // namespace pollen

int main(int count, char** values)
{
    try {
        return pollen::endless_answer_case(pollen::parseCaseArguments(count, values)).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return pollen::CouldNotRun;
    }
}
