#pragma once

#include <ctl/wait_estimates.h>
#include <istream>
#include <map>
#include <string>

namespace pollen {

// Collects expected and measured waits from daemons' logs, line by line. A pair is taken from each request_ended line
// of a stream that was answered at the first attempt. Only a field `events` above 0 identifies a stream, so streams
// whose events all arrived at once are left out. Text before the first brace of a line is skipped.
class estimate_log {
public:
    void read(std::istream& input);

    const wait_estimates& all() const { return m_all; }
    // By service version, of the lines that name one.
    const std::map<std::string, wait_estimates>& byVersion() const { return m_byVersion; }

    // Lines that hold no JSON object, or a request_ended with fields that cannot be read.
    size_t unreadableLines() const { return m_unreadableLines; }
    // Lines of other events.
    size_t otherEvents() const { return m_otherEvents; }
    // Ends of requests that are not known to be streams, were not answered, or had more than one attempt.
    size_t otherRequests() const { return m_otherRequests; }

private:
    void readLine(const std::string& text);

    wait_estimates m_all;
    std::map<std::string, wait_estimates> m_byVersion;
    size_t m_unreadableLines = 0;
    size_t m_otherEvents = 0;
    size_t m_otherRequests = 0;
};

} // namespace pollen
