#include "command_result.h"

#include <cstdio>
#include <fstream>

namespace pollen {

namespace {

std::string line(const std::string& history, const std::string& firstByte, const std::string& more = "")
{
    return R"({"event":"request_ended","outcome":"answered","attempts":1,"events":4,"version":"v1","first_byte_ms":)"
        + firstByte + R"(,"history":")" + history + "\"" + more + "}\n";
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

const std::string threeStreams = line("0ms i-1 small wait 20ms: answered at 90ms", "30") + "  0.1 d1 "
    + line("3ms i-2 wait 120ms: answered at 900ms", "300")
    + line("0ms i-3 large wait 1500ms: answered at 9000ms", "2000", R"(,"version":"v2")");

} // namespace

TEST(EstimatesCommand, ComparesStreamsThatWereAnsweredAtOnceByVersion)
{
    const command_result result = runCommand("estimates", {}, threeStreams);
    EXPECT_EQ(result.code, ctl_exit::Ok);
    EXPECT_TRUE(contains(result.output, "all: 3 pairs, rank correlation 1.000\n")) << result.output;
    EXPECT_TRUE(contains(result.output, "version v1: 2 pairs, rank correlation not defined")) << result.output;
    EXPECT_TRUE(contains(result.output, "version v2: 1 pairs")) << result.output;
    EXPECT_TRUE(contains(result.output, "     100-200           1         300         300\n")) << result.output;
    EXPECT_TRUE(contains(result.output, "       1000+           1        2000        2000\n")) << result.output;
}

// Guards against a line that ends the command, or that is dropped without being counted.
TEST(EstimatesCommand, CountsTheLinesThatItSkips)
{
    const std::string good = "0ms i-1 wait 20ms: answered at 90ms";
    const std::string unreadable = "no log line\n\n{broken\n[1]\n{}\n{\"event\":7}\n{\"event\":\"request_ended\"}\n"
        + line("", "30") + line("0ms wait 20ms", "30") + line("0ms i-1 wait -5ms", "30")
        + line("0ms i-1 wait 99999999999999999999ms", "30") + line(good, "-1") + line(good, "\"30\"")
        + line(good, "null") + line(good, "30", ",\"version\":7");
    const std::string otherEvents = "{\"event\":\"started\"}\n";
    const std::string otherRequests = line(good, "30", ",\"attempts\":2") + line(good, "30", ",\"events\":0")
        + line(good, "30", ",\"outcome\":\"refused\"");
    const std::string skipped = "skipped: 15 lines that could not be read, 1 of other events, 3 of other requests\n";
    const command_result result = runCommand("estimates", {}, unreadable + otherEvents + otherRequests + threeStreams);
    EXPECT_EQ(result.code, ctl_exit::Ok);
    EXPECT_TRUE(contains(result.output, skipped)) << result.output;
    EXPECT_TRUE(contains(result.output, "all: 3 pairs")) << result.output;
    const command_result none = runCommand("estimates", {}, unreadable + otherEvents + otherRequests);
    EXPECT_EQ(none.code, ctl_exit::Refused);
    EXPECT_EQ(none.output, skipped);
}

TEST(EstimatesCommand, ReadsFiles)
{
    const std::string path = testing::TempDir() + "estimates_command_test.log";
    std::ofstream(path) << threeStreams;
    ctl_arguments arguments;
    arguments.operands = { path, path };
    EXPECT_TRUE(contains(runCommand("estimates", arguments).output, "all: 6 pairs"));
    std::remove(path.c_str());
    const command_result missing = runCommand("estimates", arguments);
    EXPECT_EQ(missing.code, ctl_exit::BadInput);
    EXPECT_EQ(missing.problem, path + " cannot be read");
    arguments.operands = { testing::TempDir() };
    EXPECT_EQ(runCommand("estimates", arguments).problem, testing::TempDir() + " cannot be read");
}

} // namespace pollen
