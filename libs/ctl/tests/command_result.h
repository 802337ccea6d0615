#pragma once

#include <ctl/command.h>
#include <gtest/gtest.h>
#include <sstream>

namespace pollen {

// What a command printed and how it ended.
struct command_result {
    ctl_exit code = ctl_exit::Ok;
    std::string output;
    std::string problem;
};

// Runs the command of that name as pollenctl would. log: what it reads from standard input.
inline command_result runCommand(const std::string& name, const ctl_arguments& arguments, const std::string& log = "")
{
    std::istringstream input(log);
    std::ostringstream out;
    for (const auto& command : makeCommands(input)) {
        if (command->name() != name)
            continue;
        try {
            command->run(arguments, out);
            return { ctl_exit::Ok, out.str(), "" };
        } catch (const ctl_error& problem) {
            return { problem.code(), out.str(), problem.what() };
        }
    }
    ADD_FAILURE() << "no command " << name;
    return {};
}

} // namespace pollen
