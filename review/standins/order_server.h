#pragma once

#include "recorder.h"

#include <http/http_server.h>
#include <map>
#include <random>
#include <string>

namespace pollen {

// A sound server of the order desk. Orders differ in their work, so that they are in progress at different times.
class order_server {
public:
    // runs: gets the id of the server that ran each request.
    order_server(event_loop& loop, recorder& record, std::string id, std::chrono::milliseconds leastWork,
        std::chrono::milliseconds mostWork, std::map<std::string, std::string>& runs);

    const endpoint& address() const { return m_server.address(); }
    const std::string& id() const { return m_id; }

private:
    void run(const std::shared_ptr<server_request>& request);

    event_loop& m_loop;
    recorder& m_record;
    std::string m_id;
    std::uniform_int_distribution<int64_t> m_workMilliseconds;
    std::map<std::string, std::string>& m_runs;
    std::mt19937 m_random { 1 };
    http_server m_server;
};

} // namespace pollen
