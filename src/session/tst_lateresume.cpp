// Changes of a primary soon after one another, while an instance carries out a resume of the first
// change late.
#include "changescenario.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis UsualLateness(6000); // Of a command that gets no answer.
constexpr Millis LatePeriod(250);     // In which an instance leaves commands unanswered.
constexpr Millis FirstFailure(1000);
constexpr Millis End(40'000);

// How the primary fails for the hosts that replace it.
enum class Failure {
    Cut,   // It cannot be reached, but leads on and reaches its replicas.
    Crash, // It does not run any more.
};

struct LateResumeCase
{
    NextHolder second = NextHolder::SameHost;
    Failure failure = Failure::Cut;
    std::vector<std::string> late; // The instances that carry out a resume late.
    Millis lead;                   // From the second failure to the late resume.
    Millis lateness = UsualLateness;
    // After the first change the store comes back from a copy of itself that is older than it.
    bool storeRestored = false;
};

std::string caseName(const testing::TestParamInfo<LateResumeCase> &info)
{
    std::string name(NextHolderNames.name(info.param.second));
    name += info.param.failure == Failure::Cut ? "Cut" : "Crash";
    for (const std::string &id : info.param.late)
        name += "_" + id;
    name += "_" + std::to_string(info.param.lead.count()) + "of"
        + std::to_string(info.param.lateness.count());
    return name + (info.param.storeRestored ? "_storeRestored" : "");
}

class LateResume : public testing::TestWithParam<LateResumeCase>
{
protected:
    void SetUp() override
    {
        scenario.lateness = GetParam().lateness;
        scenario.store.countEpochs(scenario.now());
        scenario.store.keepCopy(scenario.now(), scenario.registered());
        scenario.startProcess(0);
        scenario.onFirstPromotion = [this] { delayResumes(); };
        scenario.runUntil(FirstFailure);
        scenario.cutPrimary(0);
        scenario.runUntil(FirstFailure + Millis(2500));
        ASSERT_EQ(scenario.promotions.size(), 1U);
        scenario.hosts[0]->unreachable.clear();
        if (GetParam().storeRestored) {
            scenario.store.putBack(scenario.now(), scenario.now());
            scenario.store.recordEpoch(scenario.now());
        }
    }

    void delayResumes()
    {
        const std::vector<std::string> &late = GetParam().late;
        scenario.delaysCommands = {late.begin(), late.end()};
        lateAt = scenario.now() + GetParam().lateness;
        scenario.at(scenario.now() + LatePeriod, [this] { scenario.delaysCommands.clear(); });
    }

    // Lets the primary fail for the host that makes the second change.
    void failAgain()
    {
        scenario.runUntil(lateAt - GetParam().lead);
        const std::size_t host = scenario.continueOn(GetParam().second);
        if (GetParam().failure == Failure::Cut)
            scenario.cutPrimary(host);
        else
            scenario.crashPrimary(host);
    }

    ChangeScenario scenario;
    Millis lateAt;
};

// Guards against this failure: a resume that was carried out seconds late undid a pause of the next
// change, and writes that the old primary then acknowledged were not in the log of the new one.
TEST_P(LateResume, LosesNoAcknowledgedWrite)
{
    failAgain();
    scenario.runUntil(End);
    EXPECT_EQ(scenario.lostWrites, std::vector<std::string>{});
    EXPECT_EQ(scenario.promotions.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Changes, LateResume,
    testing::Values(
        LateResumeCase{NextHolder::SameHost, Failure::Cut, {"b"}, Millis(500)},
        LateResumeCase{NextHolder::SameHost, Failure::Cut, {"c"}, Millis(500)},
        LateResumeCase{NextHolder::SameHost, Failure::Cut, {"b", "c"}, Millis(500)},
        LateResumeCase{NextHolder::SameHost, Failure::Cut, {"c"}, Millis(900)},
        LateResumeCase{NextHolder::OtherHost, Failure::Cut, {"c"}, Millis(500)},
        LateResumeCase{NextHolder::OtherHost, Failure::Cut, {"b", "c"}, Millis(500)},
        LateResumeCase{NextHolder::RestartedHost, Failure::Cut, {"c"}, Millis(500)},
        LateResumeCase{NextHolder::RestartedHost, Failure::Cut, {"b", "c"}, Millis(500)},
        LateResumeCase{NextHolder::OtherHost, Failure::Cut, {"c"}, Millis(500), Millis(11'000)},
        LateResumeCase{
            NextHolder::OtherHost, Failure::Cut, {"c"}, Millis(500), Millis(11'000), true},
        LateResumeCase{NextHolder::SameHost, Failure::Crash, {"c"}, Millis(500)},
        LateResumeCase{NextHolder::OtherHost, Failure::Crash, {"b", "c"}, Millis(500)}),
    caseName);

} // namespace
} // namespace cicadagap
