#pragma once

#include <cstdint>
#include <fstream>
#include <string>

namespace pollen {

// The record of a case: what was sent, answered and run, one line each, with the time since the start.
class recorder {
public:
    explicit recorder(const std::string& file);

    void write(const std::string& line);

private:
    std::ofstream m_file;
    int64_t m_startMicroseconds;
};

} // namespace pollen
