#include <ctl/command.h>

#include "command_lists.h"

namespace pollen {

ctl_error::ctl_error(ctl_exit code, const std::string& message)
    : error(message)
    , m_code(code)
{
}

std::vector<std::unique_ptr<command>> makeCommands(std::istream& input)
{
    std::vector<std::unique_ptr<command>> commands = makeConfigurationCommands();
    for (std::unique_ptr<command>& command : makeInspectionCommands())
        commands.push_back(std::move(command));
    for (std::unique_ptr<command>& command : makeLogCommands(input))
        commands.push_back(std::move(command));
    return commands;
}

} // namespace pollen
