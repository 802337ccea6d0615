#include "sample_fleet.h"

#include <base/random_source.h>
#include <config/configuration_fold.h>
#include <gtest/gtest.h>

namespace pollen {

namespace {

const version_ref bigV1 { model_name("big"), version_name("v1") };
const version_ref bigV2 { model_name("big"), version_name("v2") };
const version_ref none { model_name("none"), version_name("v1") };

configuration_record publish(const std::string& id, log_offset base, const std::string& document = sampleFleet)
{
    configuration_record record;
    record.kind = change_kind::Publish;
    record.id = id;
    record.base = base;
    record.document = document;
    return record;
}

configuration_record withdraw(const std::string& id, const version_ref& version)
{
    configuration_record record;
    record.kind = change_kind::Withdraw;
    record.id = id;
    record.version = version;
    return record;
}

configuration_record rollout(const std::string& id, log_offset base, const version_ref& version, double share)
{
    configuration_record record;
    record.kind = change_kind::Rollout;
    record.id = id;
    record.base = base;
    record.version = version;
    record.share = share;
    return record;
}

configuration_record reinstating(configuration_record record, const version_ref& version)
{
    record.reinstate = { version };
    return record;
}

struct fold_case {
    const char* name;
    std::vector<configuration_record> records;
    std::vector<verdict> verdicts;
    log_offset versionAfter;
};

void PrintTo(const fold_case& row, std::ostream* out) { *out << row.name; }

class FoldTest : public testing::TestWithParam<fold_case> { };

bool equalStates(const configuration_state& left, const configuration_state& right)
{
    const bool sameDocument
        = (!left.document && !right.document) || (left.document && right.document && *left.document == *right.document);
    return sameDocument && left.version == right.version && left.withdrawn == right.withdrawn;
}

} // namespace

TEST_P(FoldTest, DecidesEachRecord)
{
    configuration_fold fold;
    for (size_t i = 0; i < GetParam().records.size(); ++i) {
        const auto changes = fold.apply(i + 1, encodeRecord(GetParam().records[i]));
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes[0].result, GetParam().verdicts[i]) << "record " << i + 1 << ": " << changes[0].detail;
    }
    EXPECT_EQ(fold.state().version, GetParam().versionAfter);
}

INSTANTIATE_TEST_SUITE_P(Table, FoldTest,
    testing::Values(fold_case { "two racing publications: the first wins and the second is told",
                        { publish("a", 0), publish("b", 0) }, { verdict::Accepted, verdict::StaleBase }, 1 },
        fold_case { "a publication whose answer was lost is repeated harmlessly", { publish("a", 0), publish("a", 0) },
            { verdict::Accepted, verdict::Duplicate }, 1 },
        fold_case { "a late repeat does not bring an old document back",
            { publish("a", 0), publish("b", 1), publish("a", 0) },
            { verdict::Accepted, verdict::Accepted, verdict::Duplicate }, 2 },
        fold_case { "an invalid document changes nothing", { publish("a", 0, "[fleet]"), publish("b", 0) },
            { verdict::InvalidDocument, verdict::Accepted }, 2 },
        fold_case { "a withdrawal needs no base and beats a publication made before it",
            { publish("a", 0), withdraw("w", bigV1), publish("b", 1) },
            { verdict::Accepted, verdict::Accepted, verdict::StaleBase }, 2 },
        fold_case { "a withdrawn version does not return unnoticed",
            { publish("a", 0), withdraw("w", bigV1), publish("b", 2) },
            { verdict::Accepted, verdict::Accepted, verdict::ReinstatesWithdrawn }, 2 },
        fold_case { "a withdrawn version returns when the publication says so",
            { publish("a", 0), withdraw("w", bigV1), reinstating(publish("b", 2), bigV1) },
            { verdict::Accepted, verdict::Accepted, verdict::Accepted }, 3 },
        fold_case { "a roll-out does not revive a withdrawn version",
            { publish("a", 0), withdraw("w", bigV2), rollout("r", 2, bigV2, 0.5) },
            { verdict::Accepted, verdict::Accepted, verdict::ReinstatesWithdrawn }, 2 },
        fold_case { "two racing roll-outs: the first wins",
            { publish("a", 0), rollout("r", 1, bigV2, 0.5), rollout("s", 1, bigV2, 1) },
            { verdict::Accepted, verdict::Accepted, verdict::StaleBase }, 2 },
        fold_case { "a share beyond one is refused", { publish("a", 0), rollout("r", 1, bigV2, 1.5) },
            { verdict::Accepted, verdict::InvalidDocument }, 1 },
        fold_case { "unknown versions are refused",
            { withdraw("w", bigV1), publish("a", 0), withdraw("x", none), rollout("r", 2, none, 1) },
            { verdict::UnknownVersion, verdict::Accepted, verdict::UnknownVersion, verdict::UnknownVersion }, 2 }));

TEST(ConfigurationFold, UndecodableRecordsChangeNothing)
{
    configuration_fold fold;
    log_offset offset = 0;
    for (const char* text : { "", "{", "[]", "{\"kind\":\"publish\"}", "{\"kind\":7}", "\xff\xfe" }) {
        const auto changes = fold.apply(++offset, text);
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes[0].result, verdict::Undecodable) << text;
    }
    EXPECT_EQ(fold.state().version, 0U);
    EXPECT_EQ(fold.apply(++offset, encodeRecord(publish("a", 0)))[0].result, verdict::Accepted);
}

TEST(ConfigurationFold, WithdrawingMarksTheDocument)
{
    configuration_fold fold;
    fold.apply(1, encodeRecord(publish("a", 0)));
    fold.apply(2, encodeRecord(withdraw("w", bigV2)));
    const version_entry* entry = fold.state().document->findVersion(bigV2);
    EXPECT_EQ(entry->state, version_state::Withdrawn);
    EXPECT_EQ(entry->rolloutShare, 0);
}

TEST(ConfigurationFold, OffsetsThatWereAppliedAreIgnored)
{
    configuration_fold fold;
    fold.apply(1, encodeRecord(publish("a", 0)));
    EXPECT_TRUE(fold.apply(1, encodeRecord(withdraw("w", bigV1))).empty());
    EXPECT_EQ(fold.state().version, 1U);
}

TEST(ConfigurationFold, WaitsForASnapshotWhenRecordsHaveExpired)
{
    configuration_fold whole;
    whole.apply(1, encodeRecord(publish("a", 0)));
    whole.apply(2, encodeRecord(withdraw("w", bigV1)));
    const std::string snapshot = encodeRecord(whole.snapshot("s", "daemon"));
    // Between the state that the snapshot carries and the snapshot itself another change went in.
    const std::string late = encodeRecord(rollout("r", 2, bigV2, 0.5));
    whole.apply(3, late);
    whole.apply(4, snapshot);

    configuration_fold fresh;
    fresh.skipTo(3);
    EXPECT_EQ(fresh.apply(3, late)[0].result, verdict::Pending);
    EXPECT_EQ(fresh.state().version, 0U);
    EXPECT_EQ(fresh.apply(4, snapshot).size(), 2U);
    EXPECT_TRUE(equalStates(fresh.state(), whole.state()));
    // A change that was accepted before the snapshot is still known as a duplicate.
    EXPECT_EQ(fresh.apply(5, encodeRecord(publish("a", 0)))[0].result, verdict::Duplicate);
}

TEST(ConfigurationFold, AnOldSnapshotNeverTakesTheStateBack)
{
    configuration_fold fold;
    fold.apply(1, encodeRecord(publish("a", 0)));
    const std::string old = encodeRecord(fold.snapshot("s", "slow daemon"));
    fold.apply(2, encodeRecord(withdraw("w", bigV1)));
    fold.apply(3, old);
    EXPECT_EQ(fold.state().version, 2U);
    fold.skipTo(9);
    EXPECT_EQ(fold.apply(9, old)[0].result, verdict::StaleBase);
    EXPECT_EQ(fold.state().version, 2U);
    EXPECT_TRUE(fold.state().withdrawn.contains(bigV1));
}

TEST(ConfigurationFold, AStateFromAPeerIsNewerOrNotTaken)
{
    configuration_fold ahead;
    ahead.apply(1, encodeRecord(publish("a", 0)));
    ahead.apply(2, encodeRecord(withdraw("w", bigV1)));
    ahead.apply(3, encodeRecord(publish("late", 0)));
    const std::string state = encodeRecord(ahead.snapshot("s", "peer"));

    configuration_fold cutOff;
    cutOff.apply(1, encodeRecord(publish("a", 0)));
    EXPECT_TRUE(cutOff.adopt(state));
    EXPECT_TRUE(equalStates(cutOff.state(), ahead.state()));
    EXPECT_FALSE(cutOff.adopt(state)) << "equal is not newer";
    EXPECT_FALSE(ahead.adopt(encodeRecord(configuration_fold().snapshot("s", "peer"))));
    // The log is back: what the state contains is passed over, what comes after it counts.
    EXPECT_EQ(cutOff.apply(2, encodeRecord(withdraw("w", bigV1)))[0].result, verdict::Duplicate);
    EXPECT_EQ(cutOff.apply(3, encodeRecord(publish("late", 0)))[0].result, verdict::StaleBase);
    EXPECT_EQ(cutOff.apply(4, encodeRecord(rollout("r", 2, bigV2, 0.5)))[0].result, verdict::Accepted);
    EXPECT_EQ(cutOff.state().version, 4U);
    for (const char* text : { "", "{}", "nonsense" })
        EXPECT_THROW(cutOff.adopt(text), record_error) << text;
    EXPECT_THROW(cutOff.adopt(encodeRecord(publish("x", 9))), record_error);
}

TEST(ConfigurationFold, AStateFromAPeerTakesThePlaceOfExpiredRecords)
{
    configuration_fold ahead;
    ahead.apply(1, encodeRecord(publish("a", 0)));
    ahead.apply(2, encodeRecord(withdraw("w", bigV1)));
    configuration_fold fresh;
    EXPECT_TRUE(fresh.adopt(encodeRecord(ahead.snapshot("s", "peer"))));
    fresh.skipTo(3);
    EXPECT_EQ(fresh.apply(3, encodeRecord(rollout("r", 2, bigV2, 0.5)))[0].result, verdict::Accepted);
    fresh.skipTo(9);
    EXPECT_EQ(fresh.apply(9, encodeRecord(rollout("q", 3, bigV2, 1)))[0].result, verdict::Pending)
        << "records between 3 and 9 were never seen";
}

// Folds that start anywhere after the first snapshot reach the state of one that read everything.
TEST(ConfigurationFold, EveryReaderReachesTheSameState)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        random_source random(seed);
        std::vector<std::string> records;
        configuration_fold whole;
        const auto append = [&](const configuration_record& record) {
            records.push_back(encodeRecord(record));
            whole.apply(records.size(), records.back());
        };
        append(publish("first", 0));
        size_t lastSnapshot = 0;
        for (int i = 0; i < 40; ++i) {
            const std::string id = "id" + std::to_string(random() % 30);
            const log_offset base
                = whole.state().version - std::min<log_offset>(whole.state().version, random() % 3 / 2);
            const version_ref& version = random() % 2 == 0 ? bigV1 : bigV2;
            switch (random() % 4) {
            case 0:
                append(reinstating(publish(id, base), version));
                break;
            case 1:
                append(withdraw(id, version));
                break;
            case 2:
                append(rollout(id, base, version, 0.5));
                break;
            default:
                append(whole.snapshot(id, "daemon"));
                lastSnapshot = records.size();
            }
        }
        if (lastSnapshot == 0)
            continue;
        for (size_t start = 2; start <= lastSnapshot; ++start) {
            configuration_fold late;
            late.skipTo(start);
            for (size_t i = start; i <= records.size(); ++i)
                late.apply(i, records[i - 1]);
            EXPECT_TRUE(equalStates(late.state(), whole.state())) << "seed " << seed << " from offset " << start;
        }
    }
}

TEST(ConfigurationRecord, ReadsWhatItWrites)
{
    configuration_record record = reinstating(rollout("r", 2, bigV2, 0.5), bigV1);
    record.withdrawn = { bigV2 };
    record.recentIds = { "a", "b" };
    record.document = "x = \"\n\"";
    EXPECT_EQ(decodeRecord(encodeRecord(record)), record);
}

} // namespace pollen
