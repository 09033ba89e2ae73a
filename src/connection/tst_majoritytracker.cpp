#include "connection/majoritytracker.h"

#include <gtest/gtest.h>

#include <vector>

namespace cicadagap {

namespace {

// What an instance reported.
struct Observation
{
    std::string instance;
    std::uint64_t term;
    Position last;
};

struct MajorityTrackerCase
{
    std::string name;
    std::vector<Observation> observations;
    Position write;
    bool held;
};

std::ostream &operator<<(std::ostream &out, const MajorityTrackerCase &c)
{
    return out << c.name;
}

} // namespace

class MajorityTrackerTable : public testing::TestWithParam<MajorityTrackerCase>
{
};

TEST_P(MajorityTrackerTable, DecidesByMajorityInTheTerm)
{
    MajorityTracker tracker(3);
    for (const Observation &observation : GetParam().observations)
        tracker.observe(observation.instance, observation.term, observation.last);
    EXPECT_EQ(tracker.holds(GetParam().write), GetParam().held);
}

INSTANTIATE_TEST_SUITE_P(
    Rules, MajorityTrackerTable,
    testing::Values(
        MajorityTrackerCase{"primary alone", {{"a", 2, {2, 5}}}, {2, 5}, false},
        MajorityTrackerCase{"two of three", {{"a", 2, {2, 5}}, {"b", 2, {2, 5}}}, {2, 5}, true},
        MajorityTrackerCase{"replica behind", {{"a", 2, {2, 5}}, {"b", 2, {2, 4}}}, {2, 5}, false},
        MajorityTrackerCase{
            "replica left the term", {{"a", 2, {2, 5}}, {"b", 3, {2, 5}}}, {2, 5}, false},
        MajorityTrackerCase{"entry of an earlier term on a majority",
                            {{"a", 3, {2, 5}}, {"b", 3, {2, 5}}},
                            {2, 5},
                            false},
        MajorityTrackerCase{"same index once a majority has the barrier entry",
                            {{"a", 3, {3, 6}}, {"b", 3, {3, 6}}},
                            {3, 5},
                            true},
        MajorityTrackerCase{"a report of a lower term arrives late",
                            {{"a", 3, {3, 6}}, {"b", 3, {3, 6}}, {"b", 2, {2, 9}}},
                            {3, 6},
                            true},
        MajorityTrackerCase{
            "nothing written", {{"a", 2, {0, 0}}, {"b", 2, {0, 0}}}, {0, 0}, false}));

TEST(ReplicaAge, BoundsTheAgeByTheNewestCoveredSample)
{
    ReplicaAge replicaAge;
    replicaAge.addSample(Millis(100), {1, 10});
    replicaAge.addSample(Millis(200), {1, 20});
    EXPECT_EQ(replicaAge.age(Millis(250), {1, 20}), Millis(50));
    EXPECT_EQ(replicaAge.age(Millis(250), {1, 15}), Millis(150));
    EXPECT_EQ(replicaAge.age(Millis(250), {1, 9}), std::nullopt);
    EXPECT_EQ(replicaAge.age(Millis(250), {2, 1}), Millis(50));
}

TEST(ReplicaAge, IgnoresSamplesThatGoBackwards)
{
    ReplicaAge replicaAge;
    replicaAge.addSample(Millis(200), {2, 20});
    replicaAge.addSample(Millis(300), {1, 99}); // From an isolated primary of an earlier term.
    replicaAge.addSample(Millis(150), {2, 30});
    EXPECT_EQ(replicaAge.newestSample(), Millis(200));
    EXPECT_EQ(replicaAge.newestPosition(), (Position{2, 20}));
}

} // namespace cicadagap
