#pragma once

#include <string>
#include <sys/types.h>

namespace pollen {

// One process of the project, started with a settings file of the platform.
class daemon_process {
public:
    daemon_process(std::string program, std::string settingsFile, std::string logFile);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    void start();
    void signal(int number) const;
    // Reaps the process once it has ended.
    bool isRunning();
    // Signal that ended the last process; 0 if it exited by itself.
    int endedBySignal() const { return m_endedBySignal; }
    int exitStatus() const { return m_exitStatus; }
    size_t residentBytes() const;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_process = 0;
    int m_endedBySignal = 0;
    int m_exitStatus = 0;
};

} // namespace pollen
