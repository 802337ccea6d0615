#include "daemon_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace pollen {

daemon_process::daemon_process(std::string program, std::string settingsFile, std::string logFile)
    : m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

daemon_process::~daemon_process()
{
    if (!isRunning())
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void daemon_process::start()
{
    std::string variable = "POLLENROUTE_CONFIG=" + m_settingsFile;
    char* arguments[] = { m_program.data(), nullptr };
    char* environment[] = { variable.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int output : { STDOUT_FILENO, STDERR_FILENO })
        posix_spawn_file_actions_addopen(&actions, output, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int problem = posix_spawn(&m_process, m_program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0)
        throw std::runtime_error("cannot start " + m_program);
}

void daemon_process::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

bool daemon_process::isRunning()
{
    int status = 0;
    if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_endedBySignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 0;
        m_process = 0;
    }
    return m_process > 0;
}

size_t daemon_process::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace pollen
