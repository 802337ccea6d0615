#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <http/http_message.h>
#include <optional>
#include <vector>

namespace pollen {

// One part of a prompt that requests may share.
struct prompt_part {
    uint64_t id = 0;
    uint32_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// What a caller says of its request.
struct request_traits {
    request_id id;
    // Empty when the request carries none.
    std::string key;
    // Time that the caller will still wait.
    std::optional<duration> timeLeft;
    // The caller leaves the choice of the model to the router.
    bool anyModel = false;
    uint32_t promptTokens = 0;
    // Most tokens that may be generated.
    uint32_t outputTokens = 0;
    // The caller's estimate of the tokens that will be generated: right for half of its requests, often far off.
    std::optional<uint32_t> expectedTokens;
    // In order; a server that remembers a part can use it only if it remembers all parts before it.
    std::vector<prompt_part> parts;
    // Requests with the same text belong together; empty when the caller says nothing.
    std::string session;

    friend bool operator==(const request_traits&, const request_traits&) = default;
};

// Load of a server as one of its answers reports it.
struct load_report {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    // How long work takes there now; 1 is as usual.
    double slowdown = 1;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// What a server says of its answer.
struct answer_traits {
    // The server states that the request has not run.
    bool notRun = false;
    // Another server has the address now.
    bool misdirected = false;
    // The server takes no further requests on this connection because it is leaving, or for reasons of its own.
    bool closing = false;
    std::optional<load_report> load;
    // The model's own opinion of its answer, 0 to 1.
    std::optional<double> confidence;

    friend bool operator==(const answer_traits&, const answer_traits&) = default;
};

// What the router adds to a request that it sends to a server.
struct forwarding_parameters {
    instance_id server;
    duration timeLeft { 0 };
    team_name team;
    // Empty when the caller has named the model.
    model_name model;
    // 0 is the most urgent, 9 the least.
    int urgency = 5;
    // The last event that the caller has, when a stream is continued.
    std::optional<uint64_t> lastEvent;

    friend bool operator==(const forwarding_parameters&, const forwarding_parameters&) = default;
};

// The words that callers and servers use for the traits of requests and answers.
class relay_protocol {
public:
    virtual ~relay_protocol() = default;

    // Fields that are missing or malformed are left out.
    virtual request_traits readRequest(const http_request& request) const = 0;
    virtual answer_traits readAnswer(int status, const http_headers& headers) const = 0;

    // The request as the server gets it: unchanged but for what concerns one connection or is the router's to set.
    virtual http_request makeServerRequest(const http_request& request, const forwarding_parameters& order) const = 0;

    // Headers of an answer as the caller gets them, without those that concern one connection.
    virtual http_headers makeCallerHeaders(const http_headers& headers) const = 0;

    // The header by which a server names the request that it answers.
    virtual const std::string& requestIdHeader() const = 0;
};

} // namespace pollen
