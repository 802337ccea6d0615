#include <gtest/gtest.h>
#include <http/http_server.h>
#include <platform/http_instance_directory.h>
#include <platform/http_rating_service.h>
#include <platform/http_record_log.h>
#include <platform/log_follower.h>
#include <platform/memory_record_log.h>

namespace pollen {

namespace {

constexpr duration patience = std::chrono::seconds(10);

// A server that gives one fixed answer, or closes the connection when the status is 0.
class PlatformTest : public testing::Test {
protected:
    const endpoint& answer(int status, const std::string& body, const http_headers& headers = {})
    {
        m_server = std::make_unique<http_server>(m_loop, endpoint { "127.0.0.1", 0 }, http_server_limits {},
            [=, this](const std::shared_ptr<server_request>& request) {
                m_lastRequest = request->request();
                if (status == 0)
                    request->abort();
                else
                    request->reply(status, headers, body);
            });
        return m_server->address();
    }

    append_result append(const endpoint& server)
    {
        http_record_log log(m_client, server);
        std::optional<append_result> answer;
        log.append("bills", { "a", "b" }, [&](const append_result& result) { answer = result; });
        EXPECT_TRUE(m_loop.runUntil([&] { return answer.has_value(); }, patience));
        return answer.value_or(append_result {});
    }

    read_result read(const endpoint& server)
    {
        http_record_log log(m_client, server);
        std::optional<read_result> answer;
        log.read("bills", 7, duration(0), [&](const read_result& result) { answer = result; });
        EXPECT_TRUE(m_loop.runUntil([&] { return answer.has_value(); }, patience));
        return answer.value_or(read_result {});
    }

    directory_answer list(http_instance_directory& directory)
    {
        std::optional<directory_answer> answer;
        directory.list([&](const directory_answer& given) { answer = given; });
        EXPECT_TRUE(m_loop.runUntil([&] { return answer.has_value(); }, patience));
        return answer.value_or(directory_answer {});
    }

    directory_answer list(const endpoint& server)
    {
        http_instance_directory directory(m_client, server);
        return list(directory);
    }

    event_loop m_loop;
    http_client m_client { m_loop };
    std::unique_ptr<http_server> m_server;
    http_request m_lastRequest;
};

} // namespace

TEST_F(PlatformTest, AppendTellsWhatCertainlyHappened)
{
    struct row {
        int status;
        const char* body;
        http_headers headers;
        append_outcome outcome;
    };
    const std::vector<row> rows {
        { 200, R"({"first_offset":12})", {}, append_outcome::Appended },
        { 200, R"({"first_offset":-1})", {}, append_outcome::Unknown },
        { 200, R"({})", {}, append_outcome::Unknown },
        { 200, "not json", {}, append_outcome::Unknown },
        { 429, "", {}, append_outcome::NotAppended },
        { 503, "", { { "X-Run", "not_run" } }, append_outcome::NotAppended },
        { 503, "", {}, append_outcome::Unknown },
        { 0, "", {}, append_outcome::Unknown },
    };
    for (const row& row : rows)
        EXPECT_EQ(append(answer(row.status, row.body, row.headers)).outcome, row.outcome) << row.status << row.body;
    EXPECT_EQ(append(answer(200, R"({"first_offset":12})")).firstOffset, 12U);
    EXPECT_EQ(m_lastRequest.target, "/streams/bills");
    EXPECT_EQ(m_lastRequest.body, R"({"records":["a","b"]})");
    // The client has no kept connection to this address, so that it must connect, and cannot.
    const endpoint closed = answer(200, "");
    m_server.reset();
    EXPECT_EQ(append(closed).outcome, append_outcome::NotAppended);
}

TEST_F(PlatformTest, ReadsOnlyWholeAnswers)
{
    const read_result good = read(
        answer(200, R"({"records":[{"offset":7,"time_ms":5,"value":"x"}],"oldest":3,"now_ms":9,"retention_ms":100})"));
    EXPECT_TRUE(good.ok);
    EXPECT_EQ(good.records, (std::vector<log_record> { { 7, 5, "x" } }));
    EXPECT_EQ(good.oldest, 3U);
    EXPECT_EQ(m_lastRequest.target, "/streams/bills?from=7&wait_ms=0");
    for (const char* body : { "", "[]", "{}", R"({"records":7,"oldest":1,"now_ms":1,"retention_ms":1})",
             R"({"records":[{}],"oldest":1,"now_ms":1,"retention_ms":1})" })
        EXPECT_FALSE(read(answer(200, body)).ok) << body;
    EXPECT_FALSE(read(answer(503, "")).ok);
    EXPECT_FALSE(read(answer(0, "")).ok);
}

TEST_F(PlatformTest, ListsInstancesOrNothing)
{
    const auto good = list(answer(200, R"({"instances":[
        {"id":"e","role":"engine","failure_domain":"a","address":"127.0.0.1:1","state":"live","versions":["m/v1"]},
        {"id":"s","role":"service","failure_domain":"a","address":"127.0.0.1:2","state":"leaving","service":"orders"},
        {"id":"r","role":"router","failure_domain":"a","address":"127.0.0.1:3","state":"live"},
        {"id":"x","role":"something new"}]})"));
    EXPECT_EQ(good.state, directory_state::Changed);
    ASSERT_EQ(good.instances.size(), 3U);
    EXPECT_EQ(good.instances[0].versions[0].text(), "m/v1");
    EXPECT_TRUE(good.instances[1].leaving);
    EXPECT_EQ(good.instances[2].role, instance_role::Router);
    for (const char* body : { "", "{}", R"({"instances":[{"id":"e"}]})",
             R"({"instances":[{"id":"e","role":"engine","failure_domain":"a","address":"nowhere","state":"live"}]})" })
        EXPECT_EQ(list(answer(200, body)).state, directory_state::Unavailable) << body;
    EXPECT_EQ(list(answer(500, "")).state, directory_state::Unavailable);
}

TEST_F(PlatformTest, AnUnchangedListIsNotSentAgain)
{
    http_instance_directory directory(m_client, answer(200, R"({"instances":[]})", { { "ETag", "\"7\"" } }));
    EXPECT_EQ(list(directory).state, directory_state::Changed);
    EXPECT_EQ(findHeader(m_lastRequest.headers, "If-None-Match"), "");
    EXPECT_EQ(list(directory).state, directory_state::Changed);
    EXPECT_EQ(findHeader(m_lastRequest.headers, "If-None-Match"), "\"7\"");
    EXPECT_EQ(list(answer(304, "")).state, directory_state::Unchanged);
}

TEST_F(PlatformTest, ReadsRatingsOrNothing)
{
    const auto read = [&](const std::string& body) {
        http_rating_service service(m_client, answer(200, body));
        std::optional<std::optional<std::vector<rating>>> result;
        service.ratings(4, [&](const auto& ratings) { result = ratings; });
        EXPECT_TRUE(m_loop.runUntil([&] { return result.has_value(); }, patience));
        return result.value_or(std::nullopt);
    };
    const auto good = read(R"({"ratings":[{"number":4,"version":"m/v1","class":"quick","rating":0.5}]})");
    ASSERT_TRUE(good);
    EXPECT_EQ((*good)[0], (rating { 4, parseVersionRef("m/v1"), class_name("quick"), 0.5 }));
    EXPECT_EQ(m_lastRequest.target, "/ratings?from=4");
    for (const char* body : { "", "{}", R"({"ratings":[{}]})",
             R"({"ratings":[{"number":4,"version":"m/v1","class":"quick","rating":7}]})" })
        EXPECT_FALSE(read(body)) << body;
}

namespace {

// A log whose answers the test gives one by one.
class scripted_log final : public record_log {
public:
    void append(const std::string&, std::vector<std::string>, append_callback) override { }
    void read(const std::string&, log_offset from, duration, read_callback callback) override
    {
        reads.push_back(from);
        pending = std::move(callback);
    }
    void answer(const read_result& result) { std::exchange(pending, nullptr)(result); }

    std::vector<log_offset> reads;
    read_callback pending;
};

} // namespace

TEST(LogFollower, HandsOverEachRecordOnceAndReportsGaps)
{
    event_loop loop;
    scripted_log log;
    random_source random(1);
    const os_clock clock;
    std::vector<log_offset> seen;
    std::vector<log_offset> gaps;
    log_follower follower(loop, log, "s", random, clock,
        { [&](const log_record& record) { seen.push_back(record.offset); },
            [&](log_offset oldest) { gaps.push_back(oldest); } });
    follower.start();
    log.answer({ true, { { 1, 0, "a" }, { 2, 0, "b" } }, 1, 0, 0 });
    EXPECT_FALSE(follower.caughtUp());
    log.answer({ true, { { 2, 0, "b" } }, 1, 0, 0 });
    log.answer({ true, {}, 1, 50, 100 });
    EXPECT_TRUE(follower.caughtUp());
    EXPECT_EQ(follower.retentionMilliseconds(), 100);
    log.answer({});
    EXPECT_FALSE(log.pending) << "a failure is followed by a pause";
    EXPECT_TRUE(loop.runUntil([&] { return log.pending != nullptr; }, patience));
    log.answer({ true, { { 9, 0, "z" } }, 9, 0, 0 });
    EXPECT_EQ(seen, (std::vector<log_offset> { 1, 2, 9 }));
    EXPECT_EQ(gaps, (std::vector<log_offset> { 9 }));
    EXPECT_EQ(log.reads, (std::vector<log_offset> { 1, 3, 3, 3, 3, 10 }));
}

TEST(MemoryRecordLog, KeepsTheNewestAndWakesReaders)
{
    event_loop loop;
    const manual_clock clock;
    memory_record_log log(loop, clock, 2);
    read_result woken;
    log.read("s", 1, std::chrono::seconds(1), [&](const read_result& result) { woken = result; });
    log.append("s", { "a", "b", "c" }, [](const append_result&) {});
    EXPECT_TRUE(loop.runUntil([&] { return woken.ok; }, patience));
    EXPECT_EQ(woken.oldest, 2U);
    ASSERT_EQ(woken.records.size(), 2U);
    EXPECT_EQ(woken.records[1].value, "c");
}

// Guards against a write that is taken for undone: its first transmission was lost behind the server's read, and the
// refusal of the second one was taken for both.
TEST_F(PlatformTest, ARefusalOfARepeatSaysNothingOfTheFirstTransmission)
{
    int requests = 0;
    http_server server(m_loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) {
        ++requests;
        if (requests == 1)
            request->reply(200, {}, R"({"first_offset":12})");
        else if (requests == 2)
            request->abort();
        else
            request->reply(429, {}, "");
    });
    EXPECT_EQ(append(server.address()).outcome, append_outcome::Appended);
    EXPECT_EQ(append(server.address()).outcome, append_outcome::Unknown);
    EXPECT_EQ(requests, 3);
}

} // namespace pollen
