#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <http/http_client.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);
// More than the socket buffers of a connection hold, so that the upload cannot be written whole until it is read.
constexpr size_t uploadBytes = 24U << 20;
constexpr int receiveBufferBytes = 4096;

enum class connection_end { KeepOpen, ReadRestThenClose, HalfClose, Reset };

// Reads the first bytes of an upload and answers in two pieces, without reading on; then ends its connection.
class early_server {
public:
    early_server()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        EXPECT_EQ(::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes), 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), length), 0);
        EXPECT_EQ(::listen(m_listener, 4), 0);
        EXPECT_EQ(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length), 0);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~early_server()
    {
        end(connection_end::Reset);
        ::close(m_earlier);
        ::close(m_listener);
    }
    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;

    const endpoint& address() const { return m_address; }

    // Whether bytes of the connection have arrived.
    bool hasRequest()
    {
        if (m_socket < 0)
            m_socket = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (m_socket >= 0)
            read();
        return m_received > 0;
    }

    void write(const std::string& bytes) const
    {
        EXPECT_EQ(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }

    // Leaves the connection as it is and waits for another one.
    void awaitNext()
    {
        m_earlier = std::exchange(m_socket, -1);
        m_received = 0;
    }

    ssize_t read()
    {
        char buffer[1U << 16];
        const ssize_t length = ::recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
        m_received += length > 0 ? static_cast<size_t>(length) : 0;
        return length;
    }

    size_t received() const { return m_received; }

    void end(connection_end how)
    {
        if (m_socket < 0 || how == connection_end::KeepOpen)
            return;
        if (how == connection_end::HalfClose) {
            ::shutdown(m_socket, SHUT_WR);
            return;
        }
        const linger atOnce { how == connection_end::Reset ? 1 : 0, 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        ::close(std::exchange(m_socket, -1));
    }

private:
    int m_listener;
    int m_socket = -1;
    int m_earlier = -1;
    endpoint m_address;
    size_t m_received = 0;
};

struct early_result {
    exchange_failure failure = exchange_failure::None;
    int status = 0;
    std::string body;

    friend bool operator==(const early_result&, const early_result&) = default;
};

void PrintTo(const early_result& result, std::ostream* out)
{
    *out << toText(result.failure) << ' ' << result.status << " '" << result.body << "'";
}

class recording_listener final : public exchange_listener {
public:
    void onHead(int status, const http_headers&) override { m_result.status = status; }
    void onData(std::string_view bytes) override { m_result.body += bytes; }
    void onFinished(const exchange_result& result) override
    {
        m_result.failure = result.failure;
        m_finished = true;
    }

    const early_result& result() const { return m_result; }
    bool hasHead() const { return m_result.status != 0; }
    bool finished() const { return m_finished; }

private:
    early_result m_result;
    bool m_finished = false;
};

class EarlyResponseTest : public testing::Test {
protected:
    // The sockets of the tests are not registered with the event loop; the timer makes runUntil() poll them.
    void SetUp() override { m_pollTimer.startRepeating(std::chrono::milliseconds(1)); }

    struct early_case {
        const char* what;
        std::string first;
        std::string second;
        connection_end end;
        early_result expected;
    };

    // pause: the client does not read between the first piece and the end of the connection, so that a write fails
    // before anything of the rest is read.
    early_result upload(const early_case& item, bool pause)
    {
        early_server server;
        recording_listener listener;
        const auto exchange
            = m_client.start(server.address(), { "POST", "/", {}, std::string(uploadBytes, 'x') }, {}, listener);
        EXPECT_TRUE(m_loop.runUntil([&] { return server.hasRequest(); }, testTimeout));
        server.write(item.first);
        EXPECT_TRUE(m_loop.runUntil([&] { return listener.hasHead(); }, testTimeout));
        if (pause)
            exchange->pauseReading();
        server.write(item.second);
        if (item.end == connection_end::ReadRestThenClose) {
            EXPECT_TRUE(m_loop.runUntil(
                [&] {
                    while (server.read() > 0) { }
                    return server.received() > uploadBytes;
                },
                testTimeout));
        }
        server.end(item.end);
        if (pause) {
            m_loop.runUntil([&] { return listener.finished(); }, pauseTime);
            exchange->resumeReading();
        }
        EXPECT_TRUE(m_loop.runUntil([&] { return listener.finished(); }, testTimeout)) << item.what;
        return listener.result();
    }

    // Longer than a failed write needs to be reported on loopback.
    static constexpr duration pauseTime = std::chrono::milliseconds(50);
    event_loop m_loop;
    timer m_pollTimer { m_loop, [] {} };
    http_client m_client { m_loop };
};

const std::string unframed = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

// Guards against a partial body that is taken for a whole response, because the server closed its connection, or
// because a failed write hid the reset and the next read reported an end of file.
TEST_F(EarlyResponseTest, AnEarlyResponseThatEndsWithItsConnectionIsNotComplete)
{
    const early_result lost { exchange_failure::ConnectionLost, 200, "" };
    for (const connection_end end :
        { connection_end::Reset, connection_end::HalfClose, connection_end::ReadRestThenClose }) {
        for (const bool pause : { false, true }) {
            early_result result = upload({ "unframed", unframed, "part", end, lost }, pause);
            result.body.clear();
            EXPECT_EQ(result, lost) << "end " << static_cast<int>(end) << (pause ? ", reading paused" : "");
        }
    }
}

// Guards against an early refusal that is lost, because the write of the rest of the request failed before the
// response was read to its end.
TEST_F(EarlyResponseTest, AnEarlyResponseWithALengthOrChunksIsComplete)
{
    const std::string tooLarge = "HTTP/1.1 413 Content Too Large\r\n";
    const std::string unauthorized = "HTTP/1.1 401 Unauthorized\r\n";
    const early_result refused { exchange_failure::None, 413, "full" };
    for (const connection_end end : { connection_end::KeepOpen, connection_end::Reset, connection_end::HalfClose }) {
        for (const bool pause : { false, true }) {
            const std::string where = "end " + std::to_string(static_cast<int>(end)) + (pause ? ", paused" : "");
            EXPECT_EQ(
                upload({ "length", tooLarge + "Content-Length: 4\r\n\r\n", "full", end, refused }, pause), refused)
                << where;
            EXPECT_EQ(upload({ "chunks", tooLarge + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nfull\r\n0\r\n\r\n", end,
                                 refused },
                          pause),
                refused)
                << where;
            const early_result login { exchange_failure::None, 401, "" };
            EXPECT_EQ(upload({ "no body", unauthorized + "Content-Length: 0\r\n\r\n", "", end, login }, pause), login)
                << where;
        }
    }
}

// Guards against an early response that breaks off within its length or chunks and is taken for whole.
TEST_F(EarlyResponseTest, AnEarlyResponseThatBreaksOffIsLost)
{
    const early_result lost { exchange_failure::ConnectionLost, 413, "" };
    for (const connection_end end :
        { connection_end::Reset, connection_end::HalfClose, connection_end::ReadRestThenClose }) {
        for (const bool pause : { false, true }) {
            early_result result
                = upload({ "cut", "HTTP/1.1 413 No\r\nContent-Length: 9\r\n\r\n", "half", end, lost }, pause);
            result.body.clear();
            EXPECT_EQ(result, lost) << "end " << static_cast<int>(end) << (pause ? ", reading paused" : "");
        }
    }
}

// Guards against a request that is written behind the unwritten rest of the one before it.
TEST_F(EarlyResponseTest, AConnectionWithAnUnwrittenRequestIsNotReused)
{
    early_server server;
    recording_listener first;
    const auto upload = m_client.start(server.address(), { "POST", "/", {}, std::string(uploadBytes, 'x') }, {}, first);
    ASSERT_TRUE(m_loop.runUntil([&] { return server.hasRequest(); }, testTimeout));
    server.write("HTTP/1.1 413 No\r\nContent-Length: 4\r\n\r\nfull");
    ASSERT_TRUE(m_loop.runUntil([&] { return first.finished(); }, testTimeout));
    EXPECT_EQ(first.result(), (early_result { exchange_failure::None, 413, "full" }));
    server.awaitNext();
    recording_listener second;
    const auto next = m_client.start(server.address(), { "GET", "/", {}, "" }, {}, second);
    ASSERT_TRUE(m_loop.runUntil([&] { return server.hasRequest(); }, testTimeout));
    server.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    ASSERT_TRUE(m_loop.runUntil([&] { return second.finished(); }, testTimeout));
    EXPECT_EQ(second.result(), (early_result { exchange_failure::None, 200, "done" }));
}

// Guards against the parting message of an idle connection that is taken for the response to a request of which no byte
// could be written.
TEST_F(EarlyResponseTest, AMessageOnAClosedConnectionAnswersNoUnsentRequest)
{
    early_server server;
    recording_listener first;
    const auto earlier = m_client.start(server.address(), { "GET", "/", {}, "" }, {}, first);
    ASSERT_TRUE(m_loop.runUntil([&] { return server.hasRequest(); }, testTimeout));
    server.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    ASSERT_TRUE(m_loop.runUntil([&] { return first.finished(); }, testTimeout));
    server.write("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    server.end(connection_end::Reset);
    // The loop does not run between the reset and the next request, so the client has not seen the end yet.
    recording_listener second;
    const auto next = m_client.start(server.address(), { "GET", "/", {}, "" }, {}, second);
    ASSERT_TRUE(m_loop.runUntil([&] { return second.finished(); }, testTimeout));
    EXPECT_EQ(second.result(), (early_result { exchange_failure::ConnectFailed, 0, "" }));
}

} // namespace pollen
