#include <http/connection_probe.h>

#include <base/socket_address.h>
#include <cerrno>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace pollen {

namespace {

// Callback context of a probe's bufferevent; deleted together with the bufferevent.
struct probe_target {
    std::function<void(probe_result)> finish;
};

timeval toTimeval(duration span)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(span);
    return { seconds.count(), std::chrono::duration_cast<std::chrono::microseconds>(span - seconds).count() };
}

probe_result toResult(short what, int socketError)
{
    if (what & BEV_EVENT_CONNECTED)
        return probe_result::Accepted;
    const bool answered = (what & BEV_EVENT_ERROR) && (socketError == ECONNREFUSED || socketError == ECONNRESET);
    return answered ? probe_result::Refused : probe_result::Unreachable;
}

} // namespace

connection_probe::connection_probe(event_loop& loop)
    : m_loop(loop)
    , m_alive(std::make_shared<bool>(true))
{
}

connection_probe::~connection_probe()
{
    for (const auto& [server, running] : m_pendingProbes) {
        void* target = nullptr;
        bufferevent_getcb(running->connection, nullptr, nullptr, nullptr, &target);
        bufferevent_free(running->connection);
        delete static_cast<probe_target*>(target);
    }
}

void connection_probe::startProbe(const endpoint& server, duration timeout, callback done)
{
    std::unique_ptr<pending_probe>& running = m_pendingProbes[server];
    if (running) {
        running->callbacks.push_back(std::move(done));
        return;
    }
    running = std::make_unique<pending_probe>();
    running->callbacks.push_back(std::move(done));
    running->connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const auto onEvent = [](bufferevent*, short what, void* target) {
        static_cast<probe_target*>(target)->finish(toResult(what, EVUTIL_SOCKET_ERROR()));
    };
    auto* target = new probe_target { [this, server](probe_result result) { finish(server, result); } };
    bufferevent_setcb(running->connection, nullptr, nullptr, onEvent, target);
    const timeval limit = toTimeval(timeout);
    bufferevent_set_timeouts(running->connection, nullptr, &limit);
    bufferevent_enable(running->connection, EV_WRITE);
    socket_address address = toSocketAddress(server);
    if (bufferevent_socket_connect(running->connection, address.get(), static_cast<int>(address.length)) == 0)
        return;
    const probe_result result = toResult(BEV_EVENT_ERROR, EVUTIL_SOCKET_ERROR());
    m_loop.post([this, server, result, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            finish(server, result);
    });
}

void connection_probe::finish(const endpoint& server, probe_result result)
{
    const auto found = m_pendingProbes.find(server);
    if (found == m_pendingProbes.end())
        return;
    const std::unique_ptr<pending_probe> ended = std::move(found->second);
    m_pendingProbes.erase(found);
    void* target = nullptr;
    bufferevent_getcb(ended->connection, nullptr, nullptr, nullptr, &target);
    bufferevent_setcb(ended->connection, nullptr, nullptr, nullptr, nullptr);
    // This runs inside a callback of the bufferevent, so it is freed from the event loop.
    m_loop.post([connection = ended->connection, target] {
        bufferevent_free(connection);
        delete static_cast<probe_target*>(target);
    });
    for (const callback& done : ended->callbacks)
        done(result);
}

} // namespace pollen
