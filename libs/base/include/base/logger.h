#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace pollen {

enum class log_level { Debug, Info, Warning, Error };

// One key-value pair of a log event.
struct log_field {
    std::string_view name;
    std::variant<std::string, int64_t, double, bool> value;

    log_field(std::string_view fieldName, std::string text)
        : name(fieldName)
        , value(std::move(text))
    {
    }
    log_field(std::string_view fieldName, const char* text)
        : name(fieldName)
        , value(std::string(text))
    {
    }
    log_field(std::string_view fieldName, int64_t number)
        : name(fieldName)
        , value(number)
    {
    }
    log_field(std::string_view fieldName, int number)
        : name(fieldName)
        , value(static_cast<int64_t>(number))
    {
    }
    log_field(std::string_view fieldName, uint64_t number)
        : name(fieldName)
        , value(static_cast<int64_t>(number))
    {
    }
    log_field(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }
    log_field(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
};

// Writes structured events. Never throws and never blocks the caller.
class logger {
public:
    virtual ~logger() = default;
    virtual void write(log_level level, std::string_view event, std::initializer_list<log_field> fields) = 0;
};

// Discards every event.
class null_logger final : public logger {
public:
    void write(log_level, std::string_view, std::initializer_list<log_field>) override { }
};

} // namespace pollen
