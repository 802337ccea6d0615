#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <peer/state_frame.h>
#include <peer/tcp_state_exchange.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr const char* secret = "secret";
constexpr duration timeout = std::chrono::seconds(10);

class StateExchangeTest : public testing::Test {
protected:
    std::unique_ptr<tcp_state_exchange> make(const char* peerSecret = secret)
    {
        return std::make_unique<tcp_state_exchange>(m_loop, endpoint { "127.0.0.1", 0 }, peerSecret, m_logger);
    }

    std::optional<std::string> fetch(tcp_state_exchange& client, const endpoint& from)
    {
        std::optional<std::optional<std::string>> answer;
        client.fetch(from, "ask", [&](const std::optional<std::string>& state) { answer = state; });
        EXPECT_FALSE(answer) << "called back from inside fetch()";
        EXPECT_TRUE(m_loop.runUntil([&] { return answer.has_value(); }, timeout));
        return answer.value_or(std::nullopt);
    }

    event_loop m_loop;
    null_logger m_logger;
};

// A peer that writes to a connection whatever it likes.
class hostile_peer {
public:
    explicit hostile_peer(const endpoint& daemon)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(daemon.port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }
    ~hostile_peer() { ::close(m_socket); }
    hostile_peer(const hostile_peer&) = delete;
    hostile_peer& operator=(const hostile_peer&) = delete;

    // Bytes that the daemon's side has accepted.
    size_t sentBytes() const { return m_sent; }
    bool failed() const { return m_failed; }

    void send(std::string_view bytes)
    {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        m_failed = m_failed || (sent < 0 && errno != EAGAIN);
        m_sent += sent > 0 ? static_cast<size_t>(sent) : 0;
    }

private:
    int m_socket;
    size_t m_sent = 0;
    bool m_failed = false;
};

} // namespace

TEST(StateFrame, RoundTripsInPiecesOfAnySize)
{
    for (const state_frame& frame :
        { state_frame { true, "" }, state_frame { false, "" }, state_frame { false, std::string(100000, 'x') } }) {
        const std::string bytes = encodeStateFrame(frame, secret);
        for (const size_t piece : { size_t { 1 }, size_t { 7 }, size_t { 5000 }, bytes.size() }) {
            std::string received;
            std::optional<state_frame> taken;
            for (size_t at = 0; at < bytes.size() && !taken; at += piece) {
                received += bytes.substr(at, piece);
                taken = extractStateFrame(received, secret);
            }
            EXPECT_EQ(taken, frame);
            EXPECT_TRUE(received.empty());
        }
    }
}

TEST(StateFrame, RejectsModifiedOrOversizedFrames)
{
    const std::string bytes = encodeStateFrame({ false, "state" }, secret);
    size_t refused = 0;
    for (size_t i = 0; i < bytes.size(); ++i) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        try {
            // A modified length may also make the frame look incomplete.
            EXPECT_FALSE(extractStateFrame(changed, secret));
        } catch (const datagram_error&) {
            ++refused;
        }
    }
    EXPECT_GT(refused, bytes.size() - 8);
    std::string huge = bytes;
    huge.replace(1, 4, "\xff\xff\xff\xff", 4);
    EXPECT_THROW(extractStateFrame(huge, secret), datagram_error);
    std::string other = bytes;
    EXPECT_THROW(extractStateFrame(other, "other"), datagram_error);
    EXPECT_THROW(encodeStateFrame({ false, std::string(maximumStateBytes, 'x') }, secret), datagram_error);
}

TEST_F(StateExchangeTest, FetchesTheStateOfAPeer)
{
    const auto client = make();
    const auto server = make();
    EXPECT_EQ(fetch(*client, server->address()), std::nullopt) << "a peer without a state";
    std::string state(1 << 20, 's');
    std::string receivedRequest;
    server->setSource([&](const std::string& request) {
        receivedRequest = request;
        return state;
    });
    EXPECT_EQ(fetch(*client, server->address()), state);
    EXPECT_EQ(receivedRequest, "ask");
}

TEST_F(StateExchangeTest, ReportsNoStateFromAnUnauthenticatedOrAbsentPeer)
{
    const auto client = make();
    auto stranger = make("another secret");
    stranger->setSource([](const std::string&) { return std::string("lies"); });
    const endpoint address = stranger->address();
    EXPECT_EQ(fetch(*client, address), std::nullopt);
    stranger.reset();
    EXPECT_EQ(fetch(*client, address), std::nullopt);
}

// Guards against a peer that holds memory: bytes after a request were kept for as long as some came, and many
// unfinished frames of the largest size were kept side by side.
TEST_F(StateExchangeTest, BytesOfPeersAreBounded)
{
    // The bound for the frames of all peers, and what the sockets themselves hold.
    constexpr size_t maximumBytes = 48U << 20;
    constexpr size_t peers = 32;
    const std::string request = encodeStateFrame({ true, "ask" }, secret);
    const std::string unfinished = encodeStateFrame({ true, std::string(maximumStateBytes - 100, 'x') }, secret);
    const std::string filler(256U << 10, 'x');
    struct given {
        const char* what;
        std::string start;
    };
    for (const auto& [what, start] : { given { "bytes after a request", request },
             given { "the length and the tag of a large frame", unfinished.substr(0, 69) } }) {
        const auto daemon = make();
        std::vector<std::unique_ptr<hostile_peer>> hostile;
        for (size_t i = 0; i < peers; ++i) {
            hostile.push_back(std::make_unique<hostile_peer>(daemon->address()));
            hostile.back()->send(start);
        }
        timer flood(m_loop, [&] {
            for (const auto& peer : hostile)
                peer->send(filler);
        });
        flood.startRepeating(std::chrono::milliseconds(5));
        const auto allRefused = [&] {
            return std::all_of(hostile.begin(), hostile.end(), [](const auto& peer) { return peer->failed(); });
        };
        EXPECT_TRUE(m_loop.runUntil(allRefused, timeout)) << what;
        size_t sent = 0;
        for (const auto& peer : hostile)
            sent += peer->sentBytes();
        EXPECT_LE(sent, maximumBytes) << what;
    }
}

// Guards against a peer that keeps a connection for good by a byte now and then.
TEST_F(StateExchangeTest, APeerGainsNoTimeBySingleBytes)
{
    const auto daemon = make();
    hostile_peer peer(daemon->address());
    const std::string frame = encodeStateFrame({ true, std::string(100000, 'x') }, secret);
    size_t at = 0;
    timer drip(m_loop, [&] { peer.send(std::string_view(frame).substr(at++, 1)); });
    drip.startRepeating(std::chrono::milliseconds(50));
    EXPECT_TRUE(m_loop.runUntil([&] { return peer.failed(); }, timeout));
}

} // namespace pollen
