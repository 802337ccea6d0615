#include <gtest/gtest.h>
#include <peer/exchange_channels.h>

namespace pollen {

namespace {

// Answers each request with its own source, as if the daemon were its own peer.
class loopback_exchange final : public state_exchange {
public:
    void fetch(const endpoint&, const std::string& request, state_callback callback) override
    {
        sent = request;
        callback(m_source(request));
    }
    void setSource(state_source source) override { m_source = std::move(source); }

    std::string sent;

private:
    state_source m_source;
};

} // namespace

TEST(ExchangeChannelsTest, EachChannelAnswersItsOwnRequests)
{
    loopback_exchange exchange;
    exchange_channels channels(exchange);
    state_exchange& plain = channels.open("");
    state_exchange& tagged = channels.open("tag:");
    plain.setSource([](const std::string& request) { return "plain " + request; });
    tagged.setSource([](const std::string& request) { return "tagged " + request; });
    std::optional<std::string> reply;
    const auto record = [&](const std::optional<std::string>& bytes) { reply = bytes; };
    plain.fetch({}, "a", record);
    EXPECT_EQ(reply, "plain a");
    EXPECT_EQ(exchange.sent, "a") << "daemons without channels understand it";
    tagged.fetch({}, "a", record);
    EXPECT_EQ(reply, "tagged a");
    channels.open("mute:").fetch({}, "a", record);
    EXPECT_EQ(reply, "plain mute:a") << "no source for this prefix";
}

} // namespace pollen
