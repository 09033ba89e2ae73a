// Tests of the choice of an instance, with a replay of hosts that choose by reports of some age.
#include "session/instancechoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <ostream>
#include <queue>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr std::size_t Instances = 3;
constexpr std::size_t Hosts = 60; // A third in the data centre of each instance.
constexpr std::size_t Slots = 4;
constexpr std::size_t QueueLimit = 32; // Work that an instance lets wait; it refuses more.
constexpr int ReplayMs = 20'000;
constexpr double ServiceMs = 19;

struct Scene
{
    const char *name;
    int reportAgeMs;                      // The time between two reports to a host.
    std::array<double, Instances> demand; // Of the hosts of each data centre, in a millisecond.
    std::array<double, Instances> slowness;
    int remoteRoundTrip;
    bool leastCost = false; // The rule without reports and chance.
};

std::ostream &operator<<(std::ostream &out, const Scene &scene)
{
    return out << scene.name << ", reports every " << scene.reportAgeMs << " ms";
}

struct Outcome
{
    double refusedShare = 0;
    double busiest = 0; // Arrivals at the busiest instance, over the mean.
};

// The statements at an instance, by the times at which they end.
struct ReplayedInstance
{
    std::priority_queue<double, std::vector<double>, std::greater<>> slotsFree;
    std::vector<double> ends;
    std::size_t arrived = 0;
};

struct ReplayedHost
{
    InstanceChoice choice;
    std::array<Millis, Instances> reported;
    int reportedAt = 0;
    std::vector<std::pair<std::size_t, double>> unanswered; // Instances and times of the end.
    std::array<int, Instances> sentSince{};
};

Outcome replay(const Scene &scene)
{
    std::vector<ReplayedHost> hosts;
    for (std::size_t index = 0; index < Hosts; ++index)
        hosts.push_back({.choice = InstanceChoice("host-" + std::to_string(index))});
    std::array<ReplayedInstance, Instances> instances;
    for (ReplayedInstance &instance : instances) {
        for (std::size_t slot = 0; slot < Slots; ++slot)
            instance.slotsFree.push(0);
    }
    Random random(47);
    const auto draw = [&] { return static_cast<double>(random.below(1'000'000)) / 1e6; };
    std::size_t arrivals = 0;
    std::size_t refused = 0;
    const auto waitOf = [&](std::size_t index, int now) {
        ReplayedInstance &instance = instances[index];
        std::erase_if(instance.ends, [now](double end) { return end <= now; });
        const double service = ServiceMs * scene.slowness[index];
        return Millis(std::int64_t(service * double(instance.ends.size()) / double(Slots)));
    };
    for (int now = 0; now < ReplayMs; ++now) {
        for (std::size_t at = 0; at < Hosts; ++at) {
            ReplayedHost &host = hosts[at];
            const std::size_t home = at % Instances;
            if ((now + int(at) * 7) % scene.reportAgeMs == 0) {
                for (std::size_t index = 0; index < Instances; ++index)
                    host.reported[index] = waitOf(index, now);
                host.reportedAt = now;
                host.sentSince = {};
            }
            if (draw() >= scene.demand[home] / (double(Hosts) / Instances))
                continue;
            std::erase_if(host.unanswered, [now](const auto &sent) { return sent.second <= now; });
            std::vector<InstanceCandidate> candidates;
            for (std::size_t index = 0; index < Instances; ++index) {
                const auto own
                    = std::count_if(host.unanswered.begin(), host.unanswered.end(),
                                    [index](const auto &sent) { return sent.first == index; });
                const double each = ServiceMs * scene.slowness[index] / Slots;
                candidates.push_back(
                    {.sameDataCentre = index == home,
                     .roundTrip = Millis(index == home ? 1 : scene.remoteRoundTrip),
                     .ownWait = Millis(std::int64_t(each * double(own)))});
                if (!scene.leastCost) {
                    candidates.back().report = ReportedWait{.wait = host.reported[index],
                                                            .age = Millis(now - host.reportedAt)};
                    const int sent = std::min(host.sentSince[index], int(own));
                    candidates.back().sentSince = Millis(std::int64_t(each * sent));
                }
            }
            std::size_t chosen = 0;
            if (scene.leastCost) {
                const auto cost = [&](std::size_t index) {
                    return candidates[index].roundTrip + candidates[index].ownWait;
                };
                for (std::size_t index = 1; index < Instances; ++index)
                    chosen = cost(index) < cost(chosen) ? index : chosen;
            } else {
                chosen = *host.choice.choose(candidates);
            }
            ReplayedInstance &instance = instances[chosen];
            waitOf(chosen, now);
            ++arrivals;
            ++instance.arrived;
            if (instance.ends.size() >= Slots + QueueLimit) {
                ++refused;
                continue;
            }
            const double start = std::max(double(now), instance.slotsFree.top());
            instance.slotsFree.pop();
            const double end = start - std::log(1 - draw()) * ServiceMs * scene.slowness[chosen];
            instance.slotsFree.push(end);
            instance.ends.push_back(end);
            host.unanswered.emplace_back(chosen, end);
            ++host.sentSince[chosen];
        }
    }
    std::size_t most = 0;
    for (const ReplayedInstance &instance : instances)
        most = std::max(most, instance.arrived);
    return {.refusedShare = double(refused) / double(arrivals),
            .busiest = double(most) * Instances / double(arrivals)};
}

class EvenLoad : public testing::TestWithParam<Scene>
{
};

TEST_P(EvenLoad, TurnsFewAwayAndLoadsInstancesEvenly)
{
    const Outcome outcome = replay(GetParam());
    Scene before = GetParam();
    before.leastCost = true;
    const Outcome old = replay(before);
    std::cout << GetParam() << ": refused " << outcome.refusedShare << " (least cost "
              << old.refusedShare << "), busiest " << outcome.busiest << " (" << old.busiest
              << ")\n";
    EXPECT_LT(outcome.refusedShare, 0.02);
    EXPECT_LE(outcome.busiest, 2.0);
    EXPECT_LE(outcome.refusedShare, old.refusedShare);
}

std::vector<Scene> scenes()
{
    std::vector<Scene> all;
    for (const int age : {50, 200, 1000}) {
        all.push_back({"equal and equally near", age, {0.16, 0.16, 0.16}, {1, 1, 1}, 1});
        all.push_back({"equal in three data centres", age, {0.16, 0.16, 0.16}, {1, 1, 1}, 12});
        all.push_back({"one three times slower", age, {0.13, 0.13, 0.13}, {1, 3, 1}, 12});
        all.push_back({"twice the demand at one", age, {0.24, 0.12, 0.12}, {1, 1, 1}, 12});
    }
    return all;
}

struct Preference
{
    const char *name;
    std::vector<InstanceCandidate> candidates;
    std::vector<double> least; // Of the probability of each.
    std::vector<double> most;
};

class InstancePreference : public testing::TestWithParam<Preference>
{
};

TEST_P(InstancePreference, IsWithinItsBounds)
{
    const std::vector<double> chances = InstanceChoice::probabilities(GetParam().candidates);
    ASSERT_EQ(chances.size(), GetParam().least.size());
    for (std::size_t index = 0; index < chances.size(); ++index) {
        EXPECT_GE(chances[index], GetParam().least[index]) << index;
        EXPECT_LE(chances[index], GetParam().most[index]) << index;
    }
}

ReportedWait reported(int wait, int age)
{
    return {.wait = Millis(wait), .age = Millis(age)};
}

InstanceCandidate candidate(int roundTrip, int wait, double share = 1)
{
    return {.roundTrip = Millis(roundTrip), .ownWait = Millis(wait), .share = share};
}

InstanceCandidate reportedCandidate(int wait, int age, int sentSince = 0)
{
    return {.roundTrip = Millis(1), .report = reported(wait, age), .sentSince = Millis(sentSince)};
}

INSTANTIATE_TEST_SUITE_P(
    Cases, InstancePreference,
    testing::Values(
        Preference{
            "room at the nearest", {candidate(1, 0), candidate(12, 0)}, {0.99, 0}, {1, 0.01}},
        Preference{"equal", {candidate(2, 3), candidate(2, 3)}, {0.49, 0.49}, {0.51, 0.51}},
        Preference{"the wait equals the way",
                   {candidate(1, 11), candidate(12, 0)},
                   {0.49, 0.49},
                   {0.51, 0.51}},
        Preference{"spill over", {candidate(1, 80), candidate(12, 0)}, {0, 0.9}, {0.1, 1}},
        Preference{"unknown round trips", {{.sameDataCentre = true}, {}}, {0.99, 0}, {1, 0.01}},
        Preference{
            "no connection", {{.noConnection = true}, candidate(30, 0)}, {0, 0.99}, {0.01, 1}},
        Preference{"set aside", {candidate(1, 0, 0), candidate(30, 90)}, {0, 1}, {0, 1}},
        Preference{
            "all set aside", {candidate(1, 0, 0), candidate(1, 0, 0)}, {0.4, 0.4}, {0.6, 0.6}},
        Preference{
            "returning", {candidate(1, 0, 0.25), candidate(1, 0)}, {0.19, 0.79}, {0.21, 0.81}},
        Preference{"new report",
                   {reportedCandidate(100, 0), reportedCandidate(0, 0)},
                   {0, 0.95},
                   {0.05, 1}},
        Preference{"old report",
                   {reportedCandidate(100, 9000), reportedCandidate(0, 9000)},
                   {0.45, 0.45},
                   {0.55, 0.55}},
        Preference{"own work since",
                   {reportedCandidate(0, 100, 40), reportedCandidate(0, 100)},
                   {0, 0.95},
                   {0.05, 1}},
        Preference{"a report from the future",
                   {reportedCandidate(9, -5), reportedCandidate(9, 0)},
                   {0.49, 0.49},
                   {0.51, 0.51}}),
    [](const auto &info) {
        std::string name = info.param.name;
        std::replace(name.begin(), name.end(), ' ', '_');
        return name;
    });

TEST(InstanceChoice, DrawsDifferOfHostsAndRepeatOnEach)
{
    const std::vector<InstanceCandidate> equal{candidate(1, 0), candidate(1, 0), candidate(1, 0)};
    const auto draws = [&](const char *host) {
        InstanceChoice choice(host);
        constexpr int Draws = 40;
        std::vector<std::size_t> drawn;
        drawn.reserve(Draws);
        for (int count = 0; count < Draws; ++count)
            drawn.push_back(*choice.choose(equal));
        return drawn;
    };
    EXPECT_EQ(draws("host-1"), draws("host-1"));
    EXPECT_NE(draws("host-1"), draws("host-2"));
    EXPECT_FALSE(InstanceChoice("host-1").choose({}));
}

INSTANTIATE_TEST_SUITE_P(Scenes, EvenLoad, testing::ValuesIn(scenes()));

} // namespace
} // namespace cicadagap
