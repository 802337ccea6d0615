#pragma once

#include "child_process.h"
#include "recorder.h"

#include <http/event_loop.h>
#include <http/http_client.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <standins/store_standin.h>

namespace review {

// A port of the address that nothing listens on.
uint16_t freePort(const std::string& address);
// A loopback address of this case; cases that run side by side use different ones.
std::string loopbackAddress(unsigned host);

// The store, the project's daemons as processes and a caller, all on loopback addresses.
class fleet {
public:
    // program: of the role in the deploy file. directory: for settings and logs of the daemons. memoryMegabytes: of a
    // daemon's machine.
    fleet(std::string program, std::string directory, recorder& record, size_t memoryMegabytes = 260);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    pollen::event_loop& loop() { return m_loop; }
    pollen::store_standin& store() { return m_store; }
    pollen::http_client& caller() { return m_caller; }
    pollen::time_point now() const { return m_clock.now(); }
    void wait(pollen::duration span);

    // Starts a daemon with the settings of a small deployment.
    void startDaemon(const std::string& id, const std::string& failureDomain);
    // Starts a process again that has ended, with the same settings.
    void restartDaemon(size_t index);
    child_process& daemon(size_t index) { return *m_daemons.at(index).process; }
    size_t daemonCount() const { return m_daemons.size(); }
    pollen::endpoint callersAddress(size_t index) const { return m_daemons.at(index).callers; }
    // Waits until all daemons say that they are ready; false if they don't in time.
    bool waitUntilReady();
    // Asks a daemon's readiness once.
    bool isReady(size_t index);

private:
    struct daemon_entry {
        std::string id;
        std::string settingsFile;
        std::string logFile;
        pollen::endpoint callers;
        pollen::endpoint readiness;
        std::unique_ptr<child_process> process;
    };

    std::string settings(const daemon_entry& daemon, const std::string& failureDomain, uint16_t peerPort) const;
    void start(daemon_entry& daemon);

    std::string m_program;
    std::string m_directory;
    recorder& m_record;
    size_t m_memoryMegabytes;
    pollen::os_clock m_clock;
    pollen::event_loop m_loop;
    pollen::store_standin m_store;
    pollen::http_client m_caller;
    std::vector<daemon_entry> m_daemons;
};

} // namespace review
