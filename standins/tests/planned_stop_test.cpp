#include "daemon_process.h"
#include "relay_fixture.h"

#include <filesystem>

namespace pollen {

namespace {

struct told_answer {
    exchange_result result;
    int status = 0;
    std::string retryAfter;
    std::string body;
};

// One daemon as a process, with orders that may last 9 s and a grace of 4 s, before a server that answers at once, late
// or not at all.
class PlannedStopTest : public testing::Test {
protected:
    PlannedStopTest()
        : m_directory(std::filesystem::temp_directory_path() / ("pollen-planned-stop-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_directory);
        m_store.put("keyed.op", "config",
            replaced(
                configuration(1), "\"non_idempotent\",\"timeout-ms\":2000", "\"non_idempotent\",\"timeout-ms\":9000"));
        m_store.put("keyed.servers", "d-1", serverEntry("desk", m_server.address()));
        m_daemon
            = std::make_unique<daemon_process>("a1", "a", loopbackAddress(21), m_store.address(), m_directory.string());
        m_daemon->start();
    }
    void TearDown() override
    {
        m_daemon.reset();
        std::filesystem::remove_all(m_directory);
    }

    void SetUp() override
    {
        ASSERT_TRUE(m_loop.runUntil(
            [&] {
                send("probe", 300);
                m_loop.runUntil([&] { return m_told.contains("probe"); }, std::chrono::seconds(1));
                return m_told.erase("probe") > 0 && m_lastStatus == 200;
            },
            patience));
    }

    // Sends an order that its caller awaits for so long.
    void send(const std::string& id, int milliseconds)
    {
        const http_request message { "GET", "/o/" + id,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id },
                { "Pollenroute-Deadline-Ms", std::to_string(milliseconds) }, { "Pollenroute-Key", "key" } },
            "" };
        m_client.fetch(
            m_daemon->callers(), message, {}, [this, id](const exchange_result& result, const http_response& reply) {
                m_lastStatus = reply.status;
                m_told[id]
                    = { result, reply.status, std::string(findHeader(reply.headers, "Retry-After")), reply.body };
            });
    }

    void runFor(duration span)
    {
        m_loop.runUntil([] { return false; }, span);
    }

    bool hasRun(const std::string& id) const
    {
        return std::any_of(m_server.requests().begin(), m_server.requests().end(),
            [&](const http_request& request) { return request.target == "/o/" + id; });
    }

    void expectRefused(const std::string& id)
    {
        EXPECT_EQ(m_told[id].status, 503) << id;
        EXPECT_FALSE(m_told[id].retryAfter.empty()) << id;
        EXPECT_FALSE(hasRun(id)) << id;
    }

    // Takes its time for requests whose target says so, and does not answer others at all.
    static void serve(const std::shared_ptr<server_request>& request)
    {
        const std::string& target = request->request().target;
        if (!target.starts_with("/o/slow"))
            request->reply(200, answerHeaders(*request), "done");
    }

    event_loop m_loop;
    http_client m_client { m_loop };
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    backend_standin m_server { m_loop, { serve } };
    std::filesystem::path m_directory;
    std::unique_ptr<daemon_process> m_daemon;
    std::map<std::string, told_answer> m_told;
    int m_lastStatus = 0;
};

} // namespace

// Guards against LOST: requests that came late in a planned stop were passed on whatever time they needed, and cut
// without an answer at its end. Requests may not be repeated here.
TEST_F(PlannedStopTest, WhatCannotSurelyEndIsRefusedAndWhatIsTakenIsAnswered)
{
    send("slow-before", 9000);
    ASSERT_TRUE(m_loop.runUntil([&] { return hasRun("slow-before"); }, patience));
    m_daemon->signal(SIGTERM);
    runFor(std::chrono::milliseconds(300));
    for (const char* id : { "late-1", "late-2" }) {
        send(id, 9000);
        ASSERT_TRUE(m_loop.runUntil([&] { return m_told.contains(id); }, std::chrono::seconds(1))) << "refused at once";
        expectRefused(id);
        send(std::string("short-") + id, 1000);
        ASSERT_TRUE(m_loop.runUntil([&] { return m_told.contains(std::string("short-") + id); }, patience));
        EXPECT_EQ(m_told[std::string("short-") + id].status, 200);
        runFor(std::chrono::milliseconds(700));
    }
    EXPECT_FALSE(m_told.contains("slow-before")) << "it has as much time as there is";
    EXPECT_TRUE(m_loop.runUntil([&] { return !m_daemon->isRunning(); }, patience));
    runFor(std::chrono::milliseconds(50));
    ASSERT_TRUE(m_told.contains("slow-before"));
    EXPECT_TRUE(m_told["slow-before"].result.ok()) << "the connection ends without an answer";
    EXPECT_EQ(m_told["slow-before"].status, 502) << "it may have run";
    EXPECT_EQ(m_daemon->endedBySignal(), 0);
}

// Guards against a closed connection for a request that still waits for a server when the daemon ends.
TEST_F(PlannedStopTest, WhatStillWaitsAtTheEndIsRefused)
{
    m_server.stopListening();
    m_store.put("keyed.servers", "d-2", serverEntry("desk", { "127.0.0.1", 1 }));
    runFor(std::chrono::milliseconds(300));
    for (int i = 0; i < 4; ++i)
        send("slow-" + std::to_string(i), 9000);
    runFor(std::chrono::milliseconds(100));
    m_daemon->signal(SIGTERM);
    EXPECT_TRUE(m_loop.runUntil([&] { return !m_daemon->isRunning(); }, patience));
    runFor(std::chrono::milliseconds(50));
    for (int i = 0; i < 4; ++i) {
        const told_answer& told = m_told["slow-" + std::to_string(i)];
        EXPECT_TRUE(told.result.ok()) << "the connection ends without an answer";
        EXPECT_TRUE(told.status == 503 || told.status == 502) << told.status;
    }
}

} // namespace pollen
