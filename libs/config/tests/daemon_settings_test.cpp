#include <config/daemon_settings.h>
#include <gtest/gtest.h>

namespace pollen {

namespace {

const std::string valid = R"([daemon]
id = "a-1"
failure_domain = "a"
session_secret = "0123456789abcdef"

[listen]
callers = "127.0.0.1:80"
operators = "127.0.0.1:81"
peers = "127.0.0.1:82"

[platform]
log = "127.0.0.1:83"
instances = "127.0.0.1:84"

[limits]
maximum_body = "64KiB"
request_timeout = "2min"
memory = "88MiB"
descriptors = 600
)";

struct bad_settings {
    const char* replaced;
    const char* by;
    settings_problem problem;
    const char* key;
    unsigned line;
};

void PrintTo(const bad_settings& row, std::ostream* out) { *out << row.replaced << " -> " << row.by; }

class BadSettingsTest : public testing::TestWithParam<bad_settings> { };

} // namespace

TEST(DaemonSettings, ReadsAValidFile)
{
    const daemon_settings settings = parseDaemonSettings(valid, "a.toml");
    EXPECT_EQ(settings.id, instance_id("a-1"));
    EXPECT_EQ(settings.platform->log, (endpoint { "127.0.0.1", 83 }));
    EXPECT_EQ(settings.limits.maximumBodyBytes, 65536U);
    EXPECT_EQ(settings.limits.requestTimeout, std::chrono::minutes(2));
    EXPECT_EQ(settings.limits.memoryBytes, size_t { 88 } << 20);
    EXPECT_EQ(settings.limits.descriptors, 600U);
}

TEST_P(BadSettingsTest, NamesFileLineAndKey)
{
    std::string text = valid;
    const size_t at = text.find(GetParam().replaced);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, std::string(GetParam().replaced).size(), GetParam().by);
    try {
        parseDaemonSettings(text, "a.toml");
        FAIL() << "accepted";
    } catch (const settings_error& problem) {
        EXPECT_EQ(problem.problem(), GetParam().problem) << problem.what();
        EXPECT_EQ(problem.file(), "a.toml");
        EXPECT_EQ(problem.key(), GetParam().key);
        EXPECT_EQ(problem.line(), GetParam().line);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, BadSettingsTest,
    testing::Values(bad_settings { "id = \"a-1\"", "id = 7", settings_problem::WrongType, "daemon.id", 2 },
        bad_settings { "id = \"a-1\"", "id = \"\"", settings_problem::BadValue, "daemon.id", 2 },
        bad_settings { "id = \"a-1\"", "", settings_problem::MissingKey, "daemon.id", 1 },
        bad_settings { "id = \"a-1\"", "id = \"a", settings_problem::Syntax, "document", 2 },
        bad_settings { "failure_domain", "failure_domian", settings_problem::MissingKey, "daemon.failure_domain", 1 },
        bad_settings { "0123456789abcdef", "short", settings_problem::BadValue, "daemon.session_secret", 4 },
        bad_settings { "127.0.0.1:81", "127.0.0.1:80", settings_problem::Contradiction, "listen.operators", 8 },
        bad_settings { "127.0.0.1:82", "localhost:82", settings_problem::BadValue, "listen.peers", 9 },
        bad_settings { "64KiB", "64kb", settings_problem::BadUnit, "limits.maximum_body", 16 },
        bad_settings { "64KiB", "-1KiB", settings_problem::BadUnit, "limits.maximum_body", 16 },
        bad_settings { "88MiB", "88", settings_problem::BadUnit, "limits.memory", 18 },
        bad_settings { "descriptors = 600", "descriptors = 0", settings_problem::OutOfRange, "limits.descriptors", 19 },
        bad_settings { "2min", "2", settings_problem::BadUnit, "limits.request_timeout", 17 },
        bad_settings { "2min", "0s", settings_problem::BadUnit, "limits.request_timeout", 17 },
        bad_settings { "2min", "99999999999999999min", settings_problem::BadUnit, "limits.request_timeout", 17 },
        bad_settings { "2min", "100ms", settings_problem::Contradiction, "limits.connect_timeout", 15 },
        bad_settings { "[limits]\nmaximum_body", "[limits]\nmaximum_bodies", settings_problem::UnknownKey,
            "limits.maximum_bodies", 16 },
        bad_settings {
            "[platform]", "fleet_file = \"x\"\n[platform]", settings_problem::UnknownKey, "listen.fleet_file", 11 },
        bad_settings { "[daemon]", "fleet_file = \"x\"\n[daemon]", settings_problem::Contradiction, "fleet_file", 1 },
        bad_settings { "[daemon]", "colour = \"x\"\n[daemon]", settings_problem::UnknownKey, "colour", 1 }));

} // namespace pollen
