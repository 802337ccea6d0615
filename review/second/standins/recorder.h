#pragma once

#include <base/clock.h>
#include <fstream>
#include <string>

namespace review {

// Writes record.txt: what was sent, answered and run, with the milliseconds since the start of the case.
class recorder {
public:
    explicit recorder(const std::string& file)
        : m_file(file, std::ios::trunc)
        , m_start(m_clock.now())
    {
    }

    void write(const std::string& line) { writeAt(m_clock.now(), line); }

    void writeAt(pollen::time_point time, const std::string& line)
    {
        m_file << pollen::toMilliseconds(time - m_start) << " ms: " << line << std::endl;
    }

private:
    pollen::os_clock m_clock;
    std::ofstream m_file;
    pollen::time_point m_start;
};

} // namespace review
