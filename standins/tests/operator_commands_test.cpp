#include "command_result.h"

#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <standins/log_standin.h>
#include <thread>

namespace pollen {

namespace {

const std::string tausi = EXAMPLES "/tausi/fleet.toml";

// A log on a thread of its own, as the commands wait for its answers.
class running_log {
public:
    running_log()
        : m_thread([this] { serve(); })
    {
        while (!m_ready)
            std::this_thread::yield();
    }
    ~running_log()
    {
        m_stop = true;
        m_thread.join();
    }
    running_log(const running_log&) = delete;
    running_log& operator=(const running_log&) = delete;

    const endpoint& address() const { return m_address; }

    // Takes effect before it returns.
    void set(const std::string& name, int64_t value)
    {
        m_setting = { name, value };
        m_change = true;
        while (m_change)
            std::this_thread::yield();
    }

private:
    void serve()
    {
        event_loop loop;
        log_standin log(loop, { "127.0.0.1", 0 });
        m_address = log.address();
        m_ready = true;
        while (!m_stop) {
            loop.runUntil([&] { return m_stop || m_change; }, std::chrono::milliseconds(5));
            if (m_change)
                log.set(m_setting.first, m_setting.second);
            m_change = false;
        }
    }

    endpoint m_address;
    std::pair<std::string, int64_t> m_setting;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_change = false;
    std::thread m_thread;
};

class OperatorCommandsTest : public testing::Test {
protected:
    ctl_arguments arguments(std::vector<std::string> operands)
    {
        ctl_arguments result;
        result.log = m_log.address();
        result.author = "tester";
        result.reason = "because";
        result.operands = std::move(operands);
        return result;
    }

    command_result publish(const std::string& file, std::optional<uint64_t> base, const std::string& reason = "because")
    {
        ctl_arguments given = arguments({ file });
        given.base = base;
        given.reason = reason;
        return runCommand("publish", given);
    }

    running_log m_log;
};

} // namespace

TEST_F(OperatorCommandsTest, PublishesShowsAndKeepsAHistory)
{
    EXPECT_EQ(runCommand("show", arguments({})).code, ctl_exit::Refused);
    EXPECT_EQ(publish(tausi, {}).code, ctl_exit::Ok);
    const command_result shown = runCommand("show", arguments({}));
    EXPECT_TRUE(shown.output.starts_with("# base version: 1\n"));
    const std::string edited = testing::TempDir() + "edited.toml";
    std::ofstream(edited) << shown.output;
    EXPECT_EQ(runCommand("diff", arguments({ edited })).output, "");
    EXPECT_EQ(publish(edited, {}).code, ctl_exit::Ok) << "the first line says what it was made from";
    EXPECT_EQ(publish(edited, {}, "another change").code, ctl_exit::Refused) << "that version is no longer in force";
    EXPECT_NE(runCommand("history", arguments({})).output.find("stale_base"), std::string::npos);
}

TEST_F(OperatorCommandsTest, OfRacingPublicationsExactlyOneIsAccepted)
{
    for (int round = 0; round < 5; ++round) {
        const uint64_t base = nlohmann::json::parse([&] {
            ctl_arguments given = arguments({});
            given.json = true;
            const command_result shown = runCommand("show", given);
            return shown.output.empty() ? std::string(R"({"version":0})") : shown.output;
        }())["version"];
        std::vector<command_result> results(4);
        std::vector<std::thread> operators;
        for (size_t i = 0; i < results.size(); ++i)
            operators.emplace_back([&, i] { results[i] = publish(tausi, base, "operator " + std::to_string(i)); });
        for (std::thread& thread : operators)
            thread.join();
        size_t accepted = 0;
        for (const command_result& result : results) {
            accepted += result.code == ctl_exit::Ok ? 1 : 0;
            EXPECT_TRUE(result.code == ctl_exit::Ok || result.problem.find("stale_base") != std::string::npos)
                << result.problem;
        }
        EXPECT_EQ(accepted, 1U);
    }
}

TEST_F(OperatorCommandsTest, ALostAnswerIsNoLostPublication)
{
    m_log.set("lose_answers", 1);
    EXPECT_EQ(publish(tausi, 0).code, ctl_exit::Ok);
    EXPECT_EQ(publish(tausi, 0).code, ctl_exit::Ok) << "the same command again is harmless";
    EXPECT_TRUE(runCommand("show", arguments({})).output.starts_with("# base version: 1\n"));
}

TEST_F(OperatorCommandsTest, AnOutageIsSaidToBeOne)
{
    m_log.set("outage", 1);
    EXPECT_EQ(publish(tausi, 0).code, ctl_exit::Unreachable);
    EXPECT_EQ(runCommand("show", arguments({})).code, ctl_exit::Unreachable);
    m_log.set("outage", 0);
    EXPECT_EQ(publish(tausi, 0).code, ctl_exit::Ok);
}

TEST_F(OperatorCommandsTest, WithdrawnStaysWithdrawn)
{
    publish(tausi, 0);
    EXPECT_EQ(runCommand("withdraw", arguments({ "clerk/v2" })).code, ctl_exit::Ok);
    EXPECT_NE(runCommand("withdraw", arguments({ "clerk/v2" })).output.find("already"), std::string::npos);
    EXPECT_NE(publish(tausi, 2).problem.find("reinstates_withdrawn"), std::string::npos);
    ctl_arguments rollout = arguments({ "clerk/v2" });
    rollout.sharePercent = 50;
    EXPECT_EQ(runCommand("rollout", rollout).code, ctl_exit::Refused);
    ctl_arguments reinstating = arguments({ tausi });
    reinstating.base = 2;
    reinstating.reinstate = { parseVersionRef("clerk/v2") };
    EXPECT_EQ(runCommand("publish", reinstating).code, ctl_exit::Ok);
    EXPECT_EQ(runCommand("rollout", rollout).code, ctl_exit::Ok);
    EXPECT_NE(runCommand("show", arguments({})).output.find("rollout_share = 0.5"), std::string::npos);
}

TEST_F(OperatorCommandsTest, WrongUseIsToldApart)
{
    const std::string broken = testing::TempDir() + "broken.toml";
    std::ofstream(broken) << "[fleet]\nname = \"x\"\n";
    EXPECT_EQ(runCommand("check", arguments({ broken })).code, ctl_exit::BadInput);
    EXPECT_NE(runCommand("check", arguments({ broken })).problem.find("broken.toml:1: fleet.currency: missing_key"),
        std::string::npos);
    EXPECT_EQ(runCommand("check", arguments({ "/no/such/file" })).code, ctl_exit::BadInput);
    EXPECT_EQ(publish(broken, 0).code, ctl_exit::BadInput);
    EXPECT_EQ(publish(tausi, 0, " ").code, ctl_exit::Usage);
    EXPECT_EQ(runCommand("withdraw", arguments({ "clerk" })).code, ctl_exit::Usage);
    EXPECT_EQ(runCommand("withdraw", arguments({ "none/v1" })).code, ctl_exit::Refused);
    EXPECT_EQ(runCommand("rollout", arguments({ "clerk/v2" })).code, ctl_exit::Usage);
    EXPECT_EQ(runCommand("status", arguments({})).code, ctl_exit::Usage);
    publish(tausi, 0);
    EXPECT_EQ(publish(tausi, {}, "no base").code, ctl_exit::Usage);
    ctl_arguments noLog = arguments({});
    noLog.log.reset();
    EXPECT_EQ(runCommand("show", noLog).code, ctl_exit::Usage);
}

} // namespace pollen
