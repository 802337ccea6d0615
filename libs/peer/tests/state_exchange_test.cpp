#include <gtest/gtest.h>
#include <peer/state_frame.h>
#include <peer/tcp_state_exchange.h>

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

} // namespace pollen
