#pragma once

#include <base/endpoint.h>
#include <base/error.h>
#include <base/typed_id.h>
#include <istream>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace pollen {

// Exit codes of pollenctl, for scripts.
enum class ctl_exit {
    Ok = 0,
    // The change was decided against, or the thing asked for does not exist.
    Refused = 1,
    Usage = 2,
    // A document, an argument or a record cannot be used.
    BadInput = 3,
    // The platform's log or a daemon cannot be reached; what was asked for may or may not have taken effect.
    Unreachable = 4,
};

// Ends a command with an exit code and a message.
class ctl_error final : public error {
public:
    ctl_error(ctl_exit code, const std::string& message);
    ctl_exit code() const { return m_code; }

private:
    ctl_exit m_code;
};

// Everything that was given on the command line.
struct ctl_arguments {
    std::optional<endpoint> log;
    std::vector<endpoint> daemons;
    bool json = false;
    std::string author;
    std::string reason;
    std::optional<uint64_t> base;
    std::optional<double> sharePercent;
    std::vector<version_ref> reinstate;
    // What follows the name of the command.
    std::vector<std::string> operands;
};

// One command of pollenctl.
class command {
public:
    virtual ~command() = default;

    virtual std::string name() const = 0;
    // Operands as shown in the help, such as "FILE".
    virtual std::string operands() const = 0;
    virtual std::string help() const = 0;
    // Number of operands it needs.
    virtual size_t operandCount() const = 0;
    // Number of operands it takes at most.
    virtual size_t maximumOperandCount() const { return operandCount(); }

    // Does the work; throws ctl_error.
    virtual void run(const ctl_arguments& arguments, std::ostream& out) = 0;
};

// All commands in the order of the help. input: where commands that read a log read it from.
std::vector<std::unique_ptr<command>> makeCommands(std::istream& input);

} // namespace pollen
