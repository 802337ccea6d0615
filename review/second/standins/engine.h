#pragma once

#include "child_process.h"
#include "fleet.h"

#include <functional>
#include <memory>
#include <string>

namespace review {

// How the replicas of a case answer.
struct engine_options {
    std::string program;
    // As engine_process takes it: chunks or none.
    std::string framing;
    bool crashes = false;
    int eventsPerAnswer = 0;
};

// A model replica: engine_process with its address, its entry in the store and what it writes.
class engine {
public:
    // index: numbers the replicas of a case; the failure domains a to d take turns.
    engine(fleet& fleet, engine_options options, size_t index);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    // Starts the process, also again under the same id, and writes its entry.
    void start(int64_t coldLeftMilliseconds = 0);
    // Writes the entry.
    void beat(int64_t coldLeftMilliseconds = 0);
    // Calls back with each whole line that the process has written since the last call.
    void readLines(const std::function<void(const std::string&)>& onLine);

    const std::string& id() const { return m_id; }
    child_process& process() { return *m_process; }

private:
    fleet& m_fleet;
    engine_options m_options;
    std::string m_id;
    std::string m_failureDomain;
    std::string m_address;
    uint16_t m_port;
    // The end of a pipe; -1 before the first start.
    int m_output = -1;
    std::string m_unread;
    // Start of the process, Unix milliseconds.
    int64_t m_born = 0;
    int m_beats = 0;
    std::unique_ptr<child_process> m_process;
};

} // namespace review
