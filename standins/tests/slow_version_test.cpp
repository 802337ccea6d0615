#include "relay_fixture.h"

namespace pollen {

namespace {

constexpr int eventsPerStream = 12;
constexpr duration usualInterval = std::chrono::milliseconds(10);
constexpr const char* orderText = R"({"service":"advice","target":"v2","duration-s":4})";

// Streams that begin at once and then send an event in each interval.
class paced_engine {
public:
    paced_engine(event_loop& loop, duration interval)
        : m_backend(loop, { [this](const std::shared_ptr<server_request>& request) { begin(request); } })
        , m_ticker(loop, [this] { sendEvents(); })
    {
        m_ticker.startRepeating(interval);
    }

    const backend_standin& backend() const { return m_backend; }

private:
    struct open_stream {
        std::shared_ptr<server_request> request;
        int events = 0;
    };

    void begin(const std::shared_ptr<server_request>& request)
    {
        request->startStream(200, answerHeaders(*request));
        request->sendPart(event(1));
        m_streams.push_back({ request, 1 });
    }

    void sendEvents()
    {
        for (open_stream& stream : m_streams) {
            stream.request->sendPart(event(++stream.events));
            if (stream.events == eventsPerStream)
                stream.request->endStream();
        }
        std::erase_if(m_streams, [](const open_stream& stream) { return stream.events == eventsPerStream; });
    }

    std::vector<open_stream> m_streams;
    backend_standin m_backend;
    timer m_ticker;
};

// A daemon before engines of an old and a new version, and callers that send a stream request of its own prompt every
// 15 ms.
class SlowVersionTest : public testing::Test {
protected:
    // The state that the roll-out ends in.
    std::string rollOut(duration newInterval)
    {
        paced_engine oldEngine(m_loop, usualInterval);
        paced_engine newEngine(m_loop, newInterval);
        m_store.put("keyed.op", "config", configuration(1));
        m_store.put("keyed.servers", "i-1", serverEntry("advice", oldEngine.backend().address()));
        m_store.put("keyed.servers", "i-2", serverEntry("advice", newEngine.backend().address(), "ready", "v2"));
        m_store.put("keyed.op", "rollout/advice", orderText);
        fleet_daemon daemon(m_loop, m_log, m_time, m_store, "d1", "a");
        EXPECT_TRUE(m_loop.runUntil([&] { return daemon.relay().gateway().ready(); }, patience));
        timer caller(m_loop, [&] { sendStream(daemon.address()); });
        caller.startRepeating(std::chrono::milliseconds(15));
        EXPECT_TRUE(
            m_loop.runUntil([&] { return m_store.newest("keyed.status", "rollout/advice").has_value(); }, patience));
        return m_store.newest("keyed.status", "rollout/advice").value_or("");
    }

private:
    void sendStream(const endpoint& daemon)
    {
        const std::string id = std::to_string(++m_sent);
        const http_request message { "POST", "/s/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + id }, { "Pollenroute-Deadline-Ms", "3000" },
                { "Pollenroute-Key", "key" }, { "Pollenroute-Model", "*" }, { "Pollenroute-Token-Counts", "20,40" },
                { "Pollenroute-Prompt-Prefix", id + ":20" } },
            "" };
        m_caller.fetch(daemon, message, {}, [](const exchange_result&, const http_response&) {});
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    http_client m_caller { m_loop };
    int m_sent = 0;
};

} // namespace

// Guards against EXPOSURE: a version whose streams begin in time and then run at half the pace was completed and kept.
TEST_F(SlowVersionTest, AVersionWhoseStreamsRunSlowlyIsRolledBack)
{
    EXPECT_NE(rollOut(2 * usualInterval).find("rolled_back"), std::string::npos);
}

TEST_F(SlowVersionTest, AVersionWithTheUsualPaceIsCompleted)
{
    EXPECT_NE(rollOut(usualInterval).find("complete"), std::string::npos);
}

} // namespace pollen
