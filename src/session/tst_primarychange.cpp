// The steps of a change of primary, one at a time.
#include "session/primarychange.h"

#include <gtest/gtest.h>

#include <algorithm>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis Start(1000);
constexpr Millis ActUntil(3500);

// Records actions as short texts.
class Recorder : public PrimaryChangeOutput
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
    void promote(const std::string &, const std::string &instance, std::uint64_t token) override
    {
        actions.push_back("promote " + instance + " " + std::to_string(token));
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
};

using Actions = std::vector<std::string>;

class PrimaryChangeTest : public testing::Test
{
protected:
    void begin(PrimaryChangeCause cause)
    {
        change.onTick(Start, cause, knowledge());
        EXPECT_EQ(recorder.take(), Actions{"claim"});
        change.onLeaseResult(Start, {.fencingToken = 7, .actUntil = ActUntil});
    }

    GroupState knowledge() const
    {
        return {.instances = instances, .primary = "a", .term = 4, .syncReplicas = 1};
    }

    void held(const std::string &instance, std::uint64_t index)
    {
        change.onStatus(Start, instance, StatementKind::Pause,
                        {.term = 4, .received = {.term = 4, .index = index}, .pausedTerm = 5});
    }

    std::vector<RegisteredInstance> instances{{.id = "a"}, {.id = "b"}, {.id = "c"}};
    Recorder recorder;
    PrimaryChange change{"group", &recorder};
};

TEST_F(PrimaryChangeTest, PromotesTheHighestOfAllButOne)
{
    begin(PrimaryChangeCause::Unreachable);
    EXPECT_EQ(recorder.take(), (Actions{"stepdown a 5", "pause b 5", "pause c 5"}));
    held("b", 10);
    EXPECT_EQ(recorder.take(), Actions{});
    held("c", 12);
    EXPECT_EQ(recorder.take(), Actions{"promote c 7"});
    change.onPromotion(Start, PromotionResult::Accepted);
    change.onLeader(Start, "c", 5);
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

// An instance that follows a primary which this host does not know of still receives.
TEST_F(PrimaryChangeTest, DoesNotCountAnInstanceThatStillReceives)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.primary = false, .term = 5, .received = {.term = 5, .index = 20}});
    held("b", 10);
    EXPECT_FALSE(recorder.has("promote a 7"));
    EXPECT_FALSE(recorder.has("promote b 7"));
}

TEST_F(PrimaryChangeTest, StopsWhenAnotherInstanceLeads)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    held("b", 10);
    change.onStatus(Start, "c", StatementKind::Pause,
                    {.primary = true, .term = 5, .received = {.term = 5, .index = 20}});
    EXPECT_EQ(recorder.take(), Actions{"resume b"});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

TEST_F(PrimaryChangeTest, SealsAPrimaryThatSteppedDown)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    change.onStatus(Start, "a", StatementKind::StepDown,
                    {.primary = false, .term = 4, .received = {.term = 4, .index = 20}});
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, knowledge());
    EXPECT_TRUE(recorder.has("pause a 6"));
    held("a", 20);
    held("b", 10);
    EXPECT_TRUE(recorder.has("promote a 7"));
}

// An instance that restarted with an empty log does not hold what it had acknowledged before.
TEST_F(PrimaryChangeTest, DoesNotCountAnInstanceThatRestartedBehindTheOthers)
{
    change.onTick(Start - Millis(1000), PrimaryChangeCause::None, knowledge());
    instances[2].incarnation = 1;
    change.onTick(Start - Millis(500), PrimaryChangeCause::None, knowledge());
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    held("b", 10);
    held("c", 0);
    EXPECT_FALSE(recorder.has("promote b 7"));
    held("a", 11);
    EXPECT_TRUE(recorder.has("promote a 7"));
}

// It counts once it has the others' log again, or was up long enough to have received it.
TEST_F(PrimaryChangeTest, CountsARestartedInstanceThatHasCaughtUp)
{
    change.onTick(Start - Millis(1000), PrimaryChangeCause::None, knowledge());
    instances[2].incarnation = 1;
    change.onTick(Start - Millis(500), PrimaryChangeCause::None, knowledge());
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    held("b", 10);
    held("c", 10);
    EXPECT_TRUE(recorder.has("promote b 7"));
}

TEST_F(PrimaryChangeTest, CountsAnInstanceThatRestartedLongAgo)
{
    change.onTick(Start - Millis(20'000), PrimaryChangeCause::None, knowledge());
    instances[2].incarnation = 1;
    change.onTick(Start - Millis(19'000), PrimaryChangeCause::None, knowledge());
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    held("b", 10);
    held("c", 9);
    EXPECT_TRUE(recorder.has("promote b 7"));
}

// A restart ends the pause: what was sealed before has to be sealed again.
TEST_F(PrimaryChangeTest, SealsAgainWhatRestartedMeanwhile)
{
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    held("b", 10);
    instances[1].incarnation = 1;
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, knowledge());
    EXPECT_TRUE(recorder.has("pause b 5"));
    held("c", 12);
    EXPECT_FALSE(recorder.has("promote c 7"));
}

// Its connections break before its entry tells of the restart.
TEST_F(PrimaryChangeTest, SealsAgainWhatClosedItsConnections)
{
    begin(PrimaryChangeCause::Unreachable);
    held("b", 10);
    recorder.take();
    change.onConnectionLost(Start, "b");
    held("c", 12);
    EXPECT_FALSE(recorder.has("promote c 7"));
    change.onTick(Start + Millis(20), PrimaryChangeCause::Unreachable, knowledge());
    EXPECT_TRUE(recorder.has("pause b 5"));
    held("b", 10);
    EXPECT_TRUE(recorder.has("promote c 7"));
}

TEST_F(PrimaryChangeTest, CountsAnInstanceThatVanishedWithoutNotice)
{
    change.onTick(Start, PrimaryChangeCause::None, knowledge());
    instances.pop_back();
    begin(PrimaryChangeCause::Unreachable);
    recorder.take();
    held("b", 10);
    change.onTick(Start + Millis(400), PrimaryChangeCause::Unreachable, knowledge());
    EXPECT_FALSE(recorder.has("promote b 7"));
}

TEST_F(PrimaryChangeTest, LetsALeavingPrimaryServeUntilTheHeirHasAll)
{
    instances[0].leaving = true;
    begin(PrimaryChangeCause::Leaving);
    EXPECT_EQ(recorder.take(), (Actions{"pause c 5", "status b"}));
    held("c", 12);
    change.onStatus(Start, "b", StatementKind::Status, {.received = {.term = 4, .index = 11}});
    EXPECT_EQ(recorder.take(), Actions{});
    change.onStatus(Start, "b", StatementKind::Status, {.received = {.term = 4, .index = 12}});
    EXPECT_EQ(recorder.take(), Actions{"promote b 7"});
}

TEST_F(PrimaryChangeTest, LetsTheReplicasOfAStalledPrimaryGo)
{
    begin(PrimaryChangeCause::Stalled);
    // The instance itself has to say that it still leads.
    EXPECT_EQ(recorder.take(), Actions{"status a"});
    change.onStatus(Start, "a", StatementKind::Status, {.primary = true, .term = 4});
    // No earlier order may be carried out afterwards: the present primary is ordered again first.
    EXPECT_EQ(recorder.take(), Actions{"promote a 7"});
    change.onLeader(Start, "a", 4);
    EXPECT_EQ(recorder.take(), Actions{});
    change.onPromotion(Start, PromotionResult::Accepted);
    change.onLeader(Start, "a", 4);
    EXPECT_EQ(recorder.take(), (Actions{"resume b", "resume c"}));
}

// Ordering an instance that was replaced meanwhile would undo what its successor acknowledged.
TEST_F(PrimaryChangeTest, DoesNotOrderAStalledPrimaryThatWasReplaced)
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

// While the claim is on its way, a registered role may bring up another instance as the primary.
TEST_F(PrimaryChangeTest, DoesNotTakeAnotherInstanceForTheStalledPrimary)
{
    change.onTick(Start, PrimaryChangeCause::Stalled, knowledge());
    GroupState other = knowledge();
    other.primary = "b";
    change.onTick(Start, PrimaryChangeCause::None, other);
    recorder.take();
    change.onLeaseResult(Start, {.fencingToken = 7, .actUntil = ActUntil});
    EXPECT_EQ(recorder.take(), Actions{});
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
}

// An order without an answer may be carried out later, when the old primary could have acknowledged
// more with a replica that was let go.
TEST_F(PrimaryChangeTest, LeavesInstancesSealedAfterAnOrderWithoutAnswer)
{
    begin(PrimaryChangeCause::Unreachable);
    held("b", 10);
    held("c", 12);
    recorder.take();
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::None, knowledge());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_FALSE(recorder.has("resume b"));
    EXPECT_FALSE(recorder.has("resume c"));
}

// The same, when the next attempt ends before it has ordered anything.
TEST_F(PrimaryChangeTest, LeavesThemSealedWhenTheNextAttemptIsGivenUp)
{
    begin(PrimaryChangeCause::Unreachable);
    held("b", 10);
    held("c", 12);
    change.onPromotion(Start, PromotionResult::Unknown);
    change.onTick(ActUntil, PrimaryChangeCause::None, knowledge());
    const Millis later = ActUntil + Millis(1000);
    change.onTick(later, PrimaryChangeCause::Unreachable, knowledge());
    change.onLeaseResult(later, {.fencingToken = 8, .actUntil = later + Millis(2500)});
    recorder.take();
    change.onTick(later + Millis(20), PrimaryChangeCause::None, knowledge());
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_EQ(recorder.take(), Actions{});
}

struct VerdictCase
{
    PromotionResult verdict;
    Actions after; // Until half a second later.
};

class PromotionVerdicts : public PrimaryChangeTest, public testing::WithParamInterface<VerdictCase>
{
};

TEST_P(PromotionVerdicts, AreActedOn)
{
    begin(PrimaryChangeCause::Unreachable);
    held("b", 10);
    held("c", 12);
    recorder.take();
    change.onPromotion(Start, GetParam().verdict);
    change.onTick(Start + Millis(500), PrimaryChangeCause::Unreachable, knowledge());
    EXPECT_EQ(recorder.take(), GetParam().after);
}

INSTANTIATE_TEST_SUITE_P(All, PromotionVerdicts,
                         testing::Values(VerdictCase{PromotionResult::Accepted, {}},
                                         VerdictCase{PromotionResult::Fenced, {}},
                                         VerdictCase{PromotionResult::NotRunning,
                                                     {"resume b", "resume c"}},
                                         VerdictCase{PromotionResult::Unknown, {"promote c 7"}},
                                         VerdictCase{PromotionResult::NotDone, {"promote c 7"}}),
                         [](const auto &info) {
                             std::string name(PromotionResultNames.name(info.param.verdict));
                             name.erase(std::remove(name.begin(), name.end(), '-'), name.end());
                             return name;
                         });

TEST_F(PrimaryChangeTest, ActsOnlyWhileTheDutyIsHeld)
{
    begin(PrimaryChangeCause::Unreachable);
    held("b", 10);
    recorder.take();
    change.onTick(ActUntil, PrimaryChangeCause::Unreachable, knowledge());
    held("c", 12);
    EXPECT_EQ(change.stage(), PrimaryChangeStage::Idle);
    EXPECT_FALSE(recorder.has("promote c 7"));
}

} // namespace
} // namespace cicadagap
