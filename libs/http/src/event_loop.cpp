#include <http/event_loop.h>

#include <base/error.h>
#include <cerrno>
#include <csignal>
#include <event2/event.h>

namespace pollen {

namespace {

timeval toTimeval(duration span)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(span);
    return { static_cast<time_t>(seconds.count()), static_cast<suseconds_t>((span - seconds).count()) };
}

// Callbacks that run before sockets and timers are looked at again. Tasks that post further tasks would otherwise keep
// the loop from them.
constexpr int maximumCallbacksPerPoll = 64;

// The change list batches epoll updates until the loop waits, because most of them cancel each other out by then.
event_base* newBase()
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_max_dispatch_interval(config, nullptr, maximumCallbacksPerPoll, 0);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

event_loop::event_loop()
    : m_base(newBase())
    , m_wake(nullptr)
{
    if (!m_base)
        throw system_error("event_base_new", errno);
    // A write to a connection closed by the peer must return an error instead of terminating the process.
    ::signal(SIGPIPE, SIG_IGN);
    const auto onWake = [](evutil_socket_t, short, void* self) { static_cast<event_loop*>(self)->runPosted(); };
    m_wake = event_new(m_base, -1, 0, onWake, this);
}

event_loop::~event_loop()
{
    // Tasks that free connections may post further tasks; the limit guards against an endless chain.
    constexpr int maximumRounds = 16;
    for (int round = 0; round < maximumRounds && !m_posted.empty(); ++round)
        runPosted();
    event_free(m_wake);
    event_base_free(m_base);
}

void event_loop::run() { event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY); }

bool event_loop::runUntil(const std::function<bool()>& done, duration timeout)
{
    bool expired = false;
    // A turn of the loop does not end by itself while callbacks make each other active.
    timer limit(*this, [&] {
        expired = true;
        stop();
    });
    limit.startOnce(timeout);
    while (!expired && !done())
        event_base_loop(m_base, EVLOOP_ONCE);
    return done();
}

void event_loop::stop() { event_base_loopbreak(m_base); }

void event_loop::post(std::function<void()> task)
{
    if (m_posted.empty())
        event_active(m_wake, EV_TIMEOUT, 0);
    m_posted.push_back(std::move(task));
}

void event_loop::runPosted()
{
    std::vector<std::function<void()>> tasks;
    tasks.swap(m_posted);
    for (const auto& task : tasks)
        task();
}

timer::timer(event_loop& loop, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(nullptr)
{
    const auto onTimer = [](evutil_socket_t, short, void* argument) {
        auto* self = static_cast<timer*>(argument);
        if (self->m_interval.count() > 0)
            self->start(self->m_interval);
        self->m_callback();
    };
    m_event = event_new(loop.base(), -1, 0, onTimer, this);
}

timer::~timer() { event_free(m_event); }

void timer::startOnce(duration delay)
{
    m_interval = duration(0);
    start(delay);
}

void timer::startRepeating(duration interval)
{
    m_interval = interval;
    start(interval);
}

void timer::stop() { event_del(m_event); }

void timer::start(duration delay)
{
    const timeval when = toTimeval(delay);
    event_add(m_event, &when);
}

signal_handler::signal_handler(event_loop& loop, int signalNumber, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(nullptr)
{
    const auto onSignal = [](evutil_socket_t, short, void* self) { static_cast<signal_handler*>(self)->m_callback(); };
    m_event = evsignal_new(loop.base(), signalNumber, onSignal, this);
    event_add(m_event, nullptr);
}

signal_handler::~signal_handler() { event_free(m_event); }

} // namespace pollen
