#pragma once

#include <base/clock.h>
#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace pollen {

// One libevent loop. Everything built on it runs on the thread that calls run().
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs until stop() is called.
    void run();

    // Runs until done() is true or the time-out has passed; evaluates done() after each loop iteration. Returns done().
    bool runUntil(const std::function<bool()>& done, duration timeout);

    void stop();

    // Schedules the task for the current loop iteration, after the callback that is running now.
    void post(std::function<void()> task);

    event_base* base() const { return m_base; }

private:
    void runPosted();

    event_base* m_base;
    event* m_wake;
    std::vector<std::function<void()>> m_posted;
};

// Invokes a callback after a delay, once or repeatedly. Destruction cancels it.
class timer {
public:
    timer(event_loop& loop, std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    void startOnce(duration delay);
    void startRepeating(duration interval);
    void stop();

private:
    void start(duration delay);

    std::function<void()> m_callback;
    event* m_event;
    duration m_interval { 0 };
};

// Invokes a callback on the event loop when the process receives the signal.
class signal_handler {
public:
    signal_handler(event_loop& loop, int signalNumber, std::function<void()> callback);
    ~signal_handler();
    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;

private:
    std::function<void()> m_callback;
    event* m_event;
};

} // namespace pollen
