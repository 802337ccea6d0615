#include "closed_load.h"

#include <algorithm>
#include <list>

namespace pollen {

namespace {

constexpr duration observeInterval = std::chrono::milliseconds(100);

struct shared_state {
    event_loop& loop;
    http_client& client;
    const load_target& target;
    const closed_load_options& options;
    closed_load_result result;
    size_t open = 0;
    bool over = false;
};

// One caller that sends a request, waits for the whole answer and sends the next.
class load_caller final : private exchange_listener {
public:
    explicit load_caller(shared_state& state)
        : m_state(state)
    {
    }

    void send()
    {
        m_open = false;
        m_status = 0;
        m_tail.clear();
        const auto& options = m_state.options;
        exchange_options exchangeOptions;
        exchangeOptions.connectTimeout = std::chrono::seconds(10);
        m_exchange = m_state.client.start(m_state.target.server,
            makeLoadRequest(m_state.target, options.streaming, options.tokens), exchangeOptions, *this);
    }

private:
    void onHead(int status, const http_headers&) override { m_status = status; }

    void onData(std::string_view bytes) override
    {
        if (!m_open)
            m_state.result.mostOpen = std::max(m_state.result.mostOpen, ++m_state.open);
        m_open = true;
        // Each event ends with an empty line; a chunk ends with a line, so that pairs never straddle two.
        if (!m_state.over)
            m_state.result.tokens += static_cast<size_t>(std::count(bytes.begin(), bytes.end(), '\n')) / 2;
        constexpr size_t tailBytes = 16;
        m_tail = bytes.substr(bytes.size() - std::min(bytes.size(), tailBytes));
    }

    void onFinished(const exchange_result& result) override
    {
        constexpr int statusOk = 200;
        m_state.open -= m_open ? 1 : 0;
        const bool whole = !m_state.options.streaming || m_tail.ends_with("[DONE]\n\n");
        const bool good = result.ok() && m_status == statusOk && whole;
        if (!m_state.over)
            ++(good ? m_state.result.answered : m_state.result.failed);
        m_state.loop.post([this] {
            if (!m_state.over)
                send();
        });
    }

    shared_state& m_state;
    std::unique_ptr<exchange> m_exchange;
    std::string m_tail;
    int m_status = 0;
    bool m_open = false;
};

} // namespace

closed_load_result runClosedLoad(const load_target& target, const closed_load_options& options)
{
    event_loop loop;
    http_client client(loop);
    shared_state state { loop, client, target, options, {}, 0, false };
    std::list<load_caller> callers;
    const os_clock clock;
    const time_point start = clock.now();
    for (size_t i = 0; i < options.concurrency; ++i) {
        callers.emplace_back(state);
        callers.back().send();
    }
    timer observer(loop, options.observe);
    observer.startRepeating(observeInterval);
    loop.runUntil([] { return false; }, options.length);
    state.over = true;
    state.result.seconds = toSeconds(clock.now() - start);
    return state.result;
}

} // namespace pollen
