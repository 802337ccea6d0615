#include "child_process.h"

#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::vector<char*> pointersTo(const std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (const std::string& text : texts)
        pointers.push_back(const_cast<char*>(text.c_str()));
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

child_process::child_process(
    const std::vector<std::string>& arguments, const std::vector<std::string>& environment, int output)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    std::vector<char*> argumentPointers = pointersTo(arguments);
    std::vector<char*> environmentPointers = pointersTo(environment);
    const int result = posix_spawn(
        &m_process, arguments.front().c_str(), &actions, nullptr, argumentPointers.data(), environmentPointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error("cannot start " + arguments.front());
}

child_process::~child_process() { endNow(); }

bool child_process::isRunning()
{
    int status = 0;
    if (!m_ended && ::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_ended = true;
        m_endedBySignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    }
    return !m_ended;
}

void child_process::signal(int number)
{
    if (isRunning())
        ::kill(m_process, number);
}

void child_process::endNow()
{
    if (!isRunning())
        return;
    ::kill(m_process, SIGKILL);
    int status = 0;
    ::waitpid(m_process, &status, 0);
    m_ended = true;
    m_endedBySignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
}

} // namespace review
