#pragma once

#include <base/endpoint.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace pollen {

// Test processes that run side by side use addresses of their own.
inline std::string loopbackAddress(size_t host)
{
    return "127." + std::to_string(1 + ::getpid() % 250) + ".0." + std::to_string(host);
}

// The program that tests run as a daemon; a run by hand may name that of another version.
inline std::string daemonProgram()
{
    const char* program = std::getenv("POLLEN_DAEMON");
    return program ? program : POLLENROUTED;
}

// A pollenrouted as a process of its own, with the platform's settings.
class daemon_process {
public:
    // address: the daemon listens on it with the ports below.
    daemon_process(std::string id, std::string failureDomain, std::string address, const endpoint& store,
        const std::string& directory)
        : m_id(std::move(id))
        , m_failureDomain(std::move(failureDomain))
        , m_address(std::move(address))
        , m_settingsFile(directory + "/" + m_id + ".toml")
        , m_logFile(directory + "/" + m_id + ".log")
    {
        std::ofstream(m_settingsFile) << settings(store);
    }
    ~daemon_process()
    {
        if (isRunning())
            m_former.push_back(m_process);
        for (const pid_t process : m_former) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    std::string settings(const endpoint& store) const
    {
        std::ostringstream text;
        text << "node = \"" << m_id << "\"\nzone = \"" << m_failureDomain << "\"\nport-range = [" << peerPort << ", "
             << peerPort + 15 << "]\n[listen]\nfront = \"" << m_address << ":" << callerPort << "\"\nready = \""
             << m_address << ":" << readinessPort << "\"\n[bounds]\nconfig-apply-ms = 2000\ndrain-ms = 2000\n"
             << "grace-s = 4\nstrict-revoke = true\nrevoke-ms = 5000\nretry-ratio = 0.9\nretry-slack = 58\n"
             << "retry-window-s = 10\nexposure-share = 0.15\nexposure-slack = 30\nsession-s = 5\nevacuate-ms = 5000\n"
             << "cold-overshoot = 1.5\ncold-slack = 5\n[platform]\n"
             << "address = \"" << store.text()
             << "\"\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n"
             << "link-mbps = 1000.0\ndisk-mb = 0\n";
        return text.str();
    }
    const std::string& settingsFile() const { return m_settingsFile; }

    // arguments: follow the program's name; none for the platform's settings.
    void start(const std::vector<std::string>& arguments = {})
    {
        m_logSize = logSize();
        const std::string variable = "POLLENROUTE_CONFIG=" + m_settingsFile;
        const std::string program = daemonProgram();
        std::vector<char*> argumentVector { const_cast<char*>(program.c_str()) };
        for (const std::string& argument : arguments)
            argumentVector.push_back(const_cast<char*>(argument.c_str()));
        argumentVector.push_back(nullptr);
        char* environment[] = { const_cast<char*>(variable.c_str()), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        ASSERT_EQ(posix_spawn(&m_process, program.c_str(), &actions, nullptr, argumentVector.data(), environment), 0);
        posix_spawn_file_actions_destroy(&actions);
    }

    // Starts the next process while the one before still ends.
    void startOverlapping()
    {
        if (!isRunning())
            return;
        ::kill(m_process, SIGTERM);
        m_former.push_back(m_process);
        start();
    }

    // Reaps the process once it has ended.
    bool isRunning()
    {
        std::erase_if(m_former, [](pid_t process) { return ::waitpid(process, nullptr, WNOHANG) == process; });
        int status = 0;
        if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
            m_endedBySignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
            m_process = 0;
        }
        return m_process > 0;
    }

    void signal(int number)
    {
        if (isRunning())
            ::kill(m_process, number);
    }

    // The process has begun to serve; before its program begins, the system's defaults apply to signals.
    bool hasBegun() { return isRunning() && logSize() > m_logSize; }

    const std::string& id() const { return m_id; }
    // Id of the running process; 0 if there is none.
    pid_t process() const { return m_process; }
    // Signal that ended the last process; 0 if it exited by itself.
    int endedBySignal() const { return m_endedBySignal; }
    const std::string& logFile() const { return m_logFile; }
    endpoint callers() const { return { m_address, callerPort }; }
    endpoint readiness() const { return { m_address, readinessPort }; }

private:
    static constexpr uint16_t callerPort = 17801;
    static constexpr uint16_t readinessPort = 17802;
    static constexpr uint16_t peerPort = 17810;

    std::uintmax_t logSize() const
    {
        std::error_code missing;
        const std::uintmax_t size = std::filesystem::file_size(m_logFile, missing);
        return missing ? 0 : size;
    }

    std::string m_id;
    std::string m_failureDomain;
    std::string m_address;
    std::string m_settingsFile;
    std::string m_logFile;
    std::uintmax_t m_logSize = 0;
    pid_t m_process = 0;
    // Processes that were told to stop and have a successor already.
    std::vector<pid_t> m_former;
    int m_endedBySignal = 0;
};

} // namespace pollen
