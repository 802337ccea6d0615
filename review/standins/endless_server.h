#pragma once

#include "recorder.h"

#include <base/endpoint.h>
#include <http/event_loop.h>
#include <set>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace pollen {

// A server of streams that begins each answer soundly and goes on with the same bytes until the daemon closes. Without
// repeated bytes it answers with one event.
class endless_server {
public:
    // prefix: bytes behind the head of an answer in chunks.
    endless_server(event_loop& loop, recorder& record, std::string id, std::string prefix, const std::string& repeated,
        size_t bytesPerMillisecond);
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    const endpoint& address() const { return m_address; }

private:
    void accept(int socket);
    void answer(bufferevent* channel);
    void sendMore();
    void remove(bufferevent* channel);

    event_loop& m_loop;
    recorder& m_record;
    std::string m_id;
    std::string m_prefix;
    // Empty for a sound server.
    std::string m_repeated;
    size_t m_bytesPerInterval = 0;
    timer m_timer;
    evconnlistener* m_listener = nullptr;
    endpoint m_address;
    std::set<bufferevent*> m_channels;
    std::set<bufferevent*> m_endless;
};

} // namespace pollen
