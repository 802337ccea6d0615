#include <array>
#include <base/json_logger.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace pollen {

namespace {

class JsonLoggerTest : public testing::Test {
protected:
    void SetUp() override { ASSERT_EQ(pipe(m_pipeEnds.data()), 0); }
    void TearDown() override
    {
        close(m_pipeEnds[0]);
        close(m_pipeEnds[1]);
    }

    std::array<int, 2> m_pipeEnds {};
    manual_clock m_clock;
};

} // namespace

TEST_F(JsonLoggerTest, WritesOneJsonObjectForEachEvent)
{
    json_logger log(m_pipeEnds[1], log_level::Info, "daemon-1", m_clock);
    log.write(log_level::Debug, "hidden", {});
    log.write(log_level::Warning, "refused", { { "team", "a\"b\n" }, { "count", 3 }, { "kept", true } });
    std::array<char, 1024> buffer {};
    const ssize_t length = read(m_pipeEnds[0], buffer.data(), buffer.size());
    ASSERT_GT(length, 0);
    const std::string line(buffer.data(), static_cast<size_t>(length));
    EXPECT_EQ(line.find('\n'), line.size() - 1);
    const auto json = nlohmann::json::parse(line);
    EXPECT_EQ(json["event"], "refused");
    EXPECT_EQ(json["level"], "warning");
    EXPECT_EQ(json["team"], "a\"b\n");
    EXPECT_EQ(json["count"], 3);
    EXPECT_EQ(json["kept"], true);
}

TEST_F(JsonLoggerTest, DropsLinesInsteadOfWaitingForAStalledReader)
{
    json_logger log(m_pipeEnds[1], log_level::Info, "daemon-1", m_clock);
    // More than 1 MB, far more than the buffer of a pipe holds; nobody reads it, so a blocking write would never
    // return.
    constexpr int lineCount = 5000;
    for (int i = 0; i < lineCount; ++i)
        log.write(log_level::Info, "filler", { { "text", std::string(200, 'x') } });
    EXPECT_GT(log.droppedLines(), 0U);
    EXPECT_LT(log.droppedLines(), static_cast<uint64_t>(lineCount));
}

} // namespace pollen
