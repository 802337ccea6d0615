#pragma once

#include "daemon_process.h"
#include "recorder.h"

#include <http/http_client.h>
#include <map>
#include <memory>
#include <standins/store_standin.h>
#include <string>
#include <vector>

namespace pollen {

// The arguments of a case: the daemon's program, a temporary folder, the file of the record, and whether the disruption
// is left out.
struct case_arguments {
    std::string daemonProgram;
    std::string directory;
    std::string recordFile;
    bool hasTrouble = true;
};

// Throws std::runtime_error for a wrong call.
case_arguments parseCaseArguments(int count, char** values);

// Exit statuses of a case.
enum case_result {
    RuleHeld = 0,
    RuleBroken = 1,
    CouldNotRun = 2,
};

// The settings that the platform gives a machine.
struct machine {
    std::string id;
    std::string zone;
    // Loopback address of the machine; the ports are the same on all machines.
    std::string address;
    int memoryMegabytes = 260;
};

// A small deployment: the platform's store and some daemons.
class deployment {
public:
    deployment(event_loop& loop, const case_arguments& arguments, recorder& record, std::vector<machine> machines);

    store_standin& store() { return m_store; }
    // Daemons reach the store at this address instead of its own. To be called before start().
    void setStoreAddress(const endpoint& address);
    size_t size() const { return m_machines.size(); }
    const machine& machineAt(size_t index) const { return m_machines[index]; }
    daemon_process& daemonAt(size_t index) { return *m_daemons[index]; }
    endpoint callersAddress(size_t index) const;

    // Writes the configuration as the operator does.
    void writeConfiguration(const std::string& text);
    // Writes the entry of a server as the server does, and again with each heartbeat.
    void writeServer(const std::string& id, const std::string& service, const endpoint& address,
        const std::string& zone, unsigned slots = 6, const std::string& version = "v1");

    // Drops the entry of a server that has left.
    void removeServer(const std::string& id);

    // Starts the daemons and waits until all say that they are ready; throws std::runtime_error if they do not.
    void start();
    // Starts a process again that has ended.
    void restart(size_t index);

    // Waits, with the loop running.
    void runFor(duration time);

private:
    struct server_state {
        nlohmann::json entry;
        uint64_t heartbeats = 0;
    };

    void writeEntry(const std::string& id);
    void writeSettings();
    std::string settings(const machine& machine) const;
    bool isReady(size_t index);

    event_loop& m_loop;
    recorder& m_record;
    store_standin m_store;
    endpoint m_storeAddress;
    std::string m_directory;
    http_client m_balancer;
    std::vector<machine> m_machines;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    int64_t m_born;
    std::map<std::string, server_state> m_servers;
    timer m_heartbeat;
};

} // namespace pollen
