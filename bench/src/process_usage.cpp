#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace pollen {

size_t residentBytes(int processId)
{
    std::ifstream in("/proc/" + std::to_string(processId) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

double processorSeconds(int processId)
{
    // utime and stime are the 12th and 13th values after the command name, which ends with the last ')'.
    constexpr int valuesBefore = 11;
    std::ifstream in("/proc/" + std::to_string(processId) + "/stat");
    std::string line;
    std::getline(in, line);
    std::istringstream values(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < valuesBefore; ++i)
        values >> skipped;
    double user = 0;
    double system = 0;
    values >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace pollen
