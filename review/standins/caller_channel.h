#pragma once

#include <base/endpoint.h>
#include <functional>
#include <http/event_loop.h>
#include <http/http_message.h>
#include <string>

struct bufferevent;

namespace pollen {

// What a caller was told of one request.
struct told_answer {
    // 0 if the channel ended before the head of an answer.
    int status = 0;
    http_headers headers;
    std::string body;
    bool complete = false;
    // The channel had carried an earlier request.
    bool onKeptChannel = false;
};

// A caller that keeps one channel to a daemon and sends one request at a time. Opens a new channel when the last one
// has ended.
class caller_channel {
public:
    using callback = std::function<void(const told_answer&)>;

    caller_channel(event_loop& loop, endpoint daemon);
    ~caller_channel();
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;

    void send(const http_request& request, callback onAnswer);
    // Leaves: closes the channel. No callback follows.
    void close();
    bool isBusy() const { return m_onAnswer != nullptr; }

private:
    void open();
    void read();
    // Reads the head once it is whole; false before.
    bool readHead();
    // Whether the body is whole.
    bool readBody();
    void finish(bool complete);

    event_loop& m_loop;
    endpoint m_daemon;
    bufferevent* m_channel = nullptr;
    bool m_isKept = false;
    std::string m_received;
    bool m_hasHead = false;
    told_answer m_answer;
    callback m_onAnswer;
};

} // namespace pollen
