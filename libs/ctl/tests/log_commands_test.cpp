#include "command_result.h"

namespace pollen {

namespace {

// Two daemons; text before the brace is a collector's.
const char* logText = R"(  0.1 d1 {"time_ms":1000,"source":"d1","event":"started"}
{"time_ms":2000,"source":"d1","event":"server_entry","server":"i-1","state":"removed"}
{"time_ms":2000,"source":"d1","event":"server_entry","server":"i-9","state":"removed"}
{"time_ms":2500,"source":"d2","event":"store_lost","topic":"keyed.op"}
{"time_ms":2600,"source":"d1","event":"request_ended","request":"r1","outcome":"refused","reason":"timed_out","ms":600,"history":"0ms i-1 wait 1ms: timed_out at 600ms"}
{"time_ms":2700,"source":"d2","event":"request_ended","request":"r2","outcome":"answered","reason":"","ms":6}
not a line of a log
{"time_ms":2800,"source":"d2","event":"request_ended","request":"r3","outcome":"caller_gone","reason":"","ms":6}
{broken
)";

command_result run(const std::string& name, const std::string& log, std::vector<std::string> operands = {})
{
    ctl_arguments arguments;
    arguments.operands = std::move(operands);
    return runCommand(name, arguments, log);
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

TEST(LogCommands, ExplainsAFailedRequestWithWhatItsDaemonHadLearned)
{
    const command_result result = run("explain-log", logText, { "r1" });
    EXPECT_EQ(result.code, ctl_exit::Ok);
    EXPECT_TRUE(contains(result.output, "cause: the server had not finished at the caller's deadline"));
    EXPECT_TRUE(contains(result.output, "attempts: 0ms i-1 wait 1ms: timed_out at 600ms"));
    EXPECT_TRUE(contains(result.output, "server=i-1 state=removed"));
    EXPECT_FALSE(contains(result.output, "i-9")) << "a server that was not tried";
    EXPECT_FALSE(contains(result.output, "store_lost")) << "another daemon's line";
    EXPECT_TRUE(contains(result.output, "1 lines could not be read"));
}

TEST(LogCommands, SaysThatAServedRequestWasServedAndThatAnUnknownOneIsNotThere)
{
    EXPECT_TRUE(contains(run("explain-log", logText, { "r2" }).output, "cause: it was served"));
    const command_result missing = run("explain-log", logText, { "r7" });
    EXPECT_EQ(missing.code, ctl_exit::Refused);
    EXPECT_TRUE(contains(missing.problem, "no line about request r7"));
}

TEST(LogCommands, CountsCausesAndFailsWhereOneIsMissing)
{
    const command_result all = run("causes", logText);
    EXPECT_EQ(all.code, ctl_exit::Ok);
    EXPECT_TRUE(contains(all.output, "2 explained, 0 not")) << all.output;
    const command_result unknown = run("causes",
        R"({"time_ms":1,"source":"d","event":"request_ended","outcome":"refused","reason":"no such reason"})");
    EXPECT_EQ(unknown.code, ctl_exit::Refused);
    EXPECT_TRUE(contains(unknown.output, "0 explained, 1 not")) << unknown.output;
}

TEST(LogCommands, TheTimelineJoinsWhatDaemonsSayInASecond)
{
    const command_result result = run("timeline", logText);
    EXPECT_TRUE(contains(result.output, "00:00:02  server_entry: 2 from 1 daemons")) << result.output;
    EXPECT_TRUE(contains(result.output, "00:00:02  request_ended refused timed_out: 1 from 1 daemons"));
    EXPECT_FALSE(contains(result.output, "answered"));
}

} // namespace pollen
