#pragma once

#include <ctl/command.h>

namespace pollen {

// Commands that read or change the fleet's configuration.
std::vector<std::unique_ptr<command>> makeConfigurationCommands();

// Commands that ask daemons and the bills.
std::vector<std::unique_ptr<command>> makeInspectionCommands();

// Commands that explain what the logs of daemons say.
std::vector<std::unique_ptr<command>> makeLogCommands(std::istream& input);

// The command that compares expected with measured waits.
std::unique_ptr<command> makeEstimatesCommand(std::istream& input);

} // namespace pollen
