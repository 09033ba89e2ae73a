// Tests of the detection of instances that answer worse than their siblings.
#include "session/outlierdetector.h"
#include "sessionoutputs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

struct Behaviour
{
    const char *name;
    std::size_t instances;
    // Of the first instances; the others answer in 20 ms.
    std::size_t bad;
    AnswerQuality quality;
    int serviceMs;
    int badEvery; // Each of these answers is bad, the others are good.
    std::size_t setAside;
};

class Outliers : public testing::TestWithParam<Behaviour>
{
protected:
    static std::string name(std::size_t index) { return "i" + std::to_string(index); }

    Outliers()
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < GetParam().instances; ++index)
            names.insert(name(index));
        detector.setGroups({{"g1", names}});
    }

    // Each instance answers every 10 ms; returns the greatest number set aside at a time.
    std::size_t run(Millis from, Millis until, bool healthy = false)
    {
        const Behaviour &param = GetParam();
        std::size_t most = 0;
        for (Millis now = from; now < until; now = now + Millis(10)) {
            for (std::size_t index = 0; index < param.instances; ++index) {
                if (detector.share(now, name(index)) == 0)
                    continue;
                const bool bad = !healthy && index < param.bad;
                const bool badNow = bad && now.count() / 10 % param.badEvery == 0;
                detector.onAnswer(now, name(index), badNow ? param.quality : AnswerQuality::Good);
                detector.onServiceTime(now, name(index), Millis(bad ? param.serviceMs : 20));
            }
            std::size_t aside = 0;
            for (std::size_t index = 0; index < param.instances; ++index)
                aside += detector.share(now, name(index)) == 0 ? 1 : 0;
            most = std::max(most, aside);
        }
        return most;
    }

    OutlierDetector detector;
};

TEST_P(Outliers, AreSetAsideWithinTheBoundAndReturnSlowly)
{
    EXPECT_EQ(run(Millis(0), Millis(3000)), GetParam().setAside);
    const std::size_t events = detector.takeEvents(Millis(3000)).size();
    EXPECT_LE(events, 4 * GetParam().instances); // Bounded, however many answers there were.
    EXPECT_EQ(events > 0, GetParam().setAside > 0);
    run(Millis(3000), Millis(40'000), /*healthy=*/true);
    for (std::size_t index = 0; index < GetParam().instances; ++index)
        EXPECT_EQ(detector.share(Millis(40'000), name(index)), 1);
    for (const OutlierEvent &event : detector.takeEvents(Millis(40'000)))
        EXPECT_EQ(event.event, "instance.returned");
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Outliers,
    testing::Values(Behaviour{"fails", 3, 1, AnswerQuality::Failed, 20, 1, 1},
                    Behaviour{"refuses", 3, 1, AnswerQuality::Refused, 20, 1, 1},
                    Behaviour{"refuses_mostly", 3, 1, AnswerQuality::Refused, 20, 1, 1},
                    Behaviour{"fails_at_times", 3, 1, AnswerQuality::Failed, 20, 3, 0},
                    Behaviour{"refuses_at_times", 3, 1, AnswerQuality::Refused, 20, 4, 0},
                    Behaviour{"slow", 3, 1, AnswerQuality::Good, 300, 1, 1},
                    Behaviour{"a_little_slow", 3, 1, AnswerQuality::Good, 90, 1, 0},
                    Behaviour{"two_of_three_fail", 3, 2, AnswerQuality::Failed, 20, 1, 1},
                    Behaviour{"two_of_five_fail", 5, 2, AnswerQuality::Failed, 20, 1, 2},
                    Behaviour{"all_slow", 3, 3, AnswerQuality::Good, 300, 1, 0},
                    Behaviour{"one_of_two_fails", 2, 1, AnswerQuality::Failed, 20, 1, 1},
                    Behaviour{"the_only_one_fails", 1, 1, AnswerQuality::Failed, 20, 1, 0}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(OutlierDetector, StaysAsideForLongerAtEachRepetition)
{
    OutlierDetector detector;
    detector.setGroups({{"g1", {"i1", "i2", "i3"}}});
    Millis now;
    for (const int aside : {2000, 4000, 8000, 16'000, 16'000}) {
        for (int failure = 0; failure < 5; ++failure)
            detector.onAnswer(now, "i1", AnswerQuality::Failed);
        EXPECT_EQ(detector.share(now + Millis(aside - 1), "i1"), 0);
        now = now + Millis(aside);
        EXPECT_NEAR(detector.share(now, "i1"), 0.1, 0.01);
        EXPECT_NEAR(detector.share(now + Millis(2000), "i1"), 0.55, 0.01);
        now = now + Millis(5000);
        EXPECT_EQ(detector.share(now, "i1"), 1);
    }
    detector.setGroups({{"g1", {"i2", "i3"}}});
    detector.onAnswer(now, "i1", AnswerQuality::Failed);
    EXPECT_EQ(detector.share(now, "i1"), 1);
}

class EventOutput : public SendingOutput
{
public:
    void logGroupEvent(const std::string &, std::string_view event, const std::string &instance,
                       std::uint64_t, const std::string &) override
    {
        if (event.starts_with("instance."))
            events.push_back(std::string(event) + " " + instance);
    }

    std::vector<std::string> events;
};

TEST(SessionEngineOutliers, AreLoggedWhenSetAsideAndReturning)
{
    EventOutput output;
    SessionEngine engine({.host = "h"}, &output);
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 40};
    engine.onHosts(Millis(0), {{.host = "h"}});
    engine.onConfiguration(Millis(0), routing);
    engine.onInstances(Millis(0),
                       {{.id = "i1", .group = "g", .slots = 4},
                        {.id = "i2", .group = "g", .slots = 4},
                        {.id = "i3", .group = "g", .slots = 4}});
    for (Millis now(200); now < Millis(6000); now = now + Millis(200)) {
        for (const char *id : {"i1", "i3"})
            engine.onTargetOpened(now, output.connections[id]);
        if (now < Millis(3000))
            engine.onTargetOpenFailed(now, output.connections["i2"], /*full=*/false);
        else
            engine.onTargetOpened(now, output.connections["i2"]);
        engine.onTick(now);
    }
    ASSERT_FALSE(output.events.empty());
    EXPECT_EQ(output.events.front(), "instance.set-aside i2");
    EXPECT_EQ(output.events.back(), "instance.returned i2");
}

} // namespace
} // namespace cicadagap
