#pragma once

#include <stdexcept>
#include <string>

namespace pollen {

// Base class of all exceptions thrown by this project. Each kind of error has its own derived class.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// A system call that the process depends on failed, such as binding the address to listen on.
class system_error : public error {
public:
    // what: the operation that failed; errnoValue: errno as set by the call.
    system_error(const std::string& what, int errnoValue);

    int errnoValue() const { return m_errno; }

private:
    int m_errno;
};

} // namespace pollen
