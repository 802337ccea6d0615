#include "sample_fleet.h"

#include <gtest/gtest.h>

namespace pollen {

namespace {

struct bad_document {
    const char* replaced;
    const char* by;
    settings_problem problem;
    const char* key;
};

void PrintTo(const bad_document& row, std::ostream* out) { *out << row.replaced << " -> " << row.by; }

class BadDocumentTest : public testing::TestWithParam<bad_document> { };

} // namespace

TEST(FleetDocument, ReadsEveryPart)
{
    const fleet_document document = parseFleetDocument(sampleFleet, "fleet.toml");
    EXPECT_EQ(document.classes.size(), 2U);
    EXPECT_EQ(document.versions.size(), 3U);
    EXPECT_EQ(document.versions[1].state, version_state::RollingOut);
    EXPECT_EQ(document.teams[0].allowed.size(), 1U);
    EXPECT_EQ(document.exceptions[0].reason, "trial");
    EXPECT_TRUE(isNonRepeatable(document.services[0], "POST", "/orders/7"));
    EXPECT_FALSE(isNonRepeatable(document.services[0], "GET", "/orders/7"));
    EXPECT_FALSE(isNonRepeatable(document.services[0], "POST", "/stock"));
}

TEST(FleetDocument, ReadsWhatItWrites)
{
    const fleet_document document = parseFleetDocument(sampleFleet, "fleet.toml");
    const std::string written = toToml(document);
    EXPECT_EQ(parseFleetDocument(written, "written"), document);
    EXPECT_EQ(toToml(parseFleetDocument(written, "written")), written);
}

TEST(FleetDocument, PatternsMatchModelsAndVersions)
{
    const version_ref ref { model_name("m"), version_name("v1") };
    EXPECT_TRUE(version_pattern { "*" }.matches(ref));
    EXPECT_TRUE(version_pattern { "m/*" }.matches(ref));
    EXPECT_TRUE(version_pattern { "m/v1" }.matches(ref));
    EXPECT_FALSE(version_pattern { "m/v2" }.matches(ref));
    EXPECT_FALSE(version_pattern { "n/*" }.matches(ref));
    EXPECT_FALSE(version_pattern { "m" }.matches(ref));
}

TEST_P(BadDocumentTest, IsRefusedWithItsPlace)
{
    std::string text = sampleFleet;
    const size_t at = text.find(GetParam().replaced);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, std::string(GetParam().replaced).size(), GetParam().by);
    try {
        parseFleetDocument(text, "fleet.toml");
        FAIL() << "accepted";
    } catch (const settings_error& problem) {
        EXPECT_EQ(problem.problem(), GetParam().problem) << problem.what();
        EXPECT_EQ(problem.key(), GetParam().key);
        EXPECT_GT(problem.line(), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, BadDocumentTest,
    testing::Values(bad_document { "quality_target = 0.9", "quality_target = 1.5", settings_problem::OutOfRange,
                        "class.quality_target" },
        bad_document {
            "quality_target = 0.9", "quality_target = nan", settings_problem::OutOfRange, "class.quality_target" },
        bad_document { "name = \"quick\"", "name = \"tender\"", settings_problem::Duplicate, "class.name" },
        bad_document { "name = \"v2\"", "name = \"v1\"", settings_problem::Duplicate, "model.version.name" },
        bad_document { "name = \"v2\"", "name = \"v/2\"", settings_problem::BadValue, "model.version.name" },
        bad_document {
            "state = \"rolling_out\"", "state = \"resting\"", settings_problem::BadValue, "model.version.state" },
        bad_document { "state = \"rolling_out\"", "state = \"active\"", settings_problem::Contradiction,
            "model.version.rollout_share" },
        bad_document { "quality = { tender = 0.95", "quality = { tander = 0.95", settings_problem::UnknownReference,
            "model.version.quality.tander" },
        bad_document { "\"POST /orders\"", "\"POST orders\"", settings_problem::BadValue, "service.non_repeatable" },
        bad_document { "default_class = \"tender\"", "default_class = \"x\"", settings_problem::UnknownReference,
            "team.default_class" },
        bad_document {
            "allowed = [\"big/*\"]", "allowed = [\"bog/*\"]", settings_problem::UnknownReference, "team.allowed" },
        bad_document { "allowed = [\"big/*\"]", "allowed = \"big/*\"", settings_problem::WrongType, "team.allowed" },
        bad_document { "reason = \"trial\"", "reason = \"  \"", settings_problem::BadValue, "exception.reason" },
        bad_document { "reason = \"trial\"", "", settings_problem::MissingKey, "exception.reason" },
        bad_document { "team = \"sales\"", "team = \"sails\"", settings_problem::UnknownReference, "exception.team" },
        bad_document { "key_sha256 = [\"aaaa", "key_sha256 = [\"zaaa", settings_problem::BadValue, "team.key_sha256" },
        bad_document { "key_sha256 = [\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
            "key_sha256 = [\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            settings_problem::Duplicate, "team.key_sha256" },
        bad_document {
            "currency = \"KES\"", "currency = \"KES\"\ncolour = 1", settings_problem::UnknownKey, "fleet.colour" }));

} // namespace pollen
