#include "recorder.h"

#include <cstdio>
#include <standins/standin.h>

namespace pollen {

recorder::recorder(const std::string& file)
    : m_file(file)
    , m_startMicroseconds(nowMicroseconds())
{
}

void recorder::write(const std::string& line)
{
    constexpr double microsecondsPerSecond = 1e6;
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ",
        static_cast<double>(nowMicroseconds() - m_startMicroseconds) / microsecondsPerSecond);
    m_file << time << line << std::endl;
}

} // namespace pollen
