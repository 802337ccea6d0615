#pragma once

#include <http/http_server.h>
#include <nlohmann/json.hpp>

namespace pollen {

// A stand-in for one outside system. Besides its contract it answers to two paths for tests:
// POST /standin/set?NAME=NUMBER sets a fault or a speed; GET /standin/records tells what it did.
class standin {
public:
    standin(event_loop& loop, const endpoint& listenAddress);
    virtual ~standin() = default;
    standin(const standin&) = delete;
    standin& operator=(const standin&) = delete;

    const endpoint& address() const { return m_server.address(); }

    // Sets a fault or a speed; unknown names are ignored.
    virtual void set(const std::string& name, int64_t value) = 0;

protected:
    virtual void handle(const std::shared_ptr<server_request>& request) = 0;
    virtual nlohmann::json records() const = 0;

    event_loop& m_loop;

private:
    void dispatch(const std::shared_ptr<server_request>& request);

    http_server m_server;
};

// Sends a JSON response.
void replyJson(server_request& request, int status, const nlohmann::json& body, http_headers headers = {});

// Microseconds on the monotonic clock, and milliseconds since the Unix epoch.
int64_t nowMicroseconds();
int64_t wallMilliseconds();

} // namespace pollen
