#include <gtest/gtest.h>
#include <relay/answer_end.h>
#include <relay/event_splitter.h>
#include <string>
#include <vector>

namespace pollen {

// Guards against ORDER and MIXED: an answer that has been broken off is passed on as if it were complete.
TEST(AnswerEndTest, OnlyWhatIsCompleteIsWhole)
{
    struct end_case {
        const char* what;
        answer_end end;
        bool whole;
    };
    constexpr auto framed = body_end::Framed;
    constexpr auto connection = body_end::Connection;
    constexpr auto broken = body_end::Broken;
    constexpr auto sound = stream_fault::None;
    // The fields of answer_end, in their order: body, holdsOtherAnswer, isStream, fault, events, isWithinEvent.
    const std::vector<end_case> cases {
        { "plain, framed", { framed, false, false, sound, 0, false }, true },
        { "plain, until the close", { connection, false, false, sound, 0, false }, true },
        { "plain, framed, and another", { framed, true, false, sound, 0, false }, false },
        { "plain, until the close, and another", { connection, true, false, sound, 0, false }, false },
        { "plain, broken", { broken, false, false, sound, 0, false }, false },
        { "stream, framed", { framed, false, true, sound, 3, false }, true },
        { "stream, until the close", { connection, false, true, sound, 3, false }, true },
        { "stream, broken behind an event", { broken, false, true, sound, 3, false }, false },
        { "framed within the first event", { framed, false, true, sound, 0, true }, false },
        { "until the close within the first event", { connection, false, true, sound, 0, true }, false },
        { "broken within the first event", { broken, false, true, sound, 0, true }, false },
        { "framed within a later event", { framed, false, true, sound, 3, true }, false },
        { "until the close within a later event", { connection, false, true, sound, 3, true }, false },
        { "framed without an event", { framed, false, true, sound, 0, false }, false },
        { "until the close without an event", { connection, false, true, sound, 0, false }, false },
        { "resumed, framed", { framed, false, true, sound, 2, false }, true },
        { "resumed, until the close", { connection, false, true, sound, 2, false }, true },
        { "resumed, framed within its first event", { framed, false, true, sound, 0, true }, false },
        { "resumed, framed within a later event", { framed, false, true, sound, 2, true }, false },
        { "resumed behind the last event", { framed, false, true, sound, 0, false }, false },
        { "resumed behind the last event, until the close", { connection, false, true, sound, 0, false }, false },
        { "resumed, without the event that was cut", { framed, false, true, sound, 0, false }, false },
        { "lines of others behind an event", { framed, false, true, stream_fault::ForeignLine, 3, false }, false },
        { "until the close, lines of others", { connection, false, true, stream_fault::LineEnd, 3, false }, false },
        { "resumed, broken", { broken, false, true, sound, 2, false }, false },
    };
    for (const end_case& item : cases)
        EXPECT_EQ(isWhole(item.end), item.whole) << item.what;
}

// Guards against an event that is taken for whole or for cut because of how its lines end or of what stands around it.
TEST(EventSplitterTest, TellsWhetherTheBytesEndWithinAnEvent)
{
    struct split_case {
        const char* bytes;
        size_t events;
        bool isWithinEvent;
    };
    const std::vector<split_case> cases {
        { "", 0, false },
        { "id: 1", 0, true },
        { "id: 1\n", 0, true },
        { "id: 1\r\n", 0, true },
        { "id: 1\ndata: wo", 0, true },
        { "data: wo\n", 0, true },
        { "id: 1\ndata: whole\n\n", 1, false },
        { "id: 1\r\ndata: whole\r\n\r\n", 1, false },
        { "id: 1\ndata: whole\n\n\n", 1, false },
        { "id: 1\r\ndata: whole\r\n\r\n\r\n", 1, false },
        { "id: 1\ndata: whole\n\n: comment\n", 1, false },
        { "id: 1\ndata: whole\n\n: comm", 1, true },
        { "id: 1\ndata: whole\n\nd", 1, true },
        { "id: 1\ndata: whole\n\ndata: cut\r\n", 1, true },
        { ": comment\n\n", 0, false },
        { ": comment\nid: 1\ndata: whole\n\n", 1, false },
        { "\n\nid: 1\ndata: whole\n\n", 1, false },
    };
    for (const split_case& item : cases) {
        const std::string bytes(item.bytes);
        for (const size_t step : { size_t { 1 }, size_t { 4 }, std::max(bytes.size(), size_t { 1 }) }) {
            event_splitter splitter;
            std::string passedOn;
            for (size_t at = 0; at < bytes.size(); at += step)
                passedOn += splitter.feed(std::string_view(bytes).substr(at, step));
            EXPECT_EQ(splitter.completeEvents(), item.events) << bytes << " by " << step;
            EXPECT_EQ(splitter.isWithinEvent(), item.isWithinEvent) << bytes << " by " << step;
            EXPECT_EQ(passedOn + splitter.partialEvent(), bytes) << bytes << " by " << step;
        }
    }
}

} // namespace pollen
