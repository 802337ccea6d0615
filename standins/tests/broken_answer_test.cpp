#include "relay_fixture.h"

#include <base/socket_address.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sstream>
#include <sys/socket.h>

namespace pollen {

namespace {

// Answers the first bytes of the requests that it gets with fixed bytes, one after the other, reads no further, and
// closes each connection behind them.
class byte_server {
public:
    struct reply {
        std::string bytes;
        bool reset = false;
    };

    byte_server(event_loop& loop, std::vector<reply> script)
        : m_loop(loop)
        , m_script(std::move(script))
    {
        const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument) {
            auto* self = static_cast<byte_server*>(argument);
            bufferevent* events = bufferevent_socket_new(self->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
            const auto onRead
                = [](bufferevent* readable, void* server) { static_cast<byte_server*>(server)->answer(readable); };
            bufferevent_setcb(events, onRead, nullptr, nullptr, self);
            bufferevent_enable(events, EV_READ);
        };
        socket_address address = toSocketAddress({ "127.0.0.1", 0 });
        m_listener = evconnlistener_new_bind(
            loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, 16, address.get(), static_cast<int>(address.length));
        socket_address bound;
        // Small, so that most of a long upload stays unread.
        const int receiveBufferBytes = 4096;
        ::setsockopt(evconnlistener_get_fd(m_listener), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(int));
        getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
        m_address = toEndpoint(bound);
    }
    ~byte_server() { evconnlistener_free(m_listener); }
    byte_server(const byte_server&) = delete;
    byte_server& operator=(const byte_server&) = delete;

    const endpoint& address() const { return m_address; }
    size_t requests() const { return m_requests; }

private:
    void answer(bufferevent* connection)
    {
        const reply& next = m_script[std::min(m_requests++, m_script.size() - 1)];
        const evutil_socket_t socket = bufferevent_getfd(connection);
        ::send(socket, next.bytes.data(), next.bytes.size(), MSG_NOSIGNAL);
        bufferevent_setcb(connection, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(connection, EV_READ);
        if (!next.reset)
            ::shutdown(socket, SHUT_WR);
        // A reset right behind the bytes would overtake them.
        m_timers.push_back(std::make_unique<timer>(m_loop, [connection, socket, reset = next.reset] {
            const linger now { reset ? 1 : 0, 0 };
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            bufferevent_free(connection);
        }));
        m_timers.back()->startOnce(std::chrono::milliseconds(20));
    }

    event_loop& m_loop;
    std::vector<reply> m_script;
    evconnlistener* m_listener = nullptr;
    endpoint m_address;
    size_t m_requests = 0;
    std::vector<std::unique_ptr<timer>> m_timers;
};

const std::string head = "HTTP/1.1 200 OK\r\nPollenroute-Request-Id: id-1\r\nPollenroute-Response-Seal: seal\r\n";
const std::string serverError = "HTTP/1.1 500 Internal Server Error\r\nPollenroute-Request-Id: id-1\r\n"
                                "Content-Length: 20\r\n\r\nid: 7\ndata: broken\n\n";

const std::string unframedError = "HTTP/1.1 500 Internal Server Error\r\nPollenroute-Request-Id: id-1\r\n\r\nno";

// Without a length, so that the answer ends with its connection.
std::string unframed(const std::string& body) { return head + "\r\n" + body; }
std::string framed(const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string chunk(const std::string& body)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return head + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body + "\r\n";
}

// Within the limit of a request, and more than the socket buffers of a connection hold.
constexpr size_t uploadBytes = 4U << 20;

struct told_answer {
    bool complete = false;
    int status = 0;
    std::string body;

    friend bool operator==(const told_answer&, const told_answer&) = default;
};

class BrokenAnswerTest : public testing::Test {
protected:
    // Sends a request to a daemon whose only server has this script.
    told_answer send(const char* target, const std::vector<byte_server::reply>& script,
        const http_headers& headers = {}, const std::string& upload = "")
    {
        store_standin store(m_loop, { "127.0.0.1", 0 });
        byte_server server(m_loop, script);
        store.put("keyed.op", "config", configuration(1));
        for (const char* id : { "i-1", "i-2", "i-3" }) {
            store.put("keyed.servers", id, serverEntry("advice", server.address()));
            store.put("keyed.servers", std::string("d") + id, serverEntry("desk", server.address()));
        }
        fleet_daemon daemon(m_loop, m_log, m_time, store, "d1", "a");
        EXPECT_TRUE(m_loop.runUntil([&] { return daemon.relay().gateway().ready(); }, patience));
        http_request message { upload.empty() ? "GET" : "POST", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-1" }, { "Pollenroute-Deadline-Ms", "1500" },
                { "Pollenroute-Key", "key" } },
            upload };
        message.headers.insert(message.headers.end(), headers.begin(), headers.end());
        std::optional<told_answer> told;
        m_caller.fetch(daemon.address(), message, {}, [&](const exchange_result& result, const http_response& reply) {
            told = told_answer { result.ok(), reply.status, reply.body };
            m_wasUnframed = result.endedWithConnection;
        });
        EXPECT_TRUE(m_loop.runUntil([&] { return told.has_value(); }, patience));
        m_attempts = server.requests();
        return told.value_or(told_answer {});
    }

    struct stream_case {
        std::string what;
        std::vector<byte_server::reply> script;
        told_answer expected;
        http_headers headers {};
    };
    // The router's own errors are compared by their status.
    void expectTold(const std::vector<stream_case>& cases)
    {
        for (const stream_case& item : cases) {
            told_answer told = send("/s/x", item.script, item.headers);
            if (told.status != 200)
                told.body.clear();
            EXPECT_EQ(told, item.expected)
                << item.what << ": " << told.complete << ' ' << told.status << ' ' << told.body;
        }
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    http_client m_caller { m_loop };
    // Nothing but the close of its connection marked the end of the last answer.
    bool m_wasUnframed = false;
    // Requests that the server got for the last one of the caller.
    size_t m_attempts = 0;
};

} // namespace

// Guards against ORDER and MIXED: a stream that broke off within an event ended as if it were complete, or was followed
// by the next server's error.
TEST_F(BrokenAnswerTest, AStreamEndsOnlyWithItsLastEvent)
{
    const std::string begin = event(1) + event(2).substr(0, 9);
    const std::string rest = event(2) + event(3);
    const std::string whole = event(1) + rest;
    const std::string json = head + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    const std::vector<stream_case> cases {
        { "whole, with its connection", { { unframed(whole) } }, { true, 200, whole } },
        { "cut, with its connection", { { unframed(begin) }, { framed(rest) } }, { true, 200, whole } },
        { "cut, with a length", { { framed(begin) }, { framed(rest) } }, { true, 200, whole } },
        { "cut, and an error next", { { unframed(begin) }, { serverError } }, { false, 200, event(1) } },
        { "reset, and an error next", { { chunk(event(1)), true }, { serverError } }, { false, 200, event(1) } },
        { "cut, and half of a head next", { { unframed(begin) }, { head.substr(0, 40) } }, { false, 200, event(1) } },
        { "cut, and a head alone next", { { unframed(begin) }, { unframed("") } }, { false, 200, event(1) } },
        { "cut, and no stream next", { { unframed(begin) }, { unframed("out of order") } }, { false, 200, event(1) } },
        { "cut, and an empty answer next", { { framed(begin) }, { framed("") } }, { false, 200, event(1) } },
        { "cut, and a cut event next", { { framed(begin) }, { framed(event(2).substr(0, 5)) } },
            { false, 200, event(1) } },
        { "reset behind the last event", { { chunk(whole), true }, { framed("") } }, { false, 200, whole } },
        { "lines behind the last event", { { framed(whole + "\n: end\n") } }, { true, 200, whole + "\n: end\n" } },
        { "no stream, by its type", { { json } }, { true, 502, "" } },
        { "cut, and no stream by its type next", { { framed(begin) }, { json } }, { false, 200, event(1) } },
        { "a head alone", { { unframed("") } }, { true, 502, "" } },
        { "half of a head", { { head.substr(0, 40) } }, { true, 502, "" } },
    };
    expectTold(cases);
}

// Guards against ORDER and MIXED: an answer whose end only the close of the server's connection marked reached its
// caller with a last chunk or a length, which told that it was complete.
TEST_F(BrokenAnswerTest, AnEndThatTheServerDidNotFrameIsNotFramed)
{
    const std::string rest = event(2) + event(3);
    const std::string whole = event(1) + rest;
    const byte_server::reply cut { chunk(event(1)), true };
    struct end_case {
        const char* what;
        const char* target;
        std::vector<byte_server::reply> script;
        told_answer expected;
        bool isUnframed;
    };
    const std::vector<end_case> cases {
        { "whole", "/s/x", { { unframed(whole) } }, { true, 200, whole }, true },
        { "cut behind an event", "/s/x", { { unframed(event(1)) } }, { true, 200, event(1) }, true },
        { "a length", "/s/x", { { framed(whole) } }, { true, 200, whole }, false },
        { "chunks", "/s/x", { { chunk(whole) + "0\r\n\r\n" } }, { true, 200, whole }, false },
        { "cut within an event, then a length", "/s/x", { { unframed(event(1) + "id: 2\n") }, { framed(rest) } },
            { true, 200, whole }, true },
        { "reset, then a length", "/s/x", { { unframed(event(1)), true }, { framed(rest) } }, { true, 200, whole },
            true },
        { "chunks, then no framing", "/s/x", { cut, { unframed(rest) } }, { false, 200, whole }, false },
        { "chunks, then no framing, then an error", "/s/x", { cut, { unframed(rest) }, { serverError } },
            { false, 200, whole }, false },
        { "plain, an error", "/o/x", { { unframedError } }, { true, 500, "no" }, true },
        { "plain", "/r/x", { { unframed("done") } }, { true, 200, "done" }, true },
        { "plain, runs once", "/o/x", { { unframed("done") } }, { true, 200, "done" }, true },
        { "plain, a length", "/o/x", { { framed("done") } }, { true, 200, "done" }, false },
    };
    for (const end_case& item : cases) {
        const told_answer told = send(item.target, item.script);
        EXPECT_EQ(told, item.expected) << item.what << ": " << told.complete << ' ' << told.status << ' ' << told.body;
        EXPECT_EQ(m_wasUnframed, item.isUnframed) << item.what;
    }
}

// Guards against ORDER: a stream broken off by the daemon ended with an orderly close, as one does that is complete and
// has no framing.
TEST_F(BrokenAnswerTest, AnUnframedStreamThatBreaksOffIsReset)
{
    const std::string cut = unframed(event(1) + "id: 2\n");
    EXPECT_EQ(send("/s/x", { { cut }, { serverError } }), (told_answer { false, 200, event(1) }));
    EXPECT_EQ(send("/s/x", { { unframed(event(1)), true }, { serverError } }), (told_answer { false, 200, event(1) }));
}

// Guards against a status below 100 that was waited on until the deadline, and against one above 599 that was passed
// on.
TEST_F(BrokenAnswerTest, AStatusOutsideTheClassesIsAFailureOfTheServer)
{
    for (const char* status : { "000", "099", "600", "999", "99", "1000" }) {
        const byte_server::reply invalid { replaced(framed("no"), "200", status) };
        EXPECT_EQ(send("/r/x", { invalid, { framed("done") } }), (told_answer { true, 200, "done" })) << status;
        EXPECT_EQ(m_attempts, 2U) << status;
        const told_answer once = send("/o/x", { invalid, { framed("done") } });
        EXPECT_EQ(once.status, 502) << status;
        EXPECT_NE(once.body, "no") << status;
        EXPECT_EQ(m_attempts, 1U) << status;
    }
}

// Guards against a part of a body that was passed on as a whole response: the server answered while the request was
// still being written, without a length, and closed or reset its connection.
TEST_F(BrokenAnswerTest, AnUnframedAnswerToAnUnwrittenRequestIsNotComplete)
{
    const std::string upload(uploadBytes, 'x');
    for (const bool reset : { false, true }) {
        const byte_server::reply early { unframed("part"), reset };
        EXPECT_EQ(send("/r/x", { early, { framed("done") } }, {}, upload), (told_answer { true, 200, "done" }))
            << reset;
        EXPECT_EQ(m_attempts, 2U) << reset;
        const told_answer once = send("/o/x", { early, { framed("done") } }, {}, upload);
        EXPECT_EQ(once.status, 502) << reset << once.body;
        EXPECT_EQ(m_attempts, 1U) << reset;
    }
}

// Guards against an early refusal of a server that is lost, because the rest of the request cannot be written.
TEST_F(BrokenAnswerTest, AFramedAnswerToAnUnwrittenRequestIsPassedOn)
{
    const std::string upload(uploadBytes, 'x');
    for (const bool reset : { false, true }) {
        for (const char* target : { "/r/x", "/o/x" }) {
            for (const int status : { 200, 401, 413 }) {
                const byte_server::reply early { replaced(framed("full"), "200", std::to_string(status)), reset };
                EXPECT_EQ(send(target, { early }, {}, upload), (told_answer { true, status, "full" }))
                    << target << ' ' << status << ' ' << reset;
                EXPECT_EQ(m_attempts, 1U) << target << ' ' << status << ' ' << reset;
            }
        }
    }
}

// Guards against ORDER: a stream that broke off within its first event was passed on as a whole body without events,
// although a length or a last chunk says nothing of the event.
TEST_F(BrokenAnswerTest, AStreamThatBreaksOffWithinItsFirstEventIsRunAgain)
{
    const std::string whole = event(1) + event(2);
    const std::string lastChunk = "0\r\n\r\n";
    for (const char* begin : { "id: 1", "id: 1\n", "id: 1\ndata: wo", "id: 1\r\ndata: wo\r\n", "data: wo" }) {
        for (const std::string& broken : { framed(begin), chunk(begin) + lastChunk, unframed(begin) }) {
            EXPECT_EQ(send("/s/x", { { broken }, { framed(whole) } }), (told_answer { true, 200, whole })) << broken;
            EXPECT_EQ(send("/s/x", { { broken } }).status, 502) << broken;
        }
    }
}

// Guards against ORDER: a stream that broke off was told as complete, as bytes that belong to no request ended its last
// event or were taken for events: a second answer, or lines that are no fields of an event.
TEST_F(BrokenAnswerTest, BytesOfOthersAreNoPartOfAStream)
{
    const std::string cut = event(1) + event(2).substr(0, 9);
    const std::string rest = event(2) + event(3);
    const std::string whole = event(1) + rest;
    const std::string second = framed(whole);
    const std::string bareHead = "HTTP/1.1 200 OK\r\n\r\n";
    std::vector<stream_case> cases {
        { "whole, and nothing is left", { { unframed(whole + second) }, { framed(event(4)) } },
            { true, 200, whole + event(4) } },
        { "every answer is followed by a second one", { { unframed(cut + second) } }, { false, 200, event(1) } },
        { "cut in the first event", { { unframed(event(1).substr(0, 9) + second) } }, { true, 502, "" } },
    };
    for (const std::string& foreign :
        { second, bareHead + whole, std::string("out of order\n\n"), std::string("Error: x\n\n"),
            std::string("\x01\x02\x7f\n\n"), chunk(whole), std::string("<html>\r\n\r\n") }) {
        for (const std::string& begin :
            { event(1), event(1) + "id: 2", event(1) + "id: 2\n", cut, event(1) + "id: 2\ndata: 2\n" }) {
            cases.push_back({ foreign, { { unframed(begin + foreign) }, { framed(rest) } }, { true, 200, whole } });
            cases.push_back({ foreign, { { framed(begin + foreign) }, { framed(rest) } }, { true, 200, whole } });
        }
    }
    expectTold(cases);
}

// Guards against ORDER: pieces that were missing, came twice or belonged to another run were told as one whole stream.
TEST_F(BrokenAnswerTest, AStreamGoesOnBehindTheLastEventOnly)
{
    const std::string whole = event(1) + event(2) + event(3);
    const byte_server::reply cut { chunk(event(1)), true };
    const http_headers behindThree { { "Last-Event-Id", "3" } };
    const told_answer broken { false, 200, event(1) };
    const std::string weighed = "pollenroute-weight-versions: 2\nid: 2\nevent: text\ndata: 2\ndata: 2\n\n";
    expectTold({
        { "from the first event again", { cut, { framed(whole) } }, broken },
        { "too late", { cut, { framed(event(3)) } }, broken },
        { "too late, until the close", { cut, { unframed(event(3)) } }, broken },
        { "and next as it should", { cut, { framed(event(3)) }, { framed(event(2) + event(3)) } },
            { true, 200, whole } },
        { "with an event that the caller has",
            { { chunk(event(1) + event(2)), true }, { framed(event(2) + event(3)) } },
            { false, 200, event(1) + event(2) } },
        { "ids fall", { { framed(event(1) + event(2) + event(1)) } }, { false, 200, event(1) + event(2) } },
        { "an id comes twice", { { framed(event(1) + event(1)) } }, broken },
        { "an event is left out", { { framed(event(1) + event(3)) } }, broken },
        { "the first event is left out", { { framed(event(2) + event(3)) } }, { true, 502, "" } },
        { "no ids", { { framed("data: 1\n\ndata: 2\n\n") } }, { true, 502, "" } },
        { "no ids, cut", { { chunk("data: 1\n\n"), true }, { framed("data: 1\n\ndata: 2\n\n") } }, { true, 502, "" } },
        { "an event without an id", { { framed(event(1) + "data: 2\n\n") } }, broken },
        { "an id that is no number", { { framed(event(1) + "id: 2x\ndata: 2\n\n") } }, broken },
        { "two ids of one event", { { framed(event(1) + "id: 2\nid: 1\ndata: 2\n\n") } }, broken },
        { "an event without data", { { framed(event(1) + "id: 2\n\n") } }, broken },
        { "the caller resumes", { { framed(event(4) + event(5)) } }, { true, 200, event(4) + event(5) }, behindThree },
        { "the caller resumes, too late", { { framed(event(5)) } }, { true, 502, "" }, behindThree },
        { "the caller resumes, from the first event", { { framed(whole + event(4)) } }, { true, 502, "" },
            behindThree },
        { "the caller resumes, and it is cut", { { chunk(event(4)), true }, { framed(event(5)) } },
            { true, 200, event(4) + event(5) }, behindThree },
        { "other fields", { { framed("retry: 9\n\n: hi\n" + event(1) + weighed) } },
            { true, 200, "retry: 9\n\n: hi\n" + event(1) + weighed } },
    });
}

// Guards against ORDER: an answer that holds nothing of a stream was told as the whole of it, or as its end.
TEST_F(BrokenAnswerTest, OnlyEventsCompleteAStream)
{
    const std::string whole = event(1) + event(2);
    const std::string json = head + "Content-Type: application/json\r\n";
    const std::string stream = head + "Content-Type: text/event-stream; charset=utf-8\r\nContent-Length: ";
    expectTold({
        { "another type", { { json + "Content-Length: 2\r\n\r\n{}" } }, { true, 502, "" } },
        { "another type, cut", { { json + "\r\n{" } }, { true, 502, "" } },
        { "another type, and a stream next", { { json + "\r\n{" }, { framed(whole) } }, { true, 200, whole } },
        { "its type", { { stream + std::to_string(whole.size()) + "\r\n\r\n" + whole } }, { true, 200, whole } },
        { "empty behind the last event", { { chunk(whole), true }, { framed("") } }, { false, 200, whole } },
        { "the caller resumes, and it is empty", { { framed("") } }, { true, 502, "" }, { { "Last-Event-Id", "3" } } },
    });
}

// Guards against MIXED: a second answer on the connection was taken for the rest of a plain answer.
TEST_F(BrokenAnswerTest, ASecondAnswerIsNoPartOfAPlainOne)
{
    const std::string second = framed("done");
    const std::string page = "see HTTP/1.1 of 1997";
    for (const std::string& begin : { std::string("done"), std::string("do"), std::string("do\r\n") }) {
        for (const std::string& mixed : { unframed(begin + second), framed(begin + second),
                 chunk(begin + second) + "0\r\n\r\n", unframed(begin + second.substr(0, second.size() - 6)) }) {
            EXPECT_EQ(send("/r/x", { { mixed }, { framed("done") } }), (told_answer { true, 200, "done" })) << mixed;
            EXPECT_EQ(send("/o/x", { { mixed } }).status, 502) << mixed;
        }
    }
    EXPECT_EQ(send("/o/x", { { framed(page) } }), (told_answer { true, 200, page }));
}

// Guards against MIXED: a success without the server's signature, or with a coded body, was passed on as the server's.
TEST_F(BrokenAnswerTest, ASuccessThatIsNotTheServersIsNotPassedOn)
{
    const std::string unsignedHead = "HTTP/1.1 200 OK\r\nPollenroute-Request-Id: id-1\r\n";
    const std::string whole = event(1) + event(2);
    for (const std::string& foreign : { unsignedHead + "Content-Length: 4\r\n\r\ndone",
             unsignedHead + "\r\n" + event(1), head + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\ndone" }) {
        EXPECT_EQ(send("/r/x", { { foreign }, { framed("done") } }), (told_answer { true, 200, "done" })) << foreign;
        EXPECT_EQ(send("/o/x", { { foreign } }).status, 502) << foreign;
        EXPECT_EQ(send("/s/x", { { foreign }, { framed(whole) } }), (told_answer { true, 200, whole })) << foreign;
    }
    EXPECT_EQ(send("/r/x", { { head + "Content-Encoding: identity\r\nContent-Length: 4\r\n\r\ndone" } }).status, 200);
}

// Guards against MIXED: a server stops within the head of its answer and closes, and the caller gets a 200.
TEST_F(BrokenAnswerTest, AnAnswerThatIsCutIsNeverASuccess)
{
    const std::string whole = framed("done");
    for (size_t length = 0; length < whole.size(); length += 3) {
        for (const bool reset : { false, true }) {
            const told_answer told = send("/o/x", { { whole.substr(0, length), reset } });
            EXPECT_EQ(told.status, 502) << length << ' ' << reset;
        }
    }
}

} // namespace pollen
