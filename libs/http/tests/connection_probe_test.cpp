#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <http/connection_probe.h>
#include <http/http_server.h>
#include <optional>

namespace pollen {

namespace {

constexpr duration limit = std::chrono::milliseconds(200);
constexpr duration patience = std::chrono::seconds(5);

// A listening socket whose queue is full, so that further connections are neither accepted nor refused.
class full_listener {
public:
    full_listener()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(bind(m_socket, reinterpret_cast<sockaddr*>(&address), length), 0);
        listen(m_socket, 0);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
        constexpr int connections = 4;
        for (int i = 0; i < connections; ++i) {
            const int caller = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Returns before it is connected; those beyond the queue never are.
            (void)connect(caller, reinterpret_cast<sockaddr*>(&address), length);
            m_callers.push_back(caller);
        }
    }
    ~full_listener()
    {
        for (const int caller : m_callers)
            close(caller);
        close(m_socket);
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    const endpoint& address() const { return m_address; }

private:
    int m_socket;
    std::vector<int> m_callers;
    endpoint m_address;
};

class ConnectionProbeTest : public testing::Test {
protected:
    std::optional<probe_result> ask(const endpoint& server)
    {
        std::optional<probe_result> answer;
        m_probe.ask(server, limit, [&](probe_result result) { answer = result; });
        m_loop.runUntil([&] { return answer.has_value(); }, patience);
        return answer;
    }

    event_loop m_loop;
    connection_probe m_probe { m_loop };
};

} // namespace

TEST_F(ConnectionProbeTest, TellsAListenerFromNoneAndFromSilence)
{
    std::optional<endpoint> gone;
    {
        const http_server server(m_loop, { "127.0.0.1", 0 }, {}, [](const auto&) {});
        EXPECT_EQ(ask(server.address()), probe_result::Accepted);
        gone = server.address();
    }
    EXPECT_EQ(ask(*gone), probe_result::Refused);
    const full_listener silent;
    EXPECT_EQ(ask(silent.address()), probe_result::Silent);
}

TEST_F(ConnectionProbeTest, ThoseWhoAskTogetherAreAllTold)
{
    const full_listener silent;
    int answers = 0;
    for (int i = 0; i < 3; ++i)
        m_probe.ask(
            silent.address(), limit, [&](probe_result result) { answers += result == probe_result::Silent ? 1 : 0; });
    EXPECT_TRUE(m_loop.runUntil([&] { return answers == 3; }, patience));
}

TEST_F(ConnectionProbeTest, AProbeThatIsNotOverEndsWithItsOwner)
{
    const full_listener silent;
    int answers = 0;
    {
        connection_probe brief(m_loop);
        brief.ask(silent.address(), limit, [&](probe_result) { ++answers; });
    }
    m_loop.runUntil([] { return false; }, limit * 2);
    EXPECT_EQ(answers, 0);
}

} // namespace pollen
