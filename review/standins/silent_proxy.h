#pragma once

#include <base/endpoint.h>
#include <http/event_loop.h>
#include <memory>
#include <set>

struct bufferevent;
struct evconnlistener;

namespace pollen {

// Carries channels to another address. Open channels can go silent for good, without a reset; later ones work.
class silent_proxy {
public:
    silent_proxy(event_loop& loop, endpoint target);
    ~silent_proxy();
    silent_proxy(const silent_proxy&) = delete;
    silent_proxy& operator=(const silent_proxy&) = delete;

    const endpoint& address() const { return m_address; }
    // Nothing more is carried on the channels that are open now. Returns their number.
    size_t silenceOpenChannels();

private:
    struct channel;

    void accept(int socket);
    static void forward(bufferevent* from, bufferevent* to);
    void remove(channel* ended);

    event_loop& m_loop;
    endpoint m_target;
    endpoint m_address;
    evconnlistener* m_listener = nullptr;
    std::set<std::unique_ptr<channel>> m_channels;
};

} // namespace pollen
