#include "caller_channel.h"

#include <base/socket_address.h>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace pollen {

namespace {

const std::string lineEnd = "\r\n";

} // namespace

caller_channel::caller_channel(event_loop& loop, endpoint daemon)
    : m_loop(loop)
    , m_daemon(std::move(daemon))
{
}

caller_channel::~caller_channel() { close(); }

void caller_channel::open()
{
    m_isKept = false;
    m_received.clear();
    m_channel = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead = [](bufferevent*, void* self) { static_cast<caller_channel*>(self)->read(); };
    const auto onEvent = [](bufferevent*, short what, void* self) {
        if (!(what & BEV_EVENT_CONNECTED))
            static_cast<caller_channel*>(self)->finish(false);
    };
    bufferevent_setcb(m_channel, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_channel, EV_READ | EV_WRITE);
    socket_address address = toSocketAddress(m_daemon);
    bufferevent_socket_connect(m_channel, address.get(), static_cast<int>(address.length));
}

void caller_channel::send(const http_request& request, callback onAnswer)
{
    if (!m_channel)
        open();
    m_answer = {};
    m_answer.onKeptChannel = m_isKept;
    m_hasHead = false;
    m_onAnswer = std::move(onAnswer);
    std::string text = request.method + " " + request.target + " HTTP/1.1" + lineEnd;
    for (const auto& [name, value] : request.headers)
        text.append(name).append(": ").append(value).append(lineEnd);
    if (!request.body.empty())
        text += "Content-Length: " + std::to_string(request.body.size()) + lineEnd;
    text += lineEnd + request.body;
    bufferevent_write(m_channel, text.data(), text.size());
}

void caller_channel::close()
{
    m_onAnswer = nullptr;
    if (!m_channel)
        return;
    bufferevent* channel = std::exchange(m_channel, nullptr);
    bufferevent_setcb(channel, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(channel, EV_READ | EV_WRITE);
    // This may run inside one of its callbacks.
    m_loop.post([channel] { bufferevent_free(channel); });
}

void caller_channel::read()
{
    evbuffer* input = bufferevent_get_input(m_channel);
    const size_t length = evbuffer_get_length(input);
    const size_t before = m_received.size();
    m_received.resize(before + length);
    evbuffer_remove(input, m_received.data() + before, length);
    if (!m_hasHead && !readHead())
        return;
    if (readBody())
        finish(true);
}

bool caller_channel::readHead()
{
    const size_t end = m_received.find(lineEnd + lineEnd);
    if (end == std::string::npos)
        return false;
    const size_t statusAt = m_received.find(' ');
    m_answer.status = std::atoi(m_received.c_str() + statusAt + 1);
    size_t line = m_received.find(lineEnd) + lineEnd.size();
    while (line < end) {
        const size_t next = m_received.find(lineEnd, line);
        const size_t colon = m_received.find(':', line);
        m_answer.headers.emplace_back(
            m_received.substr(line, colon - line), m_received.substr(colon + 2, next - colon - 2));
        line = next + lineEnd.size();
    }
    m_received.erase(0, end + 2 * lineEnd.size());
    m_hasHead = true;
    return true;
}

bool caller_channel::readBody()
{
    const std::string length(findHeader(m_answer.headers, "Content-Length"));
    if (!length.empty()) {
        const size_t bytes = std::strtoul(length.c_str(), nullptr, 10);
        m_answer.body = m_received.substr(0, bytes);
        return m_received.size() >= bytes;
    }
    constexpr int hexadecimal = 16;
    while (true) {
        const size_t end = m_received.find(lineEnd);
        if (end == std::string::npos)
            return false;
        const size_t bytes = std::strtoul(m_received.c_str(), nullptr, hexadecimal);
        const size_t start = end + lineEnd.size();
        if (m_received.size() < start + bytes + lineEnd.size())
            return false;
        m_answer.body += m_received.substr(start, bytes);
        m_received.erase(0, start + bytes + lineEnd.size());
        if (bytes == 0)
            return true;
    }
}

void caller_channel::finish(bool complete)
{
    m_answer.complete = complete;
    const callback onAnswer = std::exchange(m_onAnswer, nullptr);
    const bool isClosing = findHeader(m_answer.headers, "Connection") == "close";
    if (!complete || isClosing)
        close();
    m_received.clear();
    m_isKept = true;
    if (onAnswer)
        onAnswer(std::exchange(m_answer, {}));
}

} // namespace pollen
