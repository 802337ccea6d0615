#include "relay_fixture.h"

#include <base/socket_address.h>
#include <list>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

// A backend server over plain sockets that writes fixed bytes, runs whole requests that it reads and counts them by id.
class counting_server {
public:
    struct script {
        // Written at accept, before a request is read.
        std::string greeting;
        // Written for each request of a connection; the last one repeats.
        std::vector<std::string> answers;
        // The server runs the requests whatever it writes.
        bool runs = true;
        // Closes its side behind the last of the answers above.
        bool closes = false;
    };

    explicit counting_server(script behaviour)
        : m_script(std::move(behaviour))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        socket_address address = toSocketAddress({ "127.0.0.1", 0 });
        EXPECT_EQ(::bind(m_listener, address.get(), address.length), 0);
        EXPECT_EQ(::listen(m_listener, 64), 0);
        EXPECT_EQ(::getsockname(m_listener, address.get(), &address.length), 0);
        m_address = toEndpoint(address);
    }
    ~counting_server()
    {
        for (const connection& open : m_open)
            ::close(open.socket);
        ::close(m_listener);
    }
    counting_server(const counting_server&) = delete;
    counting_server& operator=(const counting_server&) = delete;

    const endpoint& address() const { return m_address; }
    int runs(const std::string& id) const { return m_runs.contains(id) ? m_runs.at(id) : 0; }
    size_t requests() const { return m_requests; }
    size_t connections() const { return m_open.size(); }

    // Accepts, reads and answers what the kernel has, without blocking.
    void poll()
    {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            m_open.push_back({ socket });
            write(socket, m_script.greeting);
        }
        for (connection& open : m_open)
            serve(open);
    }

private:
    struct connection {
        int socket = -1;
        std::string input {};
        size_t answered = 0;
    };

    static void write(int socket, const std::string& bytes)
    {
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void serve(connection& open)
    {
        char buffer[4096];
        const ssize_t length = ::recv(open.socket, buffer, sizeof buffer, MSG_DONTWAIT);
        if (length > 0)
            open.input.append(buffer, static_cast<size_t>(length));
        const size_t end = open.input.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const std::string name = "Pollenroute-Request-Id: ";
        const size_t start = open.input.find(name) + name.size();
        const std::string id = open.input.substr(start, open.input.find("\r\n", start) - start);
        open.input.erase(0, end + 4);
        ++m_requests;
        if (m_script.runs)
            ++m_runs[id];
        if (m_script.answers.empty())
            return;
        const size_t turn = std::min(open.answered++, m_script.answers.size() - 1);
        std::string answer = m_script.answers[turn];
        for (size_t at = answer.find("{id}"); at != std::string::npos; at = answer.find("{id}"))
            answer.replace(at, 4, id);
        write(open.socket, answer);
        if (m_script.closes && turn + 1 == m_script.answers.size())
            ::shutdown(open.socket, SHUT_WR);
    }

    script m_script;
    int m_listener;
    endpoint m_address;
    std::list<connection> m_open;
    std::map<std::string, int> m_runs;
    size_t m_requests = 0;
};

const std::string idLine = "Pollenroute-Request-Id: {id}\r\n";
const std::string statement = "Pollenroute-Not-Executed: 1\r\n";
const std::string noBody = "Content-Length: 0\r\n\r\n";
const std::string full = "HTTP/1.1 503 Service Unavailable\r\n";
const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\n";
const std::string done = "HTTP/1.1 200 OK\r\nPollenroute-Response-Seal: seal\r\n" + idLine + noBody;

class NotRunRelayTest : public testing::Test {
protected:
    struct told_answer {
        int status = 0;
        std::string body;
    };

    void startDaemon(const counting_server& server)
    {
        m_store.put("keyed.op", "config", configuration(1));
        for (const char* id : { "i-1", "i-2", "i-3" })
            m_store.put("keyed.servers", id, serverEntry("desk", server.address()));
        m_daemon = std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, "d1", "a");
        EXPECT_TRUE(m_loop.runUntil([&] { return m_daemon->relay().gateway().ready(); }, patience));
    }

    told_answer send(counting_server& server, const std::string& id, const std::string& target = "/o/x")
    {
        const http_request message { "GET", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Deadline-Ms", "350" },
                { "Pollenroute-Key", "key" } },
            "" };
        std::optional<told_answer> told;
        m_caller.fetch(m_daemon->address(), message, {}, [&](const exchange_result&, const http_response& reply) {
            told = told_answer { reply.status, reply.body };
        });
        EXPECT_TRUE(m_loop.runUntil(
            [&] {
                server.poll();
                return told.has_value();
            },
            patience));
        return told.value_or(told_answer {});
    }

    // The socket of the server is not registered with the loop; the timer makes runUntil() poll it.
    void SetUp() override { m_pollTimer.startRepeating(std::chrono::milliseconds(1)); }

    event_loop m_loop;
    timer m_pollTimer { m_loop, [] {} };
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    http_client m_caller { m_loop };
    std::unique_ptr<fleet_daemon> m_daemon;
};

} // namespace

// Guards against REFUSED and TWICE: bytes that do not name the request were taken for the server's word that it has not
// run it, while the server ran it.
TEST_F(NotRunRelayTest, OnlyARefusalThatNamesTheRequestSaysThatItHasNotRun)
{
    struct refusal_case {
        const char* what;
        counting_server::script script;
        int status;
    };
    const std::string refusal = full + statement + idLine + noBody;
    const std::string unnamed = full + statement + noBody;
    const std::string body = full + statement + idLine + "Content-Length: 9\r\n\r\nhalf";
    const std::vector<refusal_case> cases {
        { "refused", { "", { refusal }, false }, 503 },
        { "refused twice", { "", { refusal + refusal }, false }, 503 },
        { "refused, then closed", { "", { refusal }, false, true }, 503 },
        { "misdirected", { "", { misdirected + idLine + noBody }, false }, 503 },
        { "misdirected, with the statement", { "", { misdirected + statement + idLine + noBody }, false }, 503 },
        { "interim, then refused", { "", { "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal }, false }, 503 },
        { "a refusal that breaks off", { "", { body }, false, true }, 502 },
        { "a refusal that does not end", { "", { body } }, 504 },
        { "unnamed, before the request", { unnamed, {} }, 502 },
        { "unnamed, before the request, then done", { unnamed, { done } }, 502 },
        { "unnamed 421 before the request", { misdirected + noBody, {} }, 502 },
        { "unnamed 421", { "", { misdirected + noBody } }, 502 },
        { "unnamed", { "", { unnamed } }, 502 },
        { "unnamed, then closed", { "", { unnamed }, true, true }, 502 },
        { "unnamed 408 before the request", { "HTTP/1.1 408 Request Timeout\r\n" + noBody, {} }, 502 },
        { "of another request", { "", { full + statement + "Pollenroute-Request-Id: other\r\n" + noBody } }, 504 },
        { "421 of another request", { "", { misdirected + "Pollenroute-Request-Id: other\r\n" + noBody } }, 504 },
        { "of another request, then done",
            { "", { full + statement + "Pollenroute-Request-Id: other\r\n" + noBody + done } }, 200 },
        { "503 without the statement", { "", { full + idLine + noBody } }, 502 },
        { "429 without the statement", { "", { "HTTP/1.1 429 Too Many Requests\r\n" + idLine + noBody } }, 502 },
        { "408 without the statement", { "", { "HTTP/1.1 408 Request Timeout\r\n" + idLine + noBody } }, 502 },
        { "done", { "", { done } }, 200 },
    };
    for (const refusal_case& item : cases) {
        counting_server server(item.script);
        startDaemon(server);
        const told_answer told = send(server, "id-1");
        EXPECT_EQ(told.status, item.status) << item.what << ' ' << told.body;
        EXPECT_GT(server.requests(), 0U) << item.what;
        EXPECT_LE(server.runs("id-1"), 1) << item.what;
        EXPECT_FALSE(told.status == 503 && server.runs("id-1") > 0) << item.what;
        m_daemon.reset();
    }
}

// Guards against REFUSED: a server that closes a kept connection, or writes of its end, reads the order behind that.
TEST_F(NotRunRelayTest, AnOrderIntoAKeptConnectionThatEndsMayHaveRun)
{
    struct end_case {
        const char* what;
        std::string bytes;
        bool closes;
        bool runs;
        int status;
    };
    const std::string refusal = full + statement + idLine + noBody;
    const std::string timeout = "HTTP/1.1 408 Request Timeout\r\n";
    const std::vector<end_case> cases {
        { "closed", "", true, true, 502 },
        { "408", timeout + noBody, true, true, 502 },
        { "408 with the statement", timeout + statement + noBody, true, true, 502 },
        { "408 that names the order", timeout + idLine + noBody, true, true, 502 },
        { "unnamed refusal", full + statement + noBody, false, true, 502 },
        { "unnamed 421", misdirected + noBody, false, true, 502 },
        { "refusal of another order", full + statement + "Pollenroute-Request-Id: first\r\n" + noBody, false, true,
            504 },
        { "half of a refusal", full + statement, true, true, 502 },
        { "a refusal, and an answer on the next connection", refusal, false, false, 200 },
        { "a refusal and the close, and an answer on the next", refusal, true, false, 200 },
    };
    for (const end_case& item : cases) {
        counting_server server({ "", { done, item.bytes }, item.runs, item.closes });
        startDaemon(server);
        EXPECT_EQ(send(server, "first").status, 200) << item.what;
        EXPECT_EQ(server.connections(), 1U) << item.what;
        const told_answer told = send(server, "second");
        EXPECT_EQ(told.status, item.status) << item.what << ' ' << told.body;
        EXPECT_LE(server.runs("second"), 1) << item.what;
        EXPECT_FALSE(told.status == 503 && server.runs("second") > 0) << item.what;
        m_daemon.reset();
    }
}

// Guards against REFUSED: what a daemon that stops says of orders that are in flight, refused or still unsent.
TEST_F(NotRunRelayTest, ADaemonThatStopsPromisesOnlyWhatNoServerHas)
{
    struct stop_case {
        const char* what;
        std::vector<std::string> answers;
        bool runs;
        int status;
    };
    const std::vector<stop_case> cases {
        { "in flight", {}, true, 502 },
        { "half of a refusal", { full + statement + idLine }, true, 502 },
        { "a refusal without its body", { full + statement + idLine + "Content-Length: 9\r\n\r\nhalf" }, true, 502 },
    };
    for (const stop_case& item : cases) {
        counting_server server({ "", item.answers, item.runs });
        startDaemon(server);
        timer stop(m_loop, [&] { m_daemon->relay().gateway().endOpenRequests(); });
        stop.startOnce(std::chrono::milliseconds(150));
        const told_answer told = send(server, "order");
        EXPECT_EQ(told.status, item.status) << item.what << ' ' << told.body;
        EXPECT_FALSE(told.status == 503 && server.runs("order") > 0) << item.what;
        EXPECT_GT(server.requests(), 0U) << item.what;
        m_daemon.reset();
    }
}

// Guards against BUDGET: a request that may have run behind a refusal without its id ran more often than its route
// allows.
TEST_F(NotRunRelayTest, UnnamedRefusalsUseUpTheAttemptsOfARepeatableRequest)
{
    const std::string unnamed = full + statement + noBody;
    counting_server server({ "", { unnamed, unnamed, done }, true });
    startDaemon(server);
    const told_answer told = send(server, "read", "/r/x");
    EXPECT_EQ(told.status, 502) << told.body;
    EXPECT_EQ(server.requests(), 2U);
}

// Guards against REFUSED: what a daemon that stops says of an order that waits behind refusals, and is still open.
TEST_F(NotRunRelayTest, ADaemonThatStopsEndsAnOrderThatWaitsForCapacity)
{
    counting_server server({ "", { full + statement + idLine + noBody }, false });
    startDaemon(server);
    // Three servers have refused, and the wait that follows is longer than this.
    timer stop(m_loop, [&] {
        if (server.requests() == 3)
            m_daemon->relay().gateway().endOpenRequests();
    });
    stop.startRepeating(std::chrono::milliseconds(1));
    const told_answer told = send(server, "order");
    EXPECT_EQ(told.status, 503);
    EXPECT_NE(told.body.find("\"stopping\""), std::string::npos) << told.body;
    EXPECT_EQ(server.requests(), 3U);
}

} // namespace pollen
