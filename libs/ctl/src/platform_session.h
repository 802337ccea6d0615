#pragma once

#include <config/configuration_fold.h>
#include <ctl/command.h>
#include <http/http_client.h>
#include <platform/http_record_log.h>

namespace pollen {

// The configuration stream as it is now, folded.
struct folded_history {
    configuration_fold fold;
    std::vector<folded_change> changes;
};

// Talks to the platform's log and to daemons, one call at a time. Members throw ctl_error when they cannot be reached.
class platform_session {
public:
    explicit platform_session(const ctl_arguments& arguments);

    std::vector<log_record> readAll(const std::string& stream);
    folded_history readConfiguration();

    // Appends a configuration record, as often as it takes to know that it is in the log, and returns the decision on
    // it. Repeating is harmless: the record's id counts once.
    folded_change submit(const configuration_record& record);

    // GET from a daemon's operator address; none when it cannot be reached.
    std::optional<http_response> get(const endpoint& daemon, const std::string& target);

private:
    read_result readOnce(const std::string& stream, log_offset from);
    append_result appendOnce(const std::string& record);
    std::optional<folded_change> findDecision(const std::string& id);
    record_log& log();

    event_loop m_loop;
    http_client m_client;
    std::optional<http_record_log> m_log;
};

} // namespace pollen
