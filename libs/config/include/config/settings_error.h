#pragma once

#include <base/error.h>
#include <string>

namespace pollen {

enum class settings_problem {
    Unreadable,
    Syntax,
    UnknownKey,
    MissingKey,
    WrongType,
    BadUnit,
    OutOfRange,
    BadValue,
    Duplicate,
    UnknownReference,
    Contradiction,
};

const char* toText(settings_problem problem);

// A TOML document, of settings or of the fleet, that cannot be used.
class settings_error final : public error {
public:
    // line counts from 1; 0 when the fault has no place, such as a missing section. key is the dotted path.
    settings_error(settings_problem problem, const std::string& file, unsigned line, const std::string& key,
        const std::string& detail);

    settings_problem problem() const { return m_problem; }
    const std::string& file() const { return m_file; }
    unsigned line() const { return m_line; }
    const std::string& key() const { return m_key; }

private:
    settings_problem m_problem;
    std::string m_file;
    unsigned m_line;
    std::string m_key;
};

} // namespace pollen
