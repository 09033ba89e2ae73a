// Tests of the steps of a change of primary, one at a time. The group has the instances a (the
// primary of term 4), b and c, and one replica must hold a commit before it is acknowledged.
#include "session/primarychange.h"

#include "session/promotionlease.h"
#include "session/readlease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis Start(1000);
constexpr Millis ActUntil(3500);

// Records actions as short texts.
class ActionRecorder : public PrimaryChangeOutput
{
public:
    void acquireLease(const std::string &) override { actions.emplace_back("claim"); }
    void sendCommand(const std::string &instance, const Statement &statement) override
    {
        static constexpr NameTable<StatementKind, 4> Names{{{
            {StatementKind::Pause, "pause"},
            {StatementKind::Resume, "resume"},
            {StatementKind::StepDown, "stepdown"},
            {StatementKind::Status, "status"},
        }}};
        std::string text = std::string(Names.name(statement.kind)) + " " + instance;
        if (!statement.argument.empty())
            text += " " + statement.argument;
        actions.push_back(text);
    }
    int relayCommand(const std::string &instance, const Statement &) override
    {
        if (otherHosts > 0)
            actions.push_back("relay " + instance);
        return otherHosts;
    }
    void promote(const std::string &, const std::string &instance, std::uint64_t token) override
    {
        actions.push_back("promote " + instance + " " + std::to_string(token));
    }
    // The store records candidates at once, unless a test answers for it.
    void recordCandidate(const std::string &, const std::string &candidate,
                         std::uint64_t token) override
    {
        if (recordsCandidatesAtOnce) {
            recordedCandidates.push_back(candidate.empty() ? "none" : candidate);
            change->onCandidateRecorded(now, candidate, true);
            return;
        }
        actions.push_back("record " + (candidate.empty() ? std::string("none") : candidate) + " "
                          + std::to_string(token));
    }
    // The store records resumes at once, unless it is down.
    void recordResumes(const std::string &, const std::set<std::string> &instances,
                       std::uint64_t token) override
    {
        recordedResumes.push_back(instances);
        if (change)
            change->onResumesRecorded(instances, token, storeAnswers);
    }
    void stageChanged(const std::string &, PrimaryChangeStage, PrimaryChangeCause,
                      const std::string &) override
    {
    }

    std::vector<std::string> take()
    {
        std::vector<std::string> taken;
        taken.swap(actions);
        return taken;
    }
    bool has(const std::string &action) const
    {
        return std::find(actions.begin(), actions.end(), action) != actions.end();
    }

    std::vector<std::string> actions;
    std::vector<std::set<std::string>> recordedResumes;
    std::vector<std::string> recordedCandidates;
    bool recordsCandidatesAtOnce = true;
    Millis now = Start; // When the store answers.
    bool storeAnswers = true;
    int otherHosts = 0; // That may reach an instance.
    PrimaryChange *change = nullptr;
};

using Actions = std::vector<std::string>;

class PrimaryChangeTest : public testing::Test
{
protected:
    void begin(PrimaryChangeCause cause)
    {
        change.onTick(Start, cause, groupState());
        EXPECT_EQ(recorder.take(), Actions{"claim"});
        change.onLeaseResult(Start, {.fencingToken = 7, .actUntil = ActUntil});
    }

    GroupState groupState() const
    {
        return {.listed = {.instances = instances, .runsUntil = runsUntil, .readAt = listedAt},
                .primary = "a",
                .term = 4,
                .syncReplicas = 1,
                .unansweredResumes = unansweredResumes};
    }

    void reportPaused(const std::string &instance, std::uint64_t index)
    {
        change.onStatus(Start, instance, StatementKind::Pause,
                        {.term = 4, .received = {.term = 4, .index = index}, .pausedTerm = 5});
    }

    // The answer to a status query.
    void reportReceived(const std::string &instance, std::uint64_t index)
    {
        change.onStatus(Start, instance, StatementKind::Status,
                        {.term = 4, .received = {.term = 4, .index = index}});
    }

    std::map<std::string, Millis> runsUntil;
    std::set<std::string> unansweredResumes;
    Millis listedAt = Millis(1'000'000); // Newer than any lease.
    std::vector<RegisteredInstance> instances{{.id = "a"}, {.id = "b"}, {.id = "c"}};
    PrimaryChangeTest() { recorder.change = &change; }

    ActionRecorder recorder;
    PrimaryChange change{"group", &recorder};
};

TEST_F(PrimaryChangeTest, PromotesTheHighestOfAllInstancesButOne)
{
    begin(PrimaryChangeCause::Unreachable);
    EXPECT_EQ(recorder.take(), (Actions{"stepdown a 5", "pause b 5", "pause c 5"}));
    reportPaused("b", 10);
    EXPECT_EQ(recorder.take(), Actions{});
    reportPaused("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"promote c 7"});
    change.onPromotion(Start, PromotionResult::Accepted);
    change.onPrimary(Start, "c", 5);
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

// An instance that is not paused may follow a primary that this host does not know, and acknowledge
// its commits.
TEST_F(PrimaryChangeTest, DoesNotCountAnInstanceThatStillReceives)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.primary = false, .term = 5, .received = {.term = 5, .index = 20}});
    reportPaused("b", 10);
    EXPECT_FALSE(recorder.has("promote a 7"));
    EXPECT_FALSE(recorder.has("promote b 7"));
}

TEST_F(PrimaryChangeTest, StopsWhenAnotherInstanceIsPrimary)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    change.onStatus(Start, "c", StatementKind::Pause,
                    {.primary = true, .term = 5, .received = {.term = 5, .index = 20}});
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

// Guards against this failure (review/2): the old primary, which other hosts still reached, went on
// acknowledging with the help of an instance that started before the promotion took effect.
TEST_F(PrimaryChangeTest, LetsOtherHostsTellThePrimaryToStepDown)
{
    recorder.otherHosts = 2;
    begin(PrimaryChangeCause::Unreachable);
    EXPECT_TRUE(recorder.has("relay a"));
    reportPaused("b", 10);
    reportPaused("c", 12);
    EXPECT_FALSE(recorder.has("promote c 7"));
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 12}});
    EXPECT_TRUE(recorder.has("promote c 7"));
}

// This process has started lately, and what the old primary holds beyond the replicas may have been
// acknowledged. An instance that has it would have registered after a while.
TEST_F(PrimaryChangeTest, WaitsForAnInstanceThatCoversThePrimary)
{
    recorder.otherHosts = 2;
    begin(PrimaryChangeCause::Unreachable);
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 13}});
    reportPaused("b", 10);
    reportPaused("c", 12);
    recorder.now = Start + Millis(2400);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote c 7"));
    const Millis later = Start + Millis(3200);
    change.onTick(ActUntil, PrimaryChangeCause::Unreachable, groupState());
    change.onTick(later, PrimaryChangeCause::Unreachable, groupState());
    change.onLeaseResult(later, {.fencingToken = 8, .actUntil = later + Millis(2500)});
    recorder.now = later;
    change.onStatus(later, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 13}});
    for (const char *id : {"b", "c"})
        change.onStatus(later, id, StatementKind::Pause,
                        {.term = 4, .received = {.term = 4, .index = 12}, .pausedTerm = 7});
    EXPECT_TRUE(recorder.has("promote b 8") || recorder.has("promote c 8"));
}

// An instance whose entry expired meanwhile may not have registered again.
TEST_F(PrimaryChangeTest, DoesNotRelyOnTheListRightAfterTheStoreWasOutOfReach)
{
    change.onTick(Start - Millis(20'000), PrimaryChangeCause::None, groupState());
    listedAt = Start - Millis(6500);
    change.onTick(Start - Millis(1900), PrimaryChangeCause::None, groupState());
    listedAt = Start;
    begin(PrimaryChangeCause::Unreachable);
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 13}});
    reportPaused("b", 10);
    reportPaused("c", 12);
    recorder.now = Start + Millis(580);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote c 7"));
    recorder.now = Start + Millis(600);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("promote c 7"));
}

// The list is evidence of all receivers, so that the end of the old primary is not needed.
TEST_F(PrimaryChangeTest, DoesNotWaitForOtherHostsOnceTheListWasSeenForAWhile)
{
    recorder.otherHosts = 2;
    change.onTick(Start - Millis(20'000), PrimaryChangeCause::None, groupState());
    begin(PrimaryChangeCause::Unreachable);
    EXPECT_TRUE(recorder.has("relay a"));
    reportPaused("b", 10);
    reportPaused("c", 12);
    EXPECT_TRUE(recorder.has("promote c 7"));
}

TEST_F(PrimaryChangeTest, DoesNotWaitForHostsThatCannotReachThePrimary)
{
    recorder.otherHosts = 2;
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    change.onRelayFailed(Start);
    EXPECT_FALSE(recorder.has("promote c 7"));
    change.onRelayFailed(Start);
    EXPECT_TRUE(recorder.has("promote c 7"));
}

TEST_F(PrimaryChangeTest, WaitsOnlyBrieflyForOtherHosts)
{
    recorder.otherHosts = 2;
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    recorder.now = Start + Millis(149);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote c 7"));
    recorder.now = Start + Millis(150);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("promote c 7"));
}

TEST_F(PrimaryChangeTest, SealsAPrimaryThatSteppedDown)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.primary = false, .term = 4, .received = {.term = 4, .index = 20}});
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("pause a 6"));
    reportPaused("a", 20);
    reportPaused("b", 10);
    EXPECT_TRUE(recorder.has("promote a 7"));
}

// An instance that restarted may have lost its log, and with it entries that it had acknowledged.
TEST_F(PrimaryChangeTest, DoesNotCountARestartedInstanceThatIsBehind)
{
    change.onTick(Start - Millis(1000), PrimaryChangeCause::None, groupState());
    instances[2].incarnation = 1;
    change.onTick(Start - Millis(500), PrimaryChangeCause::None, groupState());
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    reportPaused("c", 0);
    EXPECT_FALSE(recorder.has("promote b 7"));
    reportPaused("a", 11);
    EXPECT_TRUE(recorder.has("promote a 7"));
}

// A restarted instance counts again once its log is as long as the others', or once it has run long
// enough to have received them.
TEST_F(PrimaryChangeTest, CountsARestartedInstanceThatHasCaughtUp)
{
    change.onTick(Start - Millis(1000), PrimaryChangeCause::None, groupState());
    instances[2].incarnation = 1;
    change.onTick(Start - Millis(500), PrimaryChangeCause::None, groupState());
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    reportPaused("c", 10);
    EXPECT_TRUE(recorder.has("promote b 7"));
}

TEST_F(PrimaryChangeTest, CountsAnInstanceThatRestartedLongAgo)
{
    change.onTick(Start - Millis(20'000), PrimaryChangeCause::None, groupState());
    instances[2].incarnation = 1;
    change.onTick(Start - Millis(19'000), PrimaryChangeCause::None, groupState());
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    reportPaused("c", 9);
    EXPECT_TRUE(recorder.has("promote b 7"));
}

TEST_F(PrimaryChangeTest, DoesNotReplaceALeavingPrimaryByAnotherThatLeaves)
{
    for (RegisteredInstance &instance : instances)
        instance.leaving = true;
    begin(PrimaryChangeCause::Leaving);
    for (Millis now = Start; now < ActUntil; now = now + Millis(100))
        change.onTick(now, PrimaryChangeCause::Leaving, groupState());
    for (const std::string &action : recorder.take())
        EXPECT_EQ(action, "status a");
}

// After its end, a new instance continues its log, receives from the old primary, and lets that
// acknowledge commits which the promoted one lacks.
TEST_F(PrimaryChangeTest, DoesNotCountTheSealOfAnInstanceThatMayEndBeforeThePromotion)
{
    instances[1].leaving = true;
    runsUntil["b"] = Start + Millis(1000);
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 12);
    reportPaused("c", 12);
    EXPECT_EQ(recorder.take(), Actions{});
    // Nothing is acknowledged any more once the old primary has stepped down.
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 12}});
    EXPECT_EQ(recorder.take(), Actions{"promote c 7"});
}

TEST_F(PrimaryChangeTest, CountsTheSealOfAnInstanceThatLeavesLater)
{
    instances[1].leaving = true;
    runsUntil["b"] = Start + Millis(4000);
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    reportPaused("c", 12);
    EXPECT_TRUE(recorder.has("promote c 7"));
}

// An instance that registered meanwhile receives from the old primary, which acknowledges what the
// sealed ones lack.
TEST_F(PrimaryChangeTest, PromotesNothingByAListFromLongBeforeTheLease)
{
    listedAt = Start - Millis(1001);
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    reportPaused("c", 12);
    EXPECT_FALSE(recorder.has("promote b 7"));
    listedAt = Start;
    instances.push_back({.id = "d"});
    change.onTick(Start + Millis(20), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote b 7"));
    change.onTick(Start + Millis(300), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("pause d 5"));
    reportPaused("d", 13);
    EXPECT_TRUE(recorder.has("promote d 7"));
}

// It would have to be replaced again at once.
TEST_F(PrimaryChangeTest, PromotesALeavingInstanceOnlyIfNoOtherFollows)
{
    instances[1].leaving = true;
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    reportPaused("c", 10);
    EXPECT_FALSE(recorder.has("promote b 7"));
    reportPaused("a", 12);
    EXPECT_TRUE(recorder.has("promote a 7"));
}

TEST_F(PrimaryChangeTest, PromotesALeavingInstanceThatAloneHoldsEverything)
{
    instances[1].leaving = true;
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    reportPaused("c", 10);
    EXPECT_FALSE(recorder.has("promote b 7"));
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote b 7"));
    recorder.now = Start + Millis(500);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("promote b 7"));
}

// A restart ends the pause, so the instance must be paused again.
TEST_F(PrimaryChangeTest, SealsAnInstanceAgainAfterItsRestart)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    instances[1].incarnation = 1;
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("pause b 5"));
    reportPaused("c", 12);
    EXPECT_FALSE(recorder.has("promote c 7"));
}

// A restarted instance's connections break before its entry in the store shows the restart.
TEST_F(PrimaryChangeTest, SealsAnInstanceAgainAfterItClosedAConnection)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    recorder.take();
    change.onConnectionLost(Start, "b");
    reportPaused("c", 12);
    EXPECT_FALSE(recorder.has("promote c 7"));
    change.onTick(Start + Millis(20), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("pause b 5"));
    reportPaused("b", 10);
    EXPECT_TRUE(recorder.has("promote c 7"));
}

TEST_F(PrimaryChangeTest, CountsAnInstanceThatDisappearedWithoutLeaving)
{
    change.onTick(Start, PrimaryChangeCause::None, groupState());
    instances.pop_back();
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote b 7"));
}

// How it becomes known that others hold what an ended replica received.
enum class Evidence {
    None,
    Commit,        // One that was sent after the end was acknowledged.
    EarlierCommit, // It was sent before the end.
    Position,      // Another replica covers the end of the primary's log after the end.
    Time,
};

constexpr NameTable<Evidence, 5> EvidenceNames{{{
    {Evidence::None, "none"},
    {Evidence::Commit, "commit"},
    {Evidence::EarlierCommit, "earlierCommit"},
    {Evidence::Position, "position"},
    {Evidence::Time, "time"},
}}};

// The replica c leaves and ends; the primary a then fails beside b and d.
class EndedReplica : public PrimaryChangeTest, public testing::WithParamInterface<Evidence>
{
};

TEST_P(EndedReplica, CountsUntilOthersAreKnownToHoldItsLog)
{
    instances.push_back({.id = "d"});
    instances[2].leaving = true;
    const Millis ended = Start - (GetParam() == Evidence::Time ? Millis(10'001) : Millis(1000));
    change.onTick(ended - Millis(100), PrimaryChangeCause::None, groupState());
    instances.erase(instances.begin() + 2);
    change.onTick(ended, PrimaryChangeCause::None, groupState());
    const Position end{.term = 4, .index = 12};
    if (GetParam() == Evidence::Commit)
        change.onCommitAcknowledged("a", ended + Millis(1));
    if (GetParam() == Evidence::EarlierCommit)
        change.onCommitAcknowledged("a", ended - Millis(1));
    if (GetParam() == Evidence::Position) {
        change.onPosition("a", ended + Millis(1), end);
        change.onPosition("d", ended + Millis(2), end);
    }
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("d", 12);
    const bool counts = GetParam() == Evidence::None || GetParam() == Evidence::EarlierCommit;
    EXPECT_EQ(recorder.has("promote d 7"), !counts);
}

INSTANTIATE_TEST_SUITE_P(All, EndedReplica,
                         testing::Values(Evidence::None, Evidence::Commit, Evidence::EarlierCommit,
                                         Evidence::Position, Evidence::Time),
                         [](const auto &info) {
                             return std::string(EvidenceNames.name(info.param));
                         });

// Replaces the leaving primary a, which still answers.
class Handover : public PrimaryChangeTest
{
protected:
    // Instance a, which leaves, takes new work for so long.
    void beginWithTimeLeft(Millis time)
    {
        instances[0].leaving = true;
        runsUntil["a"] = Start + time;
        begin(PrimaryChangeCause::Leaving);
    }
    // The time of a's notice is over, so that there is no fence.
    void beginAtTheEnd() { beginWithTimeLeft(Millis(0)); }

    void reportPrimary(std::uint64_t index)
    {
        change.onStatus(now, "a", StatementKind::Status,
                        {.primary = true, .term = 4, .received = {.term = 4, .index = index}});
    }

    void reportReceived(const std::string &instance, std::uint64_t index)
    {
        change.onStatus(now, instance, StatementKind::Status,
                        {.term = 4, .received = {.term = 4, .index = index}});
    }

    void reportSteppedDown(std::uint64_t index, std::uint64_t term = 4)
    {
        change.onStatus(now, "a", StatementKind::StepDown,
                        {.term = term, .received = {.term = 4, .index = index}});
    }

    void tick(Millis after)
    {
        now = now + after;
        recorder.now = now;
        change.onTick(now, PrimaryChangeCause::Leaving, groupState());
    }

    // Both replicas follow a, which is at `index`.
    void follow(std::uint64_t index)
    {
        reportPrimary(index);
        tick(Millis(60));
        reportReceived("b", index);
        reportReceived("c", index);
    }

    Millis now = Start;
};

TEST_F(Handover, LetsThePrimaryServeUntilAReplicaFollows)
{
    beginAtTheEnd();
    EXPECT_EQ(recorder.take(), (Actions{"status a", "status b", "status c"}));
    reportPrimary(11);
    reportReceived("b", 11);
    tick(Millis(60));
    EXPECT_EQ(recorder.take(), (Actions{"status a", "status b", "status c"}));
    reportPrimary(12);
    reportReceived("b", 10);
    EXPECT_EQ(recorder.take(), Actions{});
    reportReceived("c", 11);
    EXPECT_EQ(recorder.take(), Actions{"stepdown a 5"});
    EXPECT_EQ(recorder.recordedCandidates, std::vector<std::string>{"c"});
}

// Whichever instances the list lacks, what the old primary acknowledged is before its end.
TEST_F(Handover, PromotesOnlyAReplicaThatCoversTheEndOfTheOldPrimary)
{
    beginAtTheEnd();
    follow(11);
    recorder.take();
    reportSteppedDown(12);
    EXPECT_EQ(recorder.take(), (Actions{"status b", "status c"}));
    reportReceived("b", 11);
    EXPECT_EQ(recorder.take(), Actions{});
    reportReceived("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"promote c 7"});
    EXPECT_EQ(recorder.recordedCandidates.back(), "c");
}

// Its end would be taken for an earlier one.
TEST_F(Handover, IgnoresEarlierAnswersOfThePrimaryThatHasSteppedDown)
{
    beginAtTheEnd();
    follow(11);
    reportSteppedDown(12);
    reportPrimary(11);
    reportReceived("b", 11);
    EXPECT_FALSE(recorder.has("promote b 7"));
}

TEST_F(Handover, PromotesTheOldPrimaryAgainIfNoReplicaCoversItsEnd)
{
    beginAtTheEnd();
    runsUntil["a"] = Start + Millis(3000);
    follow(11);
    reportSteppedDown(12);
    reportReceived("b", 11);
    tick(Millis(180));
    EXPECT_FALSE(recorder.has("promote a 7"));
    recorder.take();
    tick(Millis(20));
    EXPECT_EQ(recorder.take(), Actions{"promote a 7"});
    change.onPromotion(now, PromotionResult::Accepted);
    change.onPrimary(now, "a", 5);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

// It would end soon after, and its successor has its log.
TEST_F(Handover, SealsAroundAnOldPrimaryThatNoReplicaCoversAndThatEnds)
{
    beginAtTheEnd();
    follow(11);
    reportSteppedDown(12);
    reportReceived("b", 11);
    recorder.take();
    tick(Millis(200));
    EXPECT_TRUE(recorder.has("pause b 5"));
    reportPaused("b", 11);
    reportPaused("c", 11);
    // The list may lack the one that received entry 12.
    EXPECT_FALSE(recorder.has("promote b 7"));
    EXPECT_FALSE(recorder.has("promote c 7"));
}

// A request is judged when it takes effect: the old primary would be promoted again after it has
// stepped down, and acknowledge what its successor lacks.
TEST_F(Handover, WaitsUntilTheFenceCannotTakeEffectAnyMore)
{
    beginWithTimeLeft(Millis(6000));
    follow(11);
    EXPECT_TRUE(recorder.has("promote a 7"));
    EXPECT_EQ(recorder.recordedCandidates, std::vector<std::string>{"a"});
    change.onPromotion(now, PromotionResult::Accepted);
    EXPECT_FALSE(recorder.has("stepdown a 5"));
    recorder.take();
    tick(Millis(1999));
    EXPECT_EQ(recorder.take(), Actions{});
    tick(Millis(1));
    EXPECT_EQ(recorder.take(), Actions{"claim"});
    change.onLeaseResult(now, {.fencingToken = 8, .actUntil = now + Millis(2500)});
    follow(13);
    EXPECT_TRUE(recorder.has("stepdown a 6"));
}

// What another holder has requested meanwhile is not known to be over.
TEST_F(Handover, RaisesTheTokenAgainIfAnotherHostHeldTheLease)
{
    beginWithTimeLeft(Millis(9000));
    follow(11);
    change.onPromotion(now, PromotionResult::Accepted);
    tick(Millis(2000));
    change.onLeaseResult(now, {.fencingToken = 9, .actUntil = now + Millis(2500)});
    recorder.take();
    follow(13);
    EXPECT_TRUE(recorder.has("promote a 9"));
    EXPECT_FALSE(recorder.has("stepdown a 6"));
}

// While the platform does not answer, the old primary serves on. Its own promotion may be carried
// out late, after it has stepped down.
TEST_F(Handover, KeepsThePrimaryWhileThePlatformDoesNotAnswer)
{
    beginWithTimeLeft(Millis(6000));
    follow(11);
    change.onPromotion(now, PromotionResult::Unknown);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    // The time of the primary is over, but the request is still open.
    runsUntil["a"] = Start + Millis(600);
    tick(Millis(600));
    change.onLeaseResult(now,
                         {.fencingToken = 8,
                          .actUntil = now + Millis(2500),
                          .openCandidate = "a",
                          .openUntil = now + Millis(9000)});
    recorder.take();
    follow(12);
    EXPECT_TRUE(recorder.has("promote a 8"));
    EXPECT_FALSE(recorder.has("stepdown a 6"));
}

// The platform would carry out both, and the late one would undo what the other one led to.
TEST_F(Handover, RequestsNothingElseUnderTheTokenOfAnUnansweredFence)
{
    beginWithTimeLeft(Millis(6000));
    follow(11);
    recorder.take();
    change.onTick(now + Millis(20), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
    change.onTick(now + Millis(40), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_EQ(recorder.take(), Actions{"claim"});
}

// Its end says nothing about what its successor acknowledged.
TEST_F(Handover, StopsIfThePrimaryWasReplacedBeforeItSteppedDown)
{
    beginAtTheEnd();
    follow(11);
    recorder.take();
    reportSteppedDown(12, /*term=*/5);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
}

TEST_F(Handover, SealsIfAnEarlierPromotionMayStillBeCarriedOut)
{
    instances[0].leaving = true;
    change.onTick(Start, PrimaryChangeCause::Leaving, groupState());
    change.onLeaseResult(Start,
                         {.fencingToken = 8,
                          .actUntil = ActUntil,
                          .openCandidate = "c",
                          .openUntil = Start + Millis(9000)});
    EXPECT_TRUE(recorder.has("pause b 5"));
    EXPECT_TRUE(recorder.has("pause c 5"));
    reportPaused("b", 12);
    EXPECT_FALSE(recorder.has("promote b 8"));
    reportPaused("c", 12);
    EXPECT_TRUE(recorder.has("promote c 8"));
}

// An earlier attempt has left the replicas sealed.
TEST_F(Handover, LetsPausedReplicasReceiveFirst)
{
    beginAtTheEnd();
    for (int i = 0; i < 16; ++i) {
        reportPrimary(20);
        for (const char *id : {"b", "c"})
            change.onStatus(now, id, StatementKind::Status,
                            {.term = 4, .received = {.term = 4, .index = 9}, .pausedTerm = 5});
        tick(Millis(60));
    }
    EXPECT_FALSE(recorder.has("stepdown a 5"));
    EXPECT_TRUE(recorder.has("promote a 7"));
    change.onPromotion(now, PromotionResult::Accepted);
    change.onPrimary(now, "a", 4);
    EXPECT_TRUE(recorder.has("resume b"));
    EXPECT_TRUE(recorder.has("resume c"));
}

// Where the log of an instance ends while a leaving primary is replaced, whatever is sent to it.
struct ReplicaCase
{
    std::string name;
    std::map<std::string, std::uint64_t> answering; // The last index of each that answers.
    std::string promoted;
};

class ReplicasOfALeavingPrimary : public PrimaryChangeTest,
                                  public testing::WithParamInterface<ReplicaCase>
{
protected:
    // Answers the commands of one tick.
    void answer(Millis now, const Actions &actions)
    {
        for (const auto &[id, index] : GetParam().answering) {
            InstanceStatus status{.primary = id == "a" && !steppedDown,
                                  .term = 4,
                                  .received = {.term = 4, .index = index}};
            for (const std::string &action : actions) {
                if (action == "status " + id) {
                    change.onStatus(now, id, StatementKind::Status, status);
                } else if (action.starts_with("stepdown " + id)) {
                    steppedDown = true;
                    status.primary = false;
                    change.onStatus(now, id, StatementKind::StepDown, status);
                } else if (action.starts_with("pause " + id)) {
                    status.pausedTerm = 5;
                    change.onStatus(now, id, StatementKind::Pause, status);
                }
            }
        }
    }

    bool steppedDown = false;
};

// One attempt has to do: all hosts repeat the same one.
TEST_P(ReplicasOfALeavingPrimary, DoNotKeepItFromBeingReplaced)
{
    instances[0].leaving = true;
    runsUntil["a"] = Start; // Nothing new is written.
    begin(PrimaryChangeCause::Leaving);
    std::string promoted;
    for (Millis now = Start; now < ActUntil && promoted.empty(); now = now + Millis(20)) {
        change.onTick(now, PrimaryChangeCause::Leaving, groupState());
        for (Actions actions = recorder.take(); !actions.empty(); actions = recorder.take()) {
            for (const std::string &action : actions) {
                if (action.starts_with("promote "))
                    promoted = action;
            }
            answer(now, actions);
        }
    }
    EXPECT_EQ(promoted, "promote " + GetParam().promoted + " 7");
}

// The entries at its end may have been acknowledged with the help of an instance that is not
// listed. Once it does not answer any more, the seals have to do.
TEST_F(Handover, KeepsAPrimaryThatNoReplicaFollowsUntilItEnds)
{
    beginAtTheEnd();
    while (now < Start + Millis(1200)) {
        reportPrimary(20);
        reportReceived("b", 10);
        reportReceived("c", 12);
        tick(Millis(60));
    }
    EXPECT_FALSE(recorder.has("stepdown a 5"));
    change.onTick(now, PrimaryChangeCause::Unreachable, groupState());
    reportPaused("b", 10);
    reportPaused("c", 12);
    EXPECT_TRUE(recorder.has("promote c 7"));
}

// It holds entries that the only replica that answers lacks, so only it could be promoted.
TEST_F(PrimaryChangeTest, LetsALeavingPrimaryServeWhileNoOtherCanBePromoted)
{
    instances[0].leaving = true;
    begin(PrimaryChangeCause::Leaving);
    for (Millis now = Start; now < ActUntil; now = now + Millis(20)) {
        change.onTick(now, PrimaryChangeCause::Leaving, groupState());
        if (recorder.has("pause b 5"))
            reportPaused("b", 10);
        if (recorder.has("status a"))
            change.onStatus(now, "a", StatementKind::Status,
                            {.primary = true, .term = 4, .received = {.term = 4, .index = 11}});
        EXPECT_FALSE(recorder.has("stepdown a 5"));
    }
    EXPECT_TRUE(recorder.has("status a"));
}

INSTANTIATE_TEST_SUITE_P(
    All, ReplicasOfALeavingPrimary,
    testing::Values(ReplicaCase{"oneReceivesNothing", {{"a", 20}, {"b", 5}, {"c", 20}}, "c"},
                    ReplicaCase{"oneIsSilent", {{"a", 20}, {"b", 20}}, "b"},
                    ReplicaCase{"theFirstIsSilent", {{"a", 20}, {"c", 20}}, "c"}),
    [](const auto &info) { return info.param.name; });

TEST_F(PrimaryChangeTest, ResumesTheReplicasOfAStalledPrimary)
{
    begin(PrimaryChangeCause::Stalled);
    // The instance itself must confirm that it is still the primary. Its replicas are asked whether
    // they are paused.
    EXPECT_EQ(recorder.take(), (Actions{"status a", "status b", "status c"}));
    change.onStatus(Start, "a", StatementKind::Status, {.primary = true, .term = 4});
    // The present primary is promoted again first, so that no earlier promotion can still take
    // effect.
    EXPECT_EQ(recorder.take(), Actions{"promote a 7"});
    change.onPrimary(Start, "a", 4);
    EXPECT_EQ(recorder.take(), Actions{});
    change.onPromotion(Start, PromotionResult::Accepted);
    change.onPrimary(Start, "a", 4);
    EXPECT_EQ(recorder.take(), (Actions{"status b", "status c"}));
    // One that is not paused needs no resume.
    change.onStatus(Start, "b", StatementKind::Status, {.term = 4, .pausedTerm = 5});
    change.onStatus(Start, "c", StatementKind::Status, {.term = 4});
    change.onTick(Start, PrimaryChangeCause::None, groupState());
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
}

// Guards against this failure: a replica that another host had sealed stayed so. The primary
// stalled again and again without it, and the attempts for that held the lease that the other host
// needed.
class ReplicasThatAnotherHostSealed : public PrimaryChangeTest
{
protected:
    void beginForStalled(const LeaseResult &lease)
    {
        change.onTick(Start, PrimaryChangeCause::Stalled, groupState());
        change.onLeaseResult(Start, lease);
        EXPECT_TRUE(recorder.has("status b") && recorder.has("status c"));
        recorder.take();
    }

    void reportSealed(const std::string &instance)
    {
        change.onStatus(Start, instance, StatementKind::Status, {.term = 4, .pausedTerm = 5});
    }

    void tick(Millis after)
    {
        change.onTick(Start + after, PrimaryChangeCause::None, groupState());
    }
};

TEST_F(ReplicasThatAnotherHostSealed, ReceiveOnceTheStalledPrimaryWorksAgain)
{
    beginForStalled({.fencingToken = 7, .actUntil = ActUntil});
    reportSealed("b");
    change.onStatus(Start, "c", StatementKind::Status, {.term = 4});
    tick(Millis(20));
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.recordedResumes, (std::vector<std::set<std::string>>{{"b"}}));
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
}

TEST_F(ReplicasThatAnotherHostSealed, ReceiveAlsoIfTheyAnswerLater)
{
    beginForStalled({.fencingToken = 7, .actUntil = ActUntil});
    tick(Millis(20));
    EXPECT_EQ(recorder.take(), Actions{});
    reportSealed("b");
    tick(Millis(40));
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
}

// The candidate of a request that may still be carried out would lack what the primary acknowledges
// with the replica.
TEST_F(ReplicasThatAnotherHostSealed, StaySealedWhileAnotherMayBePromoted)
{
    beginForStalled({.fencingToken = 7,
                     .actUntil = ActUntil,
                     .openCandidate = "c",
                     .openUntil = Start + Millis(9000)});
    reportSealed("b");
    tick(Millis(20));
    tick(Millis(400));
    EXPECT_EQ(recorder.take(), Actions{});
}

TEST_F(ReplicasThatAnotherHostSealed, StaySealedAfterTheLease)
{
    beginForStalled({.fencingToken = 7, .actUntil = ActUntil});
    tick(Millis(20));
    change.onStatus(Start + LeaseDuration, "b", StatementKind::Status,
                    {.term = 4, .pausedTerm = 5});
    EXPECT_EQ(recorder.take(), Actions{});
}

// Promoting an instance that was replaced in the meantime would undo commits that its successor
// acknowledged.
TEST_F(PrimaryChangeTest, DoesNotPromoteAStalledPrimaryThatWasReplaced)
{
    for (const InstanceStatus status : {InstanceStatus{.primary = false, .term = 4},
                                        InstanceStatus{.primary = false, .term = 6}}) {
        begin(PrimaryChangeCause::Stalled);
        recorder.take();
        change.onStatus(Start, "a", StatementKind::Status, status);
        EXPECT_FALSE(recorder.has("promote a 7"));
        EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
        change = PrimaryChange("group", &recorder);
    }
}

// While the lease is being acquired, the registered roles may name another instance as the primary.
TEST_F(PrimaryChangeTest, DoesNotMistakeAnotherInstanceForTheStalledPrimary)
{
    change.onTick(Start, PrimaryChangeCause::Stalled, groupState());
    GroupState other = groupState();
    other.primary = "b";
    change.onTick(Start, PrimaryChangeCause::None, other);
    recorder.take();
    change.onLeaseResult(Start, {.fencingToken = 7, .actUntil = ActUntil});
    EXPECT_EQ(recorder.take(), Actions{});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

// A promotion without a response may still take effect later. If a replica were resumed, the old
// primary could acknowledge commits with it until then, and the promotion would lose them.
TEST_F(PrimaryChangeTest, LeavesInstancesSealedAfterAPromotionWithoutResponse)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    recorder.take();
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::None, groupState());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_FALSE(recorder.has("resume b"));
    EXPECT_FALSE(recorder.has("resume c"));
}

// The same, if the next attempt ends before it requests a promotion.
TEST_F(PrimaryChangeTest, LeavesInstancesSealedWhenTheNextAttemptIsAbandoned)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::None, groupState());
    const Millis later = ActUntil + Millis(1000);
    change.onTick(later, PrimaryChangeCause::Unreachable, groupState());
    change.onLeaseResult(later, {.fencingToken = 8, .actUntil = later + Millis(2500)});
    recorder.take();
    change.onTick(later + Millis(20), PrimaryChangeCause::None, groupState());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
}

// The request is carried out after the holder's acting time, while it still holds the lease.
TEST_F(PrimaryChangeTest, LetsInstancesReceiveAgainAfterALatePromotion)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::Unreachable, groupState());
    recorder.take();
    change.onPrimary(ActUntil + Millis(40), "c", 5);
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
}

// Nothing shows whether the request was carried out. After 10 s it cannot be any more.
TEST_F(PrimaryChangeTest, LetsInstancesReceiveAgainWhenALatePromotionCannotComeAnyMore)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::Unreachable, groupState());
    recorder.take();
    change.onTick(ActUntil + LatePromotionLimit - Millis(1), PrimaryChangeCause::None,
                  groupState());
    EXPECT_EQ(recorder.take(), Actions{});
    const Millis later = ActUntil + LatePromotionLimit;
    change.onTick(later, PrimaryChangeCause::None, groupState());
    EXPECT_EQ(recorder.take(), Actions{"claim"});
    change.onLeaseResult(later, {.fencingToken = 8, .actUntil = later + Millis(2500)});
    EXPECT_EQ(recorder.take(), (Actions{"resume b", "resume c"}));
    // Instances that do not answer are told again.
    change.onStatus(later, "b", StatementKind::Resume, {});
    change.onTick(later + Millis(300), PrimaryChangeCause::None, groupState());
    EXPECT_EQ(recorder.take(), Actions{"resume c"});
    change.onStatus(later, "c", StatementKind::Resume, {});
    change.onTick(later + Millis(20'000), PrimaryChangeCause::None, groupState());
    EXPECT_EQ(recorder.take(), Actions{});
}

// If another instance were promoted after the late promotion, it would lack what the late one had
// acknowledged in between.
class LatePromotions : public PrimaryChangeTest
{
protected:
    // Another holder's request to promote c may still be carried out.
    void beginAfterRequestForC(PrimaryChangeCause cause)
    {
        change.onTick(Start, cause, groupState());
        change.onLeaseResult(Start,
                             {.fencingToken = 8,
                              .actUntil = ActUntil,
                              .openCandidate = "c",
                              .openUntil = Start + Millis(9000)});
        recorder.take();
    }
};

TEST_F(LatePromotions, AreRecordedForTheNextHolder)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    EXPECT_EQ(recorder.recordedCandidates, std::vector<std::string>{"c"});
}

// The process may end before the platform has answered.
TEST_F(LatePromotions, AreNotRequestedBeforeTheyAreRecorded)
{
    recorder.recordsCandidatesAtOnce = false;
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    reportPaused("b", 10);
    reportPaused("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"record c 7"});
    change.onCandidateRecorded(Start, "c", true);
    EXPECT_EQ(recorder.take(), Actions{"promote c 7"});
}

TEST_F(LatePromotions, KeepTheirCandidate)
{
    beginAfterRequestForC(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    reportPaused("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"promote c 8"});
}

// Nothing that the late one would write could be acknowledged.
TEST_F(LatePromotions, GiveWayIfAllOthersAreSealed)
{
    beginAfterRequestForC(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    EXPECT_EQ(recorder.take(), Actions{});
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 12}});
    reportPaused("a", 12);
    EXPECT_TRUE(recorder.has("promote b 8") || recorder.has("promote a 8"));
}

// The store has forgotten whose promotion was requested.
TEST_F(LatePromotions, OfAnUnknownCandidateRequireThatAllAreSealed)
{
    change.onTick(Start, PrimaryChangeCause::Unreachable, groupState());
    change.onLeaseResult(
        Start, {.fencingToken = 8, .actUntil = ActUntil, .openUntil = Start + Millis(1000)});
    reportPaused("b", 10);
    reportPaused("c", 12);
    EXPECT_FALSE(recorder.has("promote c 8"));
    reportPaused("a", 12);
    EXPECT_TRUE(recorder.has("promote a 8") || recorder.has("promote c 8"));
}

TEST_F(LatePromotions, OfAnUnknownCandidateAreOverInTheEnd)
{
    change.onTick(Start, PrimaryChangeCause::Unreachable, groupState());
    change.onLeaseResult(
        Start, {.fencingToken = 8, .actUntil = ActUntil, .openUntil = Start + Millis(1000)});
    reportPaused("b", 10);
    reportPaused("c", 12);
    recorder.now = Start + Millis(1000);
    change.onTick(recorder.now, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("promote c 8"));
}

TEST_F(LatePromotions, KeepTheReplicasSealedWhenTheNextAttemptEnds)
{
    beginAfterRequestForC(PrimaryChangeCause::Unreachable);
    reportPaused("b", 12);
    change.onTick(Start + Millis(100), PrimaryChangeCause::None, groupState());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
}

// A request of another holder may still be carried out.
TEST_F(PrimaryChangeTest, LeavesInstancesSealedForTheCandidateOfAnotherHolder)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::Unreachable, groupState());
    const Millis later = ActUntil + LatePromotionLimit;
    change.onTick(later, PrimaryChangeCause::None, groupState());
    recorder.take();
    change.onLeaseResult(later,
                         {.fencingToken = 9,
                          .actUntil = later + Millis(2500),
                          .openCandidate = "b",
                          .openUntil = later + Millis(4000)});
    change.onTick(later + Millis(1000), PrimaryChangeCause::None, groupState());
    EXPECT_EQ(recorder.take(), Actions{});
    change.onTick(later + Millis(4000), PrimaryChangeCause::None, groupState());
    EXPECT_EQ(recorder.take(), Actions{"claim"});
}

// A holder that was suspended handles the answers that came meanwhile before its next tick.
TEST_F(PrimaryChangeTest, IgnoresAnswersAfterTheLease)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    recorder.take();
    change.onStatus(ActUntil, "c", StatementKind::Pause,
                    {.term = 4, .received = {.term = 4, .index = 12}, .pausedTerm = 5});
    EXPECT_FALSE(recorder.has("promote c 7"));
}

TEST_F(PrimaryChangeTest, IgnoresAStalledPrimarysAnswerAfterTheLease)
{
    begin(PrimaryChangeCause::Stalled);
    recorder.take();
    change.onStatus(ActUntil, "a", StatementKind::Status, {.primary = true, .term = 4});
    EXPECT_FALSE(recorder.has("promote a 7"));
}

// A pause has no owner. After its lease, a holder that was suspended would let instances receive
// again that the next holder has sealed meanwhile.
TEST_F(PrimaryChangeTest, LeavesInstancesSealedForTheNextHolder)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    recorder.take();
    change.onTick(Start + LeaseDuration, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
}

TEST_F(PrimaryChangeTest, LeavesInstancesSealedForTheNextHolderAfterAPromotion)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    change.onPromotion(Start, PromotionResult::Accepted);
    recorder.take();
    change.onPrimary(Start + LeaseDuration, "c", 5);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
}

// A resume that is carried out late undoes whatever pause is in effect by then.
class Resumes : public PrimaryChangeTest
{
protected:
    using Recorded = std::vector<std::set<std::string>>;

    // Promotes c. Instance b has to receive again.
    void promoteC()
    {
        begin(PrimaryChangeCause::Unreachable);
        reportPaused("b", 10);
        reportPaused("c", 12);
        change.onPromotion(Start, PromotionResult::Accepted);
        recorder.take();
    }

    void tick(Millis after)
    {
        change.onTick(Start + after, PrimaryChangeCause::None, groupState());
    }

    // Starts an attempt while an earlier holder's resumes of the instances may be carried out.
    void beginWithOpenResumes(PrimaryChangeCause cause, const std::set<std::string> &ids)
    {
        LeaseResult result{.fencingToken = 8, .actUntil = ActUntil};
        for (const std::string &id : ids)
            result.openResumes[id] = OpenUntil;
        change.onTick(Start, cause, groupState());
        change.onLeaseResult(Start, result);
        recorder.take();
    }

    static constexpr Millis OpenUntil = Start + Millis(1000);
};

TEST_F(Resumes, AreSentOnlyToInstancesThatTheLeaseNames)
{
    recorder.storeAnswers = false;
    promoteC();
    change.onPrimary(Start, "c", 5);
    EXPECT_EQ(recorder.recordedResumes, Recorded{{"b"}});
    tick(Millis(200));
    EXPECT_EQ(recorder.take(), Actions{});
    recorder.storeAnswers = true;
    tick(Millis(400));
    EXPECT_EQ(recorder.recordedResumes, (Recorded{{"b"}, {"b"}}));
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
}

TEST_F(Resumes, StayNamedUntilEachIsAnswered)
{
    promoteC();
    change.onPrimary(Start, "c", 5);
    unansweredResumes = {"b"};
    tick(Millis(300));
    EXPECT_EQ(recorder.take(), (Actions{"resume b", "resume b"}));
    // The answer to the second one says nothing of the first.
    change.onStatus(Start + Millis(310), "b", StatementKind::Resume, {.term = 5});
    tick(Millis(400));
    EXPECT_EQ(recorder.recordedResumes, Recorded{{"b"}});
    unansweredResumes.clear();
    tick(Millis(500));
    EXPECT_EQ(recorder.recordedResumes, (Recorded{{"b"}, {}}));
}

// An answer of the store for an earlier lease says nothing of the present row.
TEST_F(Resumes, AreNotTakenForNamedByAnEarlierLease)
{
    recorder.storeAnswers = false;
    promoteC();
    change.onPrimary(Start, "c", 5);
    change.onResumesRecorded({"b"}, 6, true);
    tick(Millis(100));
    EXPECT_EQ(recorder.take(), Actions{});
}

// An instance that may receive from the old primary lets it acknowledge what the candidate lacks.
TEST_F(Resumes, MakeASealUncertain)
{
    beginWithOpenResumes(PrimaryChangeCause::Unreachable, {"c"});
    reportPaused("b", 12);
    reportPaused("c", 11);
    EXPECT_EQ(recorder.take(), Actions{});
    // The candidate itself may receive until the promotion.
    reportReceived("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"promote c 8"});
}

TEST_F(Resumes, LetThePrimaryServeUntilThePromotion)
{
    change.onTick(Start, PrimaryChangeCause::Unreachable, groupState());
    change.onLeaseResult(
        Start, {.fencingToken = 8, .actUntil = ActUntil, .openResumes = {{"c", OpenUntil}}});
    EXPECT_EQ(recorder.take(), (Actions{"claim", "stepdown a 5", "pause b 5", "status c"}));
}

TEST_F(Resumes, AreHarmlessOnceThePrimaryHasSteppedDown)
{
    beginWithOpenResumes(PrimaryChangeCause::Unreachable, {"b", "c"});
    reportReceived("b", 12);
    reportReceived("c", 11);
    change.onStatus(Start, "a", StatementKind::StepDown, {.term = 4});
    EXPECT_EQ(recorder.take(), Actions{});
    // What it acknowledged since the queries has to be found.
    tick(Millis(0));
    EXPECT_EQ(recorder.take(), (Actions{"pause a 6", "pause b 6", "pause c 6"}));
    reportPaused("b", 14);
    reportPaused("c", 13);
    EXPECT_EQ(recorder.take(), Actions{"promote b 8"});
}

// What was received before the end of the time may have come after the pause.
TEST_F(Resumes, RequireNewSealsOnceTheyCannotBeCarriedOut)
{
    beginWithOpenResumes(PrimaryChangeCause::Unreachable, {"c"});
    reportPaused("b", 12);
    reportPaused("c", 11);
    change.onTick(OpenUntil, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_EQ(recorder.take(), (Actions{"stepdown a 5", "pause c 5"}));
    change.onStatus(OpenUntil, "c", StatementKind::Pause,
                    {.term = 4, .received = {.term = 4, .index = 11}, .pausedTerm = 5});
    EXPECT_EQ(recorder.take(), Actions{"promote b 8"});
}

TEST_F(Resumes, DoNotMatterToAPrimaryThatAnswers)
{
    instances[0].leaving = true;
    runsUntil["a"] = Start;
    beginWithOpenResumes(PrimaryChangeCause::Leaving, {"c"});
    change.onStatus(Start, "a", StatementKind::Status,
                    {.primary = true, .term = 4, .received = {.term = 4, .index = 20}});
    change.onTick(Start + Millis(60), PrimaryChangeCause::Leaving, groupState());
    reportReceived("b", 20);
    EXPECT_TRUE(recorder.has("stepdown a 5"));
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 20}});
    reportReceived("b", 20);
    EXPECT_TRUE(recorder.has("promote b 8"));
}

// A platform that checks no fencing token carries out promotions in any order, and a primary that
// was replaced goes on serving reads for a while.
class UnfencedPrimaryChangeTest : public PrimaryChangeTest
{
protected:
    UnfencedPrimaryChangeTest()
    {
        change = unfenced();
        recorder.recordsCandidatesAtOnce = false;
    }

    PrimaryChange unfenced() { return {"group", &recorder, {.fencedPromotions = false}}; }

    void beginWith(PrimaryChangeCause cause, const std::string &openCandidate, Millis openUntil)
    {
        change.onTick(Start, cause, groupState());
        change.onLeaseResult(Start,
                             {.fencingToken = 7,
                              .actUntil = ActUntil,
                              .openCandidate = openCandidate,
                              .openUntil = openUntil});
    }

    void sealReplicas()
    {
        reportPaused("b", 10);
        reportPaused("c", 12);
    }

    // Reports that the old primary has stepped down and is sealed.
    void sealOldPrimary()
    {
        change.onStatus(Start, "a", StatementKind::StepDown,
                        {.term = 4, .received = {.term = 4, .index = 12}});
        reportPaused("a", 12);
    }
};

TEST_F(UnfencedPrimaryChangeTest, RecordsTheCandidateBeforeThePromotion)
{
    begin(PrimaryChangeCause::Unreachable);
    sealOldPrimary();
    recorder.take();
    reportPaused("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"record a 7"});
    change.onCandidateRecorded(Start, "a", true);
    EXPECT_EQ(recorder.take(), Actions{"promote a 7"});
}

TEST_F(UnfencedPrimaryChangeTest, RecordsTheCandidateAgainIfTheRowMayLackIt)
{
    begin(PrimaryChangeCause::Unreachable);
    sealOldPrimary();
    reportPaused("c", 12);
    recorder.take();
    change.onCandidateRecorded(Start, "a", false);
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("record a 7"));
    EXPECT_FALSE(recorder.has("promote a 7"));
}

// Hosts may still trust the old primary, which did not answer.
TEST_F(UnfencedPrimaryChangeTest, WaitsUntilNoHostTrustsTheOldPrimary)
{
    begin(PrimaryChangeCause::Unreachable);
    sealReplicas();
    change.onCandidateRecorded(Start, "c", true);
    change.onTick(Start + ReadLeaseDuration, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote c 7"));
    change.onTick(Start + ReadLeaseDuration + Millis(1), PrimaryChangeCause::Unreachable,
                  groupState());
    EXPECT_TRUE(recorder.has("promote c 7"));
}

// The wait begins anew after a restart, which ends a pause.
TEST_F(UnfencedPrimaryChangeTest, WaitsAnewAfterASealWasLost)
{
    begin(PrimaryChangeCause::Unreachable);
    sealReplicas();
    change.onCandidateRecorded(Start, "c", true);
    change.onConnectionLost(Start + Millis(200), "b");
    const Millis sealedAgain = Start + Millis(250);
    change.onStatus(sealedAgain, "b", StatementKind::Pause,
                    {.term = 4, .received = {.term = 4, .index = 10}, .pausedTerm = 5});
    change.onTick(sealedAgain + ReadLeaseDuration, PrimaryChangeCause::Unreachable, groupState());
    EXPECT_FALSE(recorder.has("promote c 7"));
    change.onTick(sealedAgain + ReadLeaseDuration + Millis(1), PrimaryChangeCause::Unreachable,
                  groupState());
    EXPECT_TRUE(recorder.has("promote c 7"));
}

TEST_F(UnfencedPrimaryChangeTest, LetsALeavingPrimaryStepDownFirst)
{
    instances[0].leaving = true;
    begin(PrimaryChangeCause::Leaving);
    change.onStatus(Start, "a", StatementKind::Status,
                    {.primary = true, .term = 4, .received = {.term = 4, .index = 12}});
    change.onTick(Start + Millis(60), PrimaryChangeCause::Leaving, groupState());
    recorder.take();
    reportReceived("b", 12);
    // No fence: the platform would not refuse earlier requests after it.
    EXPECT_EQ(recorder.take(), Actions{"record b 7"});
    change.onCandidateRecorded(Start, "b", true);
    EXPECT_EQ(recorder.take(), Actions{"stepdown a 5"});
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 12}});
    EXPECT_EQ(recorder.take(), (Actions{"status b", "status c"}));
    reportReceived("b", 12);
    EXPECT_EQ(recorder.take(), Actions{"promote b 7"});
}

// A host that was cut off from the store still takes the old primary for the present one.
TEST_F(UnfencedPrimaryChangeTest, StepsDownAPrimaryOfAnEarlierTerm)
{
    begin(PrimaryChangeCause::Unreachable);
    change.onStatus(Start, "b", StatementKind::Pause,
                    {.term = 6, .received = {.term = 6, .index = 14}, .pausedTerm = 7});
    recorder.take();
    change.onStatus(Start, "c", StatementKind::Pause,
                    {.primary = true, .term = 4, .received = {.term = 4, .index = 12}});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Sealing);
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_TRUE(recorder.has("stepdown c 7"));
}

// Promoting it again would not stop earlier requests.
TEST_F(UnfencedPrimaryChangeTest, ReplacesAStalledPrimary)
{
    begin(PrimaryChangeCause::Stalled);
    EXPECT_EQ(recorder.take(), (Actions{"stepdown a 5", "pause b 5", "pause c 5"}));
}

// Its replicas would not follow it again. Once the list has been seen for a while, the seals do.
TEST_F(UnfencedPrimaryChangeTest, DoesNotPromoteAStalledPrimaryAgain)
{
    recorder.recordsCandidatesAtOnce = true;
    change.onTick(Start - Millis(9000), PrimaryChangeCause::None, groupState());
    begin(PrimaryChangeCause::Stalled);
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 20}});
    reportPaused("a", 20);
    reportPaused("b", 12);
    reportPaused("c", 12);
    EXPECT_FALSE(recorder.has("promote a 7"));
    EXPECT_FALSE(recorder.has("promote b 7"));
    recorder.now = Start + Millis(1000);
    change.onTick(recorder.now, PrimaryChangeCause::Stalled, groupState());
    EXPECT_TRUE(recorder.has("promote b 7"));
}

struct OpenCandidateCase
{
    std::string name;
    std::string openCandidate;
    Millis openUntil;
    std::string recorded; // The candidate that is recorded; empty if none is.
};

class OpenCandidates : public UnfencedPrimaryChangeTest,
                       public testing::WithParamInterface<OpenCandidateCase>
{
};

TEST_P(OpenCandidates, AreFinishedFirst)
{
    beginWith(PrimaryChangeCause::Unreachable, GetParam().openCandidate, GetParam().openUntil);
    recorder.take();
    reportPaused("b", 12);
    reportPaused("c", 12);
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.term = 4, .received = {.term = 4, .index = 11}});
    const Actions actions = recorder.take();
    const std::string &recorded = GetParam().recorded;
    EXPECT_EQ(actions, recorded.empty() ? Actions{} : Actions{"record " + recorded + " 7"});
}

// The old primary may hold entries that it never acknowledged.
TEST_F(UnfencedPrimaryChangeTest, FinishesACandidateThatLacksOnlyUnacknowledgedEntries)
{
    beginWith(PrimaryChangeCause::Unreachable, "c", Start + Millis(1));
    sealOldPrimary();
    reportPaused("a", 20);
    recorder.take();
    reportPaused("b", 12);
    EXPECT_EQ(recorder.take(), Actions{});
    reportPaused("c", 12);
    EXPECT_TRUE(recorder.has("record c 7"));
}

INSTANTIATE_TEST_SUITE_P(
    All, OpenCandidates,
    testing::Values(OpenCandidateCase{"none", "", Millis(0), "b"},
                    OpenCandidateCase{"another", "c", Start + Millis(1), "c"},
                    OpenCandidateCase{"lapsed", "c", Start, "b"},
                    // It lacks commits, so nothing may be promoted before its request has lapsed.
                    OpenCandidateCase{"thatLacksCommits", "a", Start + Millis(1), ""},
                    OpenCandidateCase{"thatIsNotRegistered", "d", Start + Millis(1), ""}),
    [](const auto &info) { return info.param.name; });

struct RowAfterCase
{
    std::string name;
    std::vector<PromotionResult> results; // The platform's answers, in order.
    bool cleared = false;                 // The row is left without a candidate.
};

class RowsAfterAPromotion : public UnfencedPrimaryChangeTest,
                            public testing::WithParamInterface<RowAfterCase>
{
};

// The row names the candidate for as long as a request may still be carried out.
TEST_P(RowsAfterAPromotion, NameTheCandidateOfOpenRequests)
{
    begin(PrimaryChangeCause::Unreachable);
    sealOldPrimary();
    reportPaused("c", 12);
    change.onCandidateRecorded(Start, "a", true);
    Millis now = Start;
    for (const PromotionResult result : GetParam().results) {
        change.onPromotion(now, result);
        now = now + Millis(500);
        change.onTick(now, PrimaryChangeCause::Unreachable, groupState());
    }
    change.onPrimary(now, "a", 5);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.has("record none 7"), GetParam().cleared);
}

INSTANTIATE_TEST_SUITE_P(
    All, RowsAfterAPromotion,
    testing::Values(RowAfterCase{"accepted", {PromotionResult::Accepted}, true},
                    RowAfterCase{"notRunning", {PromotionResult::NotRunning}, true},
                    RowAfterCase{"notDoneThenAccepted",
                                 {PromotionResult::NotDone, PromotionResult::Accepted},
                                 true},
                    RowAfterCase{"unknown", {PromotionResult::Unknown}, false},
                    RowAfterCase{"unknownThenAccepted",
                                 {PromotionResult::Unknown, PromotionResult::Accepted},
                                 false}),
    [](const auto &info) { return info.param.name; });

struct ResultCase
{
    PromotionResult verdict;
    Actions after; // The actions up to half a second later.
};

class PromotionResults : public PrimaryChangeTest, public testing::WithParamInterface<ResultCase>
{
};

TEST_P(PromotionResults, AreActedOn)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    reportPaused("c", 12);
    recorder.take();
    change.onPromotion(Start, GetParam().verdict);
    change.onTick(Start + Millis(500), PrimaryChangeCause::Unreachable, groupState());
    EXPECT_EQ(recorder.take(), GetParam().after);
}

INSTANTIATE_TEST_SUITE_P(All, PromotionResults,
                         testing::Values(ResultCase{PromotionResult::Accepted, {}},
                                         ResultCase{PromotionResult::Fenced, {}},
                                         ResultCase{
                                             PromotionResult::NotRunning,
                                             // Repeated, as nothing answers.
                                             {"resume b", "resume c", "resume b", "resume c"}},
                                         ResultCase{PromotionResult::Unknown, {"promote c 7"}},
                                         ResultCase{PromotionResult::NotDone, {"promote c 7"}}),
                         [](const auto &info) {
                             std::string name(PromotionResultNames.name(info.param.verdict));
                             name.erase(std::remove(name.begin(), name.end(), '-'), name.end());
                             return name;
                         });

TEST_F(PrimaryChangeTest, ActsOnlyWhileTheLeaseIsHeld)
{
    begin(PrimaryChangeCause::Unreachable);
    reportPaused("b", 10);
    recorder.take();
    change.onTick(ActUntil, PrimaryChangeCause::Unreachable, groupState());
    reportPaused("c", 12);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_FALSE(recorder.has("promote c 7"));
}

} // namespace
} // namespace cicadagap
