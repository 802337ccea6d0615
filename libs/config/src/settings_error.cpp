#include <config/settings_error.h>

namespace pollen {

const char* toText(settings_problem problem)
{
    switch (problem) {
    case settings_problem::Unreadable:
        return "unreadable";
    case settings_problem::Syntax:
        return "syntax";
    case settings_problem::UnknownKey:
        return "unknown_key";
    case settings_problem::MissingKey:
        return "missing_key";
    case settings_problem::WrongType:
        return "wrong_type";
    case settings_problem::BadUnit:
        return "bad_unit";
    case settings_problem::OutOfRange:
        return "out_of_range";
    case settings_problem::BadValue:
        return "bad_value";
    case settings_problem::Duplicate:
        return "duplicate";
    case settings_problem::UnknownReference:
        return "unknown_reference";
    case settings_problem::Contradiction:
        return "contradiction";
    }
    return "bad_value";
}

settings_error::settings_error(
    settings_problem problem, const std::string& file, unsigned line, const std::string& key, const std::string& detail)
    : error(file + ":" + std::to_string(line) + ": " + key + ": " + toText(problem) + ": " + detail)
    , m_problem(problem)
    , m_file(file)
    , m_line(line)
    , m_key(key)
{
}

} // namespace pollen
