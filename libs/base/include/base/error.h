#pragma once

#include <stdexcept>
#include <string>

namespace pollen {

// Root of all exceptions thrown by this project. Each kind of failure has its own class derived from it.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// The operating system refused something the process cannot work without, such as an address to listen on.
class system_error : public error {
public:
    // what: the operation; errnoValue: errno as the call left it.
    system_error(const std::string& what, int errnoValue);

    int errnoValue() const { return m_errno; }

private:
    int m_errno;
};

} // namespace pollen
