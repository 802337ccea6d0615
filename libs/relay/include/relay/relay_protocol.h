#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <http/http_message.h>
#include <optional>
#include <scheduling/prompt_part.h>
#include <vector>

namespace pollen {

// Properties of a request, from its headers.
struct request_traits {
    request_id id;
    // Empty when the request carries none.
    std::string key;
    // Remaining time until the caller's deadline.
    std::optional<duration> timeLeft;
    // The router may choose the model.
    bool anyModel = false;
    uint32_t promptTokens = 0;
    // Maximum number of tokens to generate.
    uint32_t outputTokens = 0;
    // The caller's estimate of the tokens that will be generated. It is accurate for about half of the requests and
    // often far off for the others.
    std::optional<uint32_t> expectedTokens;
    // In prompt order. A server can reuse a cached part only if all parts before it are cached, too.
    std::vector<prompt_part> parts;
    // Identifies the session that the request belongs to; empty if the caller names none.
    std::string session;
    // Id of the last event that the caller has, if it resumes a stream.
    std::optional<uint64_t> callersLastEvent {};

    friend bool operator==(const request_traits&, const request_traits&) = default;
};

// Load that a server reports in the headers of an answer.
struct load_report {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    // Current duration of work relative to normal operation; 1 is normal, 2 takes twice as long.
    double slowdown = 1;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Properties of an answer, from its status and headers.
struct answer_traits {
    // The server states that it has not run the request.
    bool notRun = false;
    // The request reached another server: the address has been reassigned.
    bool misdirected = false;
    // The answer has the server's signature and an uncoded body. A success without them is not the server's answer.
    bool isAuthentic = false;
    // The server declares a content type other than an event stream.
    bool declaresNoStream = false;
    // The server accepts no further requests on this connection, for example because it is shutting down.
    bool closing = false;
    std::optional<load_report> load;
    // Requests a second that the server accepts from all daemons together, for as long as it states it.
    std::optional<double> rateLimit;
    // The server states a limit that cannot be read; a known limit stays in force.
    bool rateLimitUnreadable = false;
    // The model's confidence in its answer, 0 to 1.
    std::optional<double> confidence;
    // The server leaves: this is its last work.
    bool leaving = false;
    // The server wants no requests from this daemon for this time.
    std::optional<duration> pause;
    // The server states a pause that cannot be read.
    bool pauseUnreadable = false;
    // How much longer the server is cold.
    std::optional<duration> coldLeft {};
    // The server states a remaining time that cannot be read.
    bool coldLeftUnreadable = false;

    friend bool operator==(const answer_traits&, const answer_traits&) = default;
};

// Values that the router adds to a request when it forwards it to a server.
struct forwarding_parameters {
    instance_id server;
    duration timeLeft { 0 };
    team_name team;
    // Empty if the caller has named the model.
    model_name model;
    // 0 is the most urgent, 9 the least.
    int urgency = 5;
    // Id of the last event that the caller has received, if a broken stream is resumed.
    std::optional<uint64_t> lastEvent;

    friend bool operator==(const forwarding_parameters&, const forwarding_parameters&) = default;
};

// Translates between HTTP messages of callers and servers and the types above.
class relay_protocol {
public:
    virtual ~relay_protocol() = default;

    // Missing or malformed headers leave their fields at the defaults.
    virtual request_traits readRequest(const http_request& request) const = 0;
    virtual answer_traits readAnswer(int status, const http_headers& headers) const = 0;

    // The request to forward: a copy without hop-by-hop headers, with the headers that the router sets.
    virtual http_request makeServerRequest(const http_request& request, const forwarding_parameters& order) const = 0;

    // The headers of an answer to forward to the caller, without hop-by-hop headers.
    virtual http_headers makeCallerHeaders(const http_headers& headers) const = 0;

    // Name of a field that events of streams may have beside those of the standard.
    virtual const std::string& eventExtensionField() const = 0;

    // Name of the header in which a server echoes the id of the request that it answers.
    virtual const std::string& requestIdHeader() const = 0;
};

} // namespace pollen
