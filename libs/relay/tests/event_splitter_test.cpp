#include <ctime>
#include <gtest/gtest.h>
#include <relay/event_splitter.h>

namespace pollen {

namespace {

std::string feedInSteps(event_splitter& splitter, std::string_view bytes, size_t step)
{
    std::string passedOn;
    for (size_t at = 0; at < bytes.size(); at += step)
        passedOn += splitter.feed(bytes.substr(at, step));
    return passedOn;
}

std::string withLineEnds(std::string_view text, const std::string& end)
{
    std::string result;
    for (const char character : text)
        result += character == '\n' ? end : std::string(1, character);
    return result;
}

} // namespace

// Guards against a search of the whole partial event for each piece of it: an event without end, byte by byte, kept the
// loop from all other callers. The bound is far above the time for looking at each byte once, and far below that for a
// search from the start of the event.
TEST(EventSplitterWorkTest, GrowsWithTheBytesOnly)
{
    constexpr size_t eventBytes = 256U << 10;
    constexpr double maximumSeconds = 2;
    for (const std::string repeated : { "x\n", "x\r\n", "data: x\n", "x", ":\n", "\r" }) {
        for (const std::string begin : { "data: x\n", "id: 1\ndata: whole\n\ndata: x\n" }) {
            event_splitter splitter;
            splitter.feed(begin);
            const std::clock_t start = std::clock();
            for (size_t bytes = 0; bytes < eventBytes; bytes += repeated.size())
                feedInSteps(splitter, repeated, 1);
            const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
            EXPECT_LE(seconds, maximumSeconds) << begin << repeated;
        }
    }
}

// Guards against ORDER: a stream that was cut between the CR and the LF that end its last event was told as complete.
TEST(EventSplitterTest, AnEventIsCompleteWithItsLastByteOnly)
{
    for (const std::string end : { "\n", "\r\n", "\r" }) {
        const std::string first = withLineEnds("id: 1\nevent: text\ndata: a\n\n", end);
        const std::string stream = first + withLineEnds("data: b\nid: 2\n\n", end);
        for (size_t length = 0; length <= stream.size(); ++length) {
            event_splitter splitter;
            const std::string events = feedInSteps(splitter, stream.substr(0, length), 3);
            const bool isWhole = length == 0 || length == first.size() || length == stream.size();
            EXPECT_EQ(splitter.isWithinEvent(), !isWhole) << length << " of " << stream;
            EXPECT_EQ(events.size(), length < first.size() ? 0 : length < stream.size() ? first.size() : length);
        }
    }
}

// Guards against ORDER: the blank line of another writer ended an event whose own lines end otherwise.
TEST(EventSplitterTest, LineEndsOfTwoKindsAreAFault)
{
    for (const char* mixed : { "id: 1\r\ndata: 1\r\r", "id: 1\rdata: 1\r\n\r\n", "id: 1\r\ndata: 1\rx",
             "id: 1\ndata: 1\r\n\r\n", "id: 1\r\ndata: 1\n\n" }) {
        event_splitter splitter;
        const std::string bytes = std::string(mixed) + "x";
        EXPECT_EQ(feedInSteps(splitter, bytes, 1), "") << bytes;
        EXPECT_EQ(splitter.fault(), stream_fault::LineEnd) << bytes;
    }
}

// Guards against a stream that is split differently by the pieces in which it arrives, and bytes that are lost or
// moved.
TEST(EventSplitterTest, SplitsAtTheSameEventsForAllLineEnds)
{
    for (const std::string end : { "\n", "\r\n", "\r" }) {
        const std::string first = withLineEnds(": hello\nid: 7\ndata: a\n\n", end);
        const std::string second = withLineEnds("data: b\nid: 8\n\n", end);
        const std::string cut = withLineEnds("id: 9\ndata: c", end);
        const std::string third = withLineEnds("data: c\nid: 9\n\n", end);
        std::string stream = first;
        stream.append(second).append(cut);
        for (size_t step = 1; step <= stream.size(); ++step) {
            event_splitter splitter({}, 6);
            EXPECT_EQ(feedInSteps(splitter, stream, step), first + second) << step;
            EXPECT_EQ(splitter.partialEvent(), cut) << step;
            EXPECT_EQ(splitter.completeEvents(), 2U) << step;
            EXPECT_EQ(splitter.lastEventId(), 8U) << step;
            EXPECT_TRUE(splitter.isWithinEvent()) << step;
            splitter.endRun();
            EXPECT_FALSE(splitter.isWithinEvent()) << step;
            EXPECT_EQ(feedInSteps(splitter, third, step), third) << step;
        }
    }
}

} // namespace pollen
