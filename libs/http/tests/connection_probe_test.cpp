#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <http/connection_probe.h>
#include <http/http_server.h>
#include <optional>

namespace pollen {

namespace {

constexpr duration probeTimeout = std::chrono::milliseconds(200);
constexpr duration testTimeout = std::chrono::seconds(5);

// A listening socket whose accept queue is full, so that further connections are neither accepted nor refused.
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
            // Non-blocking; connections beyond the accept queue are never established.
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
    std::optional<probe_result> runProbe(const endpoint& server)
    {
        std::optional<probe_result> outcome;
        m_probe.startProbe(server, probeTimeout, [&](probe_result result) { outcome = result; });
        m_loop.runUntil([&] { return outcome.has_value(); }, testTimeout);
        return outcome;
    }

    event_loop m_loop;
    connection_probe m_probe { m_loop };
};

} // namespace

TEST_F(ConnectionProbeTest, DistinguishesAcceptedRefusedAndUnreachable)
{
    std::optional<endpoint> closedAddress;
    {
        const http_server server(m_loop, { "127.0.0.1", 0 }, {}, [](const auto&) {});
        EXPECT_EQ(runProbe(server.address()), probe_result::Accepted);
        closedAddress = server.address();
    }
    EXPECT_EQ(runProbe(*closedAddress), probe_result::Refused);
    const full_listener unresponsive;
    EXPECT_EQ(runProbe(unresponsive.address()), probe_result::Unreachable);
}

TEST_F(ConnectionProbeTest, ConcurrentProbesOfOneAddressAllGetTheResult)
{
    const full_listener unresponsive;
    int callbackCount = 0;
    for (int i = 0; i < 3; ++i)
        m_probe.startProbe(unresponsive.address(), probeTimeout,
            [&](probe_result result) { callbackCount += result == probe_result::Unreachable ? 1 : 0; });
    EXPECT_TRUE(m_loop.runUntil([&] { return callbackCount == 3; }, testTimeout));
}

TEST_F(ConnectionProbeTest, DestroyingTheOwnerCancelsPendingProbes)
{
    const full_listener unresponsive;
    int callbackCount = 0;
    {
        connection_probe shortLived(m_loop);
        shortLived.startProbe(unresponsive.address(), probeTimeout, [&](probe_result) { ++callbackCount; });
    }
    m_loop.runUntil([] { return false; }, probeTimeout * 2);
    EXPECT_EQ(callbackCount, 0);
}

} // namespace pollen
