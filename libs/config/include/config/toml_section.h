#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <config/settings_error.h>
#include <optional>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace pollen {

// Parses a document; throws settings_error with the place of a syntax error.
toml::table parseToml(const std::string& text, const std::string& file);

// Reads the keys of one TOML table and remembers which were read, so that a key nobody knows is refused. All members
// throw settings_error with file, line and dotted key.
class toml_section {
public:
    toml_section(const toml::table& table, std::string file, std::string path);

    bool has(const std::string& key) const { return m_table.contains(key); }

    std::string text(const std::string& key);
    std::string text(const std::string& key, const std::string& otherwise);
    std::vector<std::string> texts(const std::string& key);
    bool flag(const std::string& key, bool otherwise);
    // Whole number within [lowest, highest].
    int64_t integer(const std::string& key, int64_t otherwise, int64_t lowest, int64_t highest);
    // Number within [lowest, highest].
    double number(const std::string& key, double lowest, double highest);
    double number(const std::string& key, double otherwise, double lowest, double highest);
    // Text such as "250ms" or "5s", greater than zero.
    duration span(const std::string& key, duration otherwise);
    // Text such as "64KiB" or "4MiB", greater than zero.
    size_t bytes(const std::string& key, size_t otherwise);
    endpoint address(const std::string& key);

    // Sub-table; throws when missing.
    toml_section section(const std::string& key);
    // Sub-table, or none.
    std::optional<toml_section> optionalSection(const std::string& key);
    // Elements of an array of tables; empty when absent.
    std::vector<toml_section> sections(const std::string& key);
    // Every key with its number, for tables whose keys are names.
    std::vector<std::pair<std::string, double>> numbers(double lowest, double highest);

    // Refuses keys that nothing has read.
    void finish() const;

    [[noreturn]] void fail(settings_problem problem, const std::string& key, const std::string& detail) const;
    const toml::table& table() const { return m_table; }

private:
    const toml::node* find(const std::string& key);
    const toml::node& require(const std::string& key);
    double numberOf(const toml::node& node, const std::string& key, double lowest, double highest) const;

    const toml::table& m_table;
    std::string m_file;
    std::string m_path;
    std::set<std::string> m_read;
};

} // namespace pollen
