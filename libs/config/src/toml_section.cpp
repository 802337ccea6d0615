#include <config/toml_section.h>

#include <array>
#include <charconv>

namespace pollen {

namespace {

struct unit {
    std::string_view suffix;
    int64_t factor;
};

constexpr std::array<unit, 4> timeUnits { { { "us", 1 }, { "ms", 1000 }, { "s", 1000000 }, { "min", 60000000 } } };
constexpr std::array<unit, 3> sizeUnits { { { "KiB", 1 << 10 }, { "MiB", 1 << 20 }, { "B", 1 } } };

// Zero when the text is not a positive whole number with one of the units.
template <size_t Count> int64_t parseWithUnit(const std::string& text, const std::array<unit, Count>& units)
{
    int64_t value = 0;
    const char* last = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), last, value);
    if (problem != std::errc() || value <= 0)
        return 0;
    const std::string_view suffix(end, static_cast<size_t>(last - end));
    for (const unit& candidate : units) {
        constexpr int64_t highest = INT64_MAX / 60000000;
        if (suffix == candidate.suffix && value <= highest)
            return value * candidate.factor;
    }
    return 0;
}

unsigned lineOf(const toml::node& node) { return node.source().begin.line; }

} // namespace

toml::table parseToml(const std::string& text, const std::string& file)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& problem) {
        throw settings_error(settings_problem::Syntax, file, problem.source().begin.line, "document",
            std::string(problem.description()));
    }
}

toml_section::toml_section(const toml::table& table, std::string file, std::string path)
    : m_table(table)
    , m_file(std::move(file))
    , m_path(std::move(path))
{
}

void toml_section::fail(settings_problem problem, const std::string& key, const std::string& detail) const
{
    const toml::node* node = m_table.get(key);
    const unsigned line = node ? lineOf(*node) : lineOf(m_table);
    const std::string path = m_path.empty() ? key : m_path + "." + key;
    throw settings_error(problem, m_file, line, path, detail);
}

const toml::node* toml_section::find(const std::string& key)
{
    m_read.insert(key);
    return m_table.get(key);
}

const toml::node& toml_section::require(const std::string& key)
{
    const toml::node* node = find(key);
    if (!node)
        fail(settings_problem::MissingKey, key, "is required");
    return *node;
}

std::string toml_section::text(const std::string& key)
{
    const auto value = require(key).value_exact<std::string>();
    if (!value)
        fail(settings_problem::WrongType, key, "must be text");
    if (value->empty())
        fail(settings_problem::BadValue, key, "must not be empty");
    return *value;
}

std::string toml_section::text(const std::string& key, const std::string& otherwise)
{
    return find(key) ? text(key) : otherwise;
}

std::vector<std::string> toml_section::texts(const std::string& key)
{
    const toml::node* node = find(key);
    if (!node)
        return {};
    if (!node->is_array())
        fail(settings_problem::WrongType, key, "must be an array of text");
    std::vector<std::string> values;
    for (const toml::node& element : *node->as_array()) {
        const auto value = element.value_exact<std::string>();
        if (!value || value->empty())
            fail(settings_problem::WrongType, key, "must be an array of text that is not empty");
        values.push_back(*value);
    }
    return values;
}

bool toml_section::flag(const std::string& key, bool otherwise)
{
    const toml::node* node = find(key);
    if (!node)
        return otherwise;
    const auto value = node->value_exact<bool>();
    if (!value)
        fail(settings_problem::WrongType, key, "must be true or false");
    return *value;
}

int64_t toml_section::integer(const std::string& key, int64_t otherwise, int64_t lowest, int64_t highest)
{
    const toml::node* node = find(key);
    if (!node)
        return otherwise;
    const auto value = node->value_exact<int64_t>();
    if (!value)
        fail(settings_problem::WrongType, key, "must be a whole number");
    if (*value < lowest || *value > highest)
        fail(settings_problem::OutOfRange, key,
            "must lie between " + std::to_string(lowest) + " and " + std::to_string(highest));
    return *value;
}

double toml_section::numberOf(const toml::node& node, const std::string& key, double lowest, double highest) const
{
    if (!node.is_number())
        fail(settings_problem::WrongType, key, "must be a number");
    const double value = node.value<double>().value_or(lowest - 1);
    if (!(value >= lowest && value <= highest))
        fail(settings_problem::OutOfRange, key,
            "must lie between " + std::to_string(lowest) + " and " + std::to_string(highest));
    return value;
}

double toml_section::number(const std::string& key, double lowest, double highest)
{
    return numberOf(require(key), key, lowest, highest);
}

double toml_section::number(const std::string& key, double otherwise, double lowest, double highest)
{
    const toml::node* node = find(key);
    return node ? numberOf(*node, key, lowest, highest) : otherwise;
}

duration toml_section::span(const std::string& key, duration otherwise)
{
    if (!find(key))
        return otherwise;
    const int64_t microseconds = parseWithUnit(text(key), timeUnits);
    if (microseconds == 0)
        fail(settings_problem::BadUnit, key, "must be a positive span such as \"250ms\", \"5s\" or \"2min\"");
    return duration(microseconds);
}

size_t toml_section::bytes(const std::string& key, size_t otherwise)
{
    if (!find(key))
        return otherwise;
    const int64_t size = parseWithUnit(text(key), sizeUnits);
    if (size == 0)
        fail(settings_problem::BadUnit, key, "must be a positive size such as \"512B\", \"64KiB\" or \"4MiB\"");
    return static_cast<size_t>(size);
}

endpoint toml_section::address(const std::string& key)
{
    try {
        return parseEndpoint(text(key));
    } catch (const endpoint_error& problem) {
        fail(settings_problem::BadValue, key, problem.what());
    }
}

toml_section toml_section::section(const std::string& key)
{
    const toml::table* table = require(key).as_table();
    if (!table)
        fail(settings_problem::WrongType, key, "must be a table");
    return { *table, m_file, m_path.empty() ? key : m_path + "." + key };
}

std::optional<toml_section> toml_section::optionalSection(const std::string& key)
{
    if (!find(key))
        return std::nullopt;
    return section(key);
}

std::vector<toml_section> toml_section::sections(const std::string& key)
{
    const toml::node* node = find(key);
    if (!node)
        return {};
    if (!node->is_array())
        fail(settings_problem::WrongType, key, "must be an array of tables");
    std::vector<toml_section> result;
    for (const toml::node& element : *node->as_array()) {
        if (!element.is_table())
            fail(settings_problem::WrongType, key, "must be an array of tables");
        result.emplace_back(*element.as_table(), m_file, m_path.empty() ? key : m_path + "." + key);
    }
    return result;
}

std::vector<std::pair<std::string, double>> toml_section::numbers(double lowest, double highest)
{
    std::vector<std::pair<std::string, double>> result;
    for (const auto& [key, node] : m_table) {
        const std::string name(key.str());
        result.emplace_back(name, number(name, lowest, highest));
    }
    return result;
}

void toml_section::finish() const
{
    for (const auto& [key, node] : m_table) {
        if (!m_read.contains(std::string(key.str())))
            fail(settings_problem::UnknownKey, std::string(key.str()), "is not a known key");
    }
}

} // namespace pollen
