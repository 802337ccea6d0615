#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// A program that was started as a process of its own. It is ended with this object at the latest.
class child_process {
public:
    // arguments: with the program's path first. environment: NAME=VALUE; nothing else is passed on. output: descriptor
    // that takes what the program writes.
    child_process(const std::vector<std::string>& arguments, const std::vector<std::string>& environment, int output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // Whether the process runs; reaps it once it has ended.
    bool isRunning();
    void signal(int number);
    void endNow();
    pid_t id() const { return m_process; }
    // Signal that ended the process; 0 if it ended by itself or still runs.
    int endedBySignal() const { return m_endedBySignal; }

private:
    pid_t m_process = 0;
    bool m_ended = false;
    int m_endedBySignal = 0;
};

} // namespace review
