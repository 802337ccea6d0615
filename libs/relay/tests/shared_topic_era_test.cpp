#include "sync_daemon.h"

#include <gtest/gtest.h>

namespace pollen {

namespace {

const time_point start { std::chrono::seconds(1000) };
using contents = std::map<std::string, std::string>;

// Values are numbers, and of two numbers with as many digits the greater one is newer. Others do not tell.
class numbered_listener final : public topic_listener {
public:
    bool onKey(const std::string& key, const std::optional<std::string>& value) override
    {
        if (value)
            values[key] = *value;
        else
            values.erase(key);
        return true;
    }
    void onSynced(time_point) override { }
    std::partial_ordering compareAge(
        const std::string&, const std::string& value, const std::string& other) const override
    {
        return value.size() == other.size() ? value <=> other : std::partial_ordering::unordered;
    }

    contents values;
};

struct known_topic {
    explicit known_topic(std::optional<shared_topic::lapse_times> lapse = std::nullopt)
        : topic(listener, lapse)
    {
    }

    numbered_listener listener;
    shared_topic topic;
};

constexpr shared_topic::lapse_times lapse { std::chrono::seconds(4), std::chrono::seconds(7) };

} // namespace

// Guards against CONFIG: what a restored store shows replaces what is known, or newer records are held off by it.
TEST(SharedTopicEra, WhatARecordSaysDecidesWhereTheCopyCannot)
{
    struct era_case {
        const char* what;
        topic_record known;
        topic_record read;
        const char* expected;
    };
    const std::vector<era_case> cases {
        { "a record of the copy", { "k", "2", { 1, 9 } }, { "k", "1", { 2, 5 }, true }, "2" },
        { "one that says that it is newer", { "k", "2", { 1, 9 } }, { "k", "3", { 2, 5 }, true }, "3" },
        { "one that stood before and does not tell", { "k", "2", { 1, 9 } }, { "k", "10", { 2, 5 }, true }, "2" },
        { "one that stood later and does not tell", { "k", "2", { 1, 9 } }, { "k", "10", { 2, 10 }, true }, "10" },
        { "another one at the same offset", { "k", "2", { 1, 9 } }, { "k", "10", { 2, 9 }, true }, "10" },
        { "one written in the new era", { "k", "2", { 1, 9 } }, { "k", "1", { 2, 5 } }, "1" },
        { "one of the era before, against the copy", { "k", "1", { 2, 5 }, true }, { "k", "2", { 1, 9 } }, "2" },
        { "one of the era before, against a new one", { "k", "1", { 2, 5 } }, { "k", "2", { 1, 9 } }, "1" },
        { "one of the same era", { "k", "2", { 2, 5 } }, { "k", "1", { 2, 6 } }, "1" },
        { "one after two restores", { "k", "2", { 1, 9 } }, { "k", "1", { 3, 5 }, true }, "2" },
        { "one of a store that tells no era", { "k", "2", { 0, 5 } }, { "k", "1", { 0, 6 } }, "1" },
    };
    for (const era_case& item : cases) {
        known_topic known;
        known.topic.apply(item.known);
        known.topic.markSynced({ item.known.position.era, item.known.position.offset + 1 }, start);
        known.topic.apply(item.read);
        EXPECT_EQ(known.listener.values, (contents { { "k", item.expected } })) << item.what;
    }
}

TEST(SharedTopicEra, ACarriedRecordIsConfirmedByAnEqualOne)
{
    known_topic known;
    known.topic.apply({ "lost", "1", { 1, 3 } });
    known.topic.apply({ "kept", "1", { 1, 2 } });
    known.topic.markSynced({ 1, 4 }, start);
    EXPECT_TRUE(known.topic.unconfirmed().empty());
    known.topic.apply({ "kept", "1", { 2, 2 }, true });
    known.topic.markSynced({ 2, 3 }, start);
    ASSERT_EQ(known.topic.unconfirmed().size(), 1U);
    EXPECT_EQ(known.topic.unconfirmed().front().key, "lost");
    known.topic.apply({ "lost", "1", { 2, 3 } });
    EXPECT_TRUE(known.topic.unconfirmed().empty());
}

// Guards against DRAIN: a server that had left comes back with the copy. Guards against servers without work, too.
TEST(SharedTopicEra, KeysLapseAndDoubtfulOnesAreAcceptedLater)
{
    known_topic known(lapse);
    known.topic.apply({ "left", "ready", { 1, 1 } });
    known.topic.apply({ "left", "leaving", { 1, 6 } });
    known.topic.apply({ "dead", "ready", { 1, 7 } });
    known.topic.markSynced({ 1, 8 }, start);
    known.topic.apply({ "left", "ready", { 2, 1 }, true });
    known.topic.apply({ "unknown", "ready", { 2, 2 }, true });
    known.topic.markSynced({ 2, 3 }, start);
    EXPECT_EQ(known.listener.values, (contents { { "left", "leaving" }, { "dead", "ready" } }));
    known.topic.apply({ "left", std::nullopt, { 2, 3 } });
    known.topic.markSynced({ 2, 4 }, start + lapse.unconfirmed);
    EXPECT_EQ(known.listener.values, (contents {})) << "no server repeats the entry of the dead one";
    known.topic.markSynced({ 2, 4 }, start + lapse.doubtful);
    EXPECT_EQ(known.listener.values, (contents { { "unknown", "ready" } }));
}

// One daemon has read the new era; the other knows more of the old one and is cut off from the store.
TEST(SharedTopicEra, DaemonsOfDifferentErasKeepWhatEitherKnows)
{
    known_topic ahead(lapse);
    ahead.topic.apply({ "left", "leaving", { 1, 6 } });
    ahead.topic.markSynced({ 1, 7 }, start);
    ahead.topic.apply({ "left", "ready", { 2, 1 }, true });
    ahead.topic.apply({ "new", "ready", { 2, 3 } });
    ahead.topic.markSynced({ 2, 4 }, start);
    known_topic behind(lapse);
    behind.topic.apply({ "left", "ready", { 1, 1 } });
    behind.topic.apply({ "last", "ready", { 1, 8 } });
    behind.topic.markSynced({ 1, 9 }, start);
    EXPECT_EQ(ahead.topic.changeSince(ahead.topic.state(), start)->records.size(), 0U) << "nothing is sent twice";
    ahead.topic.apply(*behind.topic.changeSince(ahead.topic.state(), start), start);
    EXPECT_EQ(ahead.topic.position(), (log_position { 2, 4 }));
    behind.topic.apply(*ahead.topic.changeSince(behind.topic.state(), start), start);
    EXPECT_EQ(behind.topic.position(), (log_position { 2, 4 }));
    EXPECT_EQ(behind.listener.values, (contents { { "left", "leaving" }, { "new", "ready" }, { "last", "ready" } }));
    // A daemon that started after the restore, and has only the copy, learns what the copy has forgotten.
    known_topic fresh(lapse);
    fresh.topic.apply({ "left", "ready", { 2, 1 }, true });
    fresh.topic.apply({ "new", "ready", { 2, 3 }, true });
    fresh.topic.markSynced({ 2, 4 }, start);
    fresh.topic.apply(*ahead.topic.changeSince(fresh.topic.state(), start), start);
    EXPECT_EQ(fresh.listener.values, (contents { { "left", "leaving" }, { "new", "ready" } }));
}

// Guards against a server that is not used: the record that follows a snapshot at once was taken for the deletion that
// the snapshot had shown.
TEST(SharedTopicEra, AKeyThatIsWrittenRightAfterASnapshotCounts)
{
    known_topic known;
    known.topic.apply({ "k", "1", { 1, 0 } });
    known.topic.markSynced({ 1, 1 }, start);
    known.topic.keepOnly({}, { 1, 5 });
    known.topic.markSynced({ 1, 5 }, start);
    EXPECT_EQ(known.listener.values, contents {});
    known.topic.apply({ "k", "2", { 1, 5 } });
    EXPECT_EQ(known.listener.values, (contents { { "k", "2" } }));
}

// Guards against servers that are never used: daemons that read the copy at the same time sent each other tombstones
// that both had or that were of the era before, and each dropped the record that the copy showed beside its own one.
TEST(SharedTopicEra, WhatAnotherDaemonCarriesLeavesDoubtfulRecords)
{
    struct position_case {
        const char* what;
        uint64_t first;
        uint64_t second;
    };
    for (const position_case& item : std::vector<position_case> {
             { "both have the same tombstone", 8, 8 }, { "the second one has a later tombstone", 8, 12 } }) {
        known_topic first(lapse);
        known_topic second(lapse);
        first.topic.apply({ "dead", "ready", { 1, 7 } });
        first.topic.markSynced({ 1, item.first }, start);
        second.topic.markSynced({ 1, item.second }, start);
        for (known_topic* daemon : { &first, &second }) {
            daemon->topic.apply({ "new", "ready", { 2, 3 }, true });
            daemon->topic.markSynced({ 2, 4 }, start);
        }
        const topic_change toSecond = *first.topic.changeSince(second.topic.state(), start);
        first.topic.apply(*second.topic.changeSince(first.topic.state(), start), start);
        second.topic.apply(toSecond, start);
        for (known_topic* daemon : { &first, &second }) {
            EXPECT_FALSE(daemon->listener.values.contains("new")) << item.what;
            daemon->topic.markSynced({ 2, 4 }, start + lapse.doubtful);
            EXPECT_TRUE(daemon->listener.values.contains("new")) << item.what;
        }
    }
}

// Guards against the same for a key whose carried record both daemons have dropped, at one position of the new era.
TEST(SharedTopicEra, TheEndOfAnUnconfirmedRecordLeavesTheDoubtfulOne)
{
    known_topic first(lapse);
    known_topic second(lapse);
    for (known_topic* daemon : { &first, &second }) {
        daemon->topic.apply({ "k", "10", { 1, 6 } });
        daemon->topic.markSynced({ 1, 7 }, start);
        daemon->topic.apply({ "k", "2", { 2, 2 }, true });
        daemon->topic.markSynced({ 2, 4 }, start);
        daemon->topic.markSynced({ 2, 4 }, start + lapse.unconfirmed);
        EXPECT_EQ(daemon->listener.values, contents {});
    }
    first.topic.apply(*second.topic.changeSince(first.topic.state(), start), start);
    first.topic.markSynced({ 2, 4 }, start + lapse.doubtful);
    EXPECT_EQ(first.listener.values, (contents { { "k", "2" } }));
}

// Guards against a record that is dropped although the store confirms it: it waited beside an older one.
TEST(SharedTopicEra, ADoubtfulRecordConfirmsAnEqualCarriedOne)
{
    known_topic known(lapse);
    known.topic.apply({ "k", "10", { 1, 6 } });
    known.topic.markSynced({ 1, 7 }, start);
    known.topic.apply({ "k", "2", { 2, 2 }, true });
    known.topic.markSynced({ 2, 4 }, start);
    known.topic.apply({ "k", "2", { 1, 8 } });
    known.topic.markSynced({ 2, 4 }, start + lapse.unconfirmed);
    EXPECT_EQ(known.listener.values, (contents { { "k", "2" } }));
    EXPECT_TRUE(known.topic.unconfirmed().empty());
}

// Guards against a server that is used although no entry of it stands: the store was restored once more, without the
// doubtful record; and against an earlier record that takes the place of the one that stands.
TEST(SharedTopicEra, DoubtfulRecordsAreThoseOfTheLastRestore)
{
    known_topic known(lapse);
    known.topic.apply({ "stands", "100", { 1, 6 } });
    known.topic.markSynced({ 1, 7 }, start);
    known.topic.apply({ "lost", "1", { 2, 2 }, true });
    known.topic.markSynced({ 2, 4 }, start);
    known.topic.apply({ "stands", "20", { 3, 1 }, true });
    known.topic.markSynced({ 3, 2 }, start);
    known.topic.apply({ "stands", "10", { 2, 1 }, true });
    known.topic.markSynced({ 3, 2 }, start + lapse.doubtful);
    EXPECT_EQ(known.listener.values, (contents { { "stands", "20" } }));
}

} // namespace pollen
