#include "open_load.h"

namespace pollen {

std::vector<open_load_result> runOpenLoad(const std::vector<load_target>& targets, double rate, duration length)
{
    constexpr duration settleTime = std::chrono::seconds(5);
    constexpr int statusOk = 200;
    event_loop loop;
    http_client client(loop);
    const os_clock clock;
    std::vector<open_load_result> results(targets.size());
    const auto interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / (rate * static_cast<double>(targets.size()))));
    const time_point start = clock.now();
    size_t sent = 0;
    size_t open = 0;
    const auto sendOne = [&] {
        const size_t index = sent++ % targets.size();
        ++open;
        const time_point begin = clock.now();
        client.fetch(targets[index].server, makeLoadRequest(targets[index], false, 1), {},
            [&, index, begin](const exchange_result& result, const http_response& response) {
                --open;
                if (result.ok() && response.status == statusOk)
                    results[index].latencies.push_back(toSeconds(clock.now() - begin) * 1000);
                else
                    ++results[index].failed;
            });
    };
    std::unique_ptr<timer> next;
    // Sends what is due by the clock; a late turn of the loop does not lower the rate.
    next = std::make_unique<timer>(loop, [&] {
        while (start + interval * static_cast<int64_t>(sent) <= clock.now() && clock.now() - start < length)
            sendOne();
        if (clock.now() - start < length)
            next->startOnce(interval / 2);
    });
    next->startOnce(duration(1));
    loop.runUntil([&] { return clock.now() - start >= length && open == 0; }, length + settleTime);
    return results;
}

} // namespace pollen
