#include "mutatedtext.h"
#include "process/recordstore.h"
#include "standin_core/platformtable.h"
#include "version/schema.h"
#include "version/settingschange.h"
#include "version/settingsfeed.h"
#include "version/settingsreader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

namespace cicadagap {

namespace {

constexpr std::string_view Valid = R"({
    // A comment.
    "team": "valle",
    "groups": {"g": {"instances": {"t1": {"address": "127.0.0.1:1", "dataCentre": "cali"}}}},
    "statements": {"r": {"kind": "read", "maxAgeMs": 500}},
    "tokenKeys": ["k"],
})";

struct ProblemCase
{
    std::string name;
    std::string find;    // Text in Valid.
    std::string replace; // What replaces it.
    std::string problem; // Part of the text of the first problem.
};

std::ostream &operator<<(std::ostream &out, const ProblemCase &c)
{
    return out << c.name;
}

} // namespace

TEST(SettingsReader, ReadsValidSettings)
{
    Problems problems;
    const auto team = readTeamSettings(Valid, "f", &problems);
    ASSERT_TRUE(team);
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(team->groups.at("g").instances.at("t1").dataCentre, "cali");
    EXPECT_EQ(team->statements.at("r").maxAge, Millis(500));
    EXPECT_TRUE(team->classes.contains("default"));
}

class SettingsProblems : public testing::TestWithParam<ProblemCase>
{
};

TEST_P(SettingsProblems, AreReportedWithFileLineAndKey)
{
    std::string text(Valid);
    const std::size_t at = text.find(GetParam().find);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, GetParam().find.size(), GetParam().replace);
    Problems problems;
    EXPECT_FALSE(readTeamSettings(text, "f.json", &problems));
    ASSERT_FALSE(problems.empty());
    EXPECT_NE(problems[0].text().find(GetParam().problem), std::string::npos) << problems[0].text();
}

INSTANTIATE_TEST_SUITE_P(
    All, SettingsProblems,
    testing::Values(
        ProblemCase{"unknown key", "\"tokenKeys\"", "\"tokenkeys\"",
                    "f.json:6: tokenkeys: unknown key; expected one of: team"},
        ProblemCase{"wrong type", "\"valle\"", "7", "f.json:3: team: expected a non-empty string"},
        ProblemCase{"out of range", "500", "0",
                    "f.json:5: statements.r.maxAgeMs: out of range; expected 1 to 3600000"},
        ProblemCase{"bad address", "127.0.0.1:1", "cali:1",
                    "f.json:4: groups.g.instances.t1.address: \"cali:1\" is not an IP address"},
        ProblemCase{"team with a slash", "valle", "valle/x", "f.json:3: team: is not a name"},
        ProblemCase{"team with a line end", "valle", R"(valle\r\nx: y)",
                    "f.json:3: team: is not a name"},
        ProblemCase{"group with a NUL", "\"g\"", R"("g\u0000")", "is not a name"},
        ProblemCase{"group with a blank at its end", "\"g\"", "\"g \"", "is not a name"},
        ProblemCase{"group that is too long", "\"g\"", "\"" + std::string(101, 'g') + "\"",
                    "is not a name"},
        ProblemCase{"empty group", "\"g\"", "\"\"", "is not a name"},
        ProblemCase{"instance with a tilde", "\"t1\"", "\"t~1\"", "is not a name"},
        ProblemCase{"instance with a tab", "\"t1\"", R"("t\t1")", "is not a name"},
        ProblemCase{"bad choice", "\"read\"", "\"reed\"",
                    "f.json:5: statements.r.kind: \"reed\" is not one of: read|write"},
        ProblemCase{"missing", ", \"dataCentre\": \"cali\"", "",
                    "f.json:4: groups.g.instances.t1.dataCentre: missing; expected string"},
        ProblemCase{"unknown class", "\"maxAgeMs\": 500", "\"class\": \"x\"",
                    "f.json:5: statements.r.class: unknown class \"x\""},
        ProblemCase{"twice", "\"team\": \"valle\"", "\"team\": \"valle\", \"team\": \"v\"",
                    "f.json:3: team: the key appears twice"},
        ProblemCase{"no keys", "[\"k\"]", "[]", "f.json:6: tokenKeys: expected at least one key"},
        ProblemCase{"not JSON", "\"k\"]", "\"k\"", "f.json:7: not JSON"},
        ProblemCase{"cut off", "],\n}", "]", "not JSON: incomplete JSON"}));

constexpr std::string_view ValidHost = R"({
    "host": "cali-1",
    "dataCentre": "cali",
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "steward": "127.0.0.1:3",
    "platform": "127.0.0.1:4"
})";

class OddHostNames : public testing::TestWithParam<ProblemCase>
{
};

// Guards against this failure: a host's name became another header, or part of another name in the
// id of a transaction.
TEST_P(OddHostNames, AreReported)
{
    std::string text(ValidHost);
    Problems problems;
    ASSERT_TRUE(readHostSettings(text, "h.json", &problems));
    text.replace(text.find(GetParam().find), GetParam().find.size(), GetParam().replace);
    EXPECT_FALSE(readHostSettings(text, "h.json", &problems));
    ASSERT_FALSE(problems.empty());
    EXPECT_NE(problems[0].text().find(GetParam().problem), std::string::npos) << problems[0].text();
}

INSTANTIATE_TEST_SUITE_P(All, OddHostNames,
                         testing::Values(ProblemCase{"tilde", "cali-1", "cali~1",
                                                     "h.json:2: host: is not a name"},
                                         ProblemCase{"line end", "cali-1", R"(cali\r\nx: y)",
                                                     "h.json:2: host: is not a name"},
                                         ProblemCase{"blank at its start", "cali-1", " cali",
                                                     "h.json:2: host: is not a name"}),
                         [](const auto &info) {
                             std::string name = info.param.name;
                             std::replace(name.begin(), name.end(), ' ', '_');
                             return name;
                         });

TEST(SettingsReader, DoesNotCrashOnMutatedSettings)
{
    EXPECT_TRUE(rc::check([] {
        Problems problems;
        const auto team = readTeamSettings(mutated(std::string(Valid)), "f", &problems);
        RC_ASSERT(team.has_value() == problems.empty());
        Problems hostProblems;
        const auto host = readHostSettings(mutated(std::string(ValidHost)), "f", &hostProblems);
        RC_ASSERT(host.has_value() == hostProblems.empty());
    }));
}

TEST(SettingsReader, ReportsAllProblemsAtOnce)
{
    Problems problems;
    EXPECT_FALSE(readTeamSettings(R"({"team": 1, "nonsense": 2, "limits": {"agingMs": 1}})", "f",
                                  &problems));
    EXPECT_EQ(problems.size(), 6U); // Three wrong entries and three missing keys.
}

TEST(SettingsReader, YieldsSettingsExactlyIfThereAreNoProblems)
{
    EXPECT_TRUE(rc::check([] {
        std::string text(Valid);
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 30);
        text.replace(at, length, *rc::gen::arbitrary<std::string>());
        Problems problems;
        const auto team = readTeamSettings(text, "f", &problems);
        RC_ASSERT(team.has_value() == problems.empty());
    }));
}

TEST(Schema, ReferenceInTheDocsMatchesTheSchema)
{
    std::ifstream file(SOURCE_ROOT "/docs/OPERATIONS.md");
    const std::string docs(std::istreambuf_iterator<char>(file), {});
    EXPECT_NE(docs.find(markdownReference(teamRules())), std::string::npos)
        << "run `build/cicadagap reference` and put the tables into docs/OPERATIONS.md";
    EXPECT_NE(docs.find(markdownReference(hostRules())), std::string::npos);
}

namespace {

// Carries out the steps of one settings change on a table.
class Operator
{
public:
    Operator(PlatformTable *table, const std::string &team, const std::string &name)
        : m_table(table)
        , m_change({.team = team, .body = "body of " + name, .change = name})
        , m_action(m_change.start())
    {
    }

    bool finished() const { return m_action.step >= ChangeStep::Done; }
    const ChangeAction &result() const { return m_action; }

    // Carries out one step. In a transaction, `reachesTable` is whether the table receives it, and
    // `loseAnswer` whether its answer is lost.
    void step(bool reachesTable, bool loseAnswer)
    {
        switch (m_action.step) {
        case ChangeStep::ReadRows: {
            const auto team = m_table->row(SettingsPrefix + m_change.options().team);
            const auto head = m_table->row(SettingsHeadKey);
            m_action = m_change.onRows(team ? team->version : 0, head ? head->version : 0,
                                       head ? std::stoull(head->value) : 0);
            break;
        }
        case ChangeStep::Transact:
            m_action = transact(reachesTable, loseAnswer);
            break;
        case ChangeStep::ReadLogEntry: {
            const auto row = m_table->row(m_action.key);
            m_action = m_change.onLogEntry(row ? decodeLogEntry(row->value)->change : "");
            break;
        }
        default:
            break;
        }
    }

private:
    ChangeAction transact(bool reachesTable, bool loseAnswer)
    {
        const std::uint64_t next = m_change.head() + 1;
        const std::string teamKey = SettingsPrefix + m_change.options().team;
        const SettingsLogEntry entry{m_change.options().team, m_change.options().change};
        bool applied = false;
        if (reachesTable) {
            applied = m_table->transact(
                {{teamKey, m_change.teamVersion()}, {SettingsHeadKey, m_change.headVersion()}},
                {{teamKey, m_change.options().body},
                 {SettingsHeadKey, std::to_string(next)},
                 {settingsLogKey(next), encodeLogEntry(entry)}});
        }
        if (loseAnswer || !reachesTable)
            return m_change.onTransacted(Verdict::MayHaveRun);
        return m_change.onTransacted(applied ? Verdict::Ran : Verdict::NotRun);
    }

    PlatformTable *m_table;
    SettingsChange m_change;
    ChangeAction m_action;
};

} // namespace

// Concurrent operators whose answers may be lost: a change that is reported as done is in the
// change log exactly once, one that is reported as refused is not in it, and so each version has
// one writer.
TEST(SettingsChange, IsAppliedAtMostOnceByConcurrentOperators)
{
    EXPECT_TRUE(rc::check([] {
        PlatformTable table;
        std::vector<Operator> operators;
        operators.reserve(4);
        for (int i = 0; i < 4; ++i)
            operators.emplace_back(&table, i < 3 ? "valle" : "ashgrove", "op" + std::to_string(i));
        const auto order = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 16));
        for (const int choice : order)
            operators[static_cast<std::size_t>(choice % 4)].step(choice < 12, choice % 3 == 0);
        std::map<std::string, int> logged;
        for (const auto &row : table.scan(SettingsLogPrefix, "", 1000))
            ++logged[decodeLogEntry(row.second.value)->change];
        for (std::size_t i = 0; i < operators.size(); ++i) {
            const int count = logged["op" + std::to_string(i)];
            RC_ASSERT(count <= 1);
            if (operators[i].result().step == ChangeStep::Done)
                RC_ASSERT(count == 1);
            if (operators[i].result().step == ChangeStep::Refused)
                RC_ASSERT(count == 0);
        }
    }));
}

namespace {

// Answers the reads of a feed from a table until the feed requests no more.
void answerReads(PlatformTable *table, SettingsFeed *feed, std::vector<FeedAction> actions,
                 Millis now, std::vector<FeedRecord> *records)
{
    const auto rows = [table](const std::string &prefix, const std::string &after) {
        std::vector<FeedRow> result;
        for (const auto &row : table->scan(prefix, after, 2))
            result.push_back({row.first, row.second.version, row.second.value, row.second.epoch,
                              table->epoch()});
        return result;
    };
    while (!actions.empty()) {
        const FeedAction action = actions.front();
        switch (action.step) {
        case FeedStep::ReadHead: {
            const auto head = table->row(action.key);
            actions = feed->onHead(now,
                                   FeedHead{.number = head ? std::stoull(head->value) : 0,
                                            .tableEpoch = table->epoch()});
            break;
        }
        case FeedStep::ReadLog:
            actions = feed->onLog(now, rows(SettingsLogPrefix, action.key));
            break;
        case FeedStep::ReadAll:
            actions = feed->onAll(now, rows(SettingsPrefix, action.key), records);
            break;
        case FeedStep::ReadTeam: {
            const auto row = table->row(action.key);
            actions = feed->onTeam(
                now, FeedRow{action.key, row->version, row->value, row->epoch, table->epoch()},
                records);
            break;
        }
        }
    }
}

// Applies one change of the settings of `team`.
void applyChange(PlatformTable *table, const std::string &team)
{
    Operator change(table, team,
                    team + std::to_string(table->scan("settings-log/", "", 999).size()));
    while (!change.finished())
        change.step(true, false);
}

} // namespace

TEST(SettingsFeed, ReadsAllTeamsOnceAndThenOnlyChanges)
{
    PlatformTable table;
    for (const std::string team : {"a", "b", "c"})
        applyChange(&table, team);
    SettingsFeed feed({});
    std::vector<FeedRecord> records;
    answerReads(&table, &feed, feed.onTick(Millis(0), true), Millis(0), &records);
    EXPECT_EQ(records.size(), 3U);
    EXPECT_EQ(feed.confirmedAt(), Millis(0));
    records.clear();
    answerReads(&table, &feed, feed.onTick(Millis(1000), true), Millis(1000), &records);
    EXPECT_TRUE(records.empty());
    for (int i = 0; i < 2; ++i)
        applyChange(&table, "b");
    answerReads(&table, &feed, feed.onTick(Millis(2000), true), Millis(2000), &records);
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].team, "b");
    EXPECT_EQ(records[0].version, 3U);
}

// A table that can be restored from a copy, and the hosts that read it.
class RestoredTable : public testing::Test
{
protected:
    // The hosts take over what changed.
    void read(Millis now)
    {
        std::vector<FeedRecord> records;
        answerReads(&table, &feed, feed.onTick(now, true), now, &records);
        for (const FeedRecord &record : records)
            hosts.merge({record.team, record.version, record.body, record.epoch});
    }

    PlatformTable table;
    SettingsFeed feed{SettingsFeed::Options{}};
    RecordStore hosts;
};

// The number of a lost change was given out again, for a change of another team.
TEST_F(RestoredTable, MissesNoChangeWhoseNumberWasGivenOutBefore)
{
    for (const std::string team : {"a", "b"})
        applyChange(&table, team);
    table.keepCopy();
    applyChange(&table, "a");
    applyChange(&table, "a");
    read(Millis(0));
    EXPECT_EQ(hosts.find("a")->version, 3U);
    table.putBack();
    applyChange(&table, "b");
    applyChange(&table, "a");
    read(Millis(1000));
    EXPECT_EQ(hosts.find("b")->version, 2U);
    EXPECT_EQ(hosts.find("b")->epoch, 2U);
    // A change of the later epoch is newer than the lost ones of higher versions.
    EXPECT_EQ(hosts.find("a")->version, 2U);
    EXPECT_EQ(hosts.find("a")->epoch, 2U);
}

// What was not written again since the copy is older than what the hosts hold.
TEST_F(RestoredTable, BringsNoOlderSettingsBack)
{
    applyChange(&table, "a");
    table.keepCopy();
    applyChange(&table, "a");
    read(Millis(0));
    table.putBack();
    read(Millis(1000));
    EXPECT_EQ(hosts.find("a")->version, 2U);
}

TEST(SettingsFeed, ReadsAgainWhatWasReadInAnotherEpochThanTheHead)
{
    SettingsFeed feed({});
    ASSERT_EQ(feed.onTick(Millis(0), true).size(), 1U);
    ASSERT_EQ(feed.onHead(Millis(0), FeedHead{.number = 3, .tableEpoch = 2}).size(), 1U);
    std::vector<FeedRecord> records;
    const std::vector<FeedRow> rows{{.key = "settings/a", .version = 9, .tableEpoch = 1}};
    EXPECT_TRUE(feed.onAll(Millis(0), rows, &records).empty());
    EXPECT_TRUE(records.empty());
    EXPECT_EQ(feed.confirmedAt(), std::nullopt);
    // An earlier epoch's head that arrives late.
    ASSERT_EQ(feed.onTick(Millis(10'000), true).size(), 1U);
    EXPECT_TRUE(feed.onHead(Millis(10'000), FeedHead{.number = 9, .tableEpoch = 1}).empty());
    EXPECT_EQ(feed.confirmedAt(), std::nullopt);
}

// The answer of the transaction came in another epoch than the versions that it checks.
TEST(PlatformTable, RefusesATransactionOfAnEarlierEpoch)
{
    PlatformTable table;
    table.keepCopy();
    ASSERT_TRUE(table.transact({{"a", 0}}, {{"a", "first"}}, 1));
    table.putBack();
    ASSERT_TRUE(table.transact({{"a", 0}}, {{"a", "second"}}, 2));
    EXPECT_FALSE(table.transact({{"a", 1}}, {{"a", "third"}}, 1));
    EXPECT_EQ(table.row("a")->value, "second");
}

TEST(SettingsFeed, BacksOffWhileThePlatformDoesNotAnswer)
{
    SettingsFeed feed({});
    int reads = 0;
    for (int ms = 0; ms < 60'000; ms += 20) {
        if (!feed.onTick(Millis(ms), true).empty()) {
            ++reads;
            feed.onHead(Millis(ms), std::nullopt);
        }
    }
    EXPECT_LE(reads, 12); // After 1, 2 and 4 seconds, and then every 8 seconds.
    EXPECT_EQ(feed.confirmedAt(), std::nullopt);
}

TEST(SettingsFeed, OnlyPlatformReadersRead)
{
    SettingsFeed feed({});
    EXPECT_TRUE(feed.onTick(Millis(0), false).empty());
}

} // namespace cicadagap
