// Tests of PrimaryTracker: evidence about a group's primary that arrives late or out of order.
#include "session/primarytracker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

// A piece of evidence. A case lists them in the order of arrival.
struct Event
{
    enum class Kind {
        ProvenPrimary,   // Proven by the answer to a request that was sent at `sentAt`.
        NotPrimary,      // Denied by the answer to such a request.
        ReportedPrimary, // By a gateway.
        RegisteredA,     // "a" is registered as the primary.
        RegisteredB,     // "b" is registered as the primary.
    };

    Kind kind = Kind::ProvenPrimary;
    std::string instance;
    Millis at;
    Millis sentAt;
    std::uint64_t term = 1;
};

struct PrimaryTrackerCase
{
    const char *name;
    bool probing = true;
    std::vector<Event> events;
    std::string primary;
};

class PrimaryTrackerEvents : public testing::TestWithParam<PrimaryTrackerCase>
{
protected:
    static void apply(const Event &event, PrimaryTracker *tracker)
    {
        switch (event.kind) {
        case Event::Kind::ProvenPrimary:
            tracker->onProvenPrimary(event.at, event.instance, event.sentAt, {.term = event.term});
            return;
        case Event::Kind::NotPrimary:
            tracker->onNotPrimary(event.at, event.instance, event.sentAt);
            return;
        case Event::Kind::ReportedPrimary:
            tracker->onReportedPrimary(event.at, event.instance);
            return;
        case Event::Kind::RegisteredA:
        case Event::Kind::RegisteredB:
            const bool aIsPrimary = event.kind == Event::Kind::RegisteredA;
            tracker->setInstances(
                event.at,
                {{.id = "a", .registeredAsPrimary = aIsPrimary, .incarnation = 1},
                 {.id = "b", .registeredAsPrimary = !aIsPrimary, .incarnation = 1},
                 {.id = "c", .incarnation = 1}});
            return;
        }
    }
};

TEST_P(PrimaryTrackerEvents, UsesTheNewestEvidence)
{
    PrimaryTracker tracker;
    tracker.setProbing(GetParam().probing);
    for (const Event &event : GetParam().events)
        apply(event, &tracker);
    EXPECT_EQ(tracker.primary(), GetParam().primary);
}

using Kind = Event::Kind;

INSTANTIATE_TEST_SUITE_P(
    All, PrimaryTrackerEvents,
    testing::Values(
        PrimaryTrackerCase{.name = "registeredRole",
                           .events = {{Kind::RegisteredA, "", Millis(0)}},
                           .primary = "a"},
        // The request was sent before the promotion.
        PrimaryTrackerCase{.name = "denialOlderThanTheProof",
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::NotPrimary, "b", Millis(1030), Millis(900)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "denialNewerThanTheProof",
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::NotPrimary, "b", Millis(1030), Millis(1010)}},
                           .primary = ""},
        // The failed primary's entry remains in the list for a while.
        PrimaryTrackerCase{.name = "roleOfAPrimaryThatWasReplaced",
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::RegisteredA, "", Millis(1200)},
                                      {Kind::NotPrimary, "b", Millis(1600), Millis(1500)}},
                           .primary = ""},
        PrimaryTrackerCase{.name = "relayedProofOutlivesAnOldRole",
                           .probing = false,
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::RegisteredA, "", Millis(1200)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "gatewaysReportOutlivesAnOldRole",
                           .probing = false,
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ReportedPrimary, "b", Millis(1000)},
                                      {Kind::RegisteredA, "", Millis(1200)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "aNewRoleIsAccepted",
                           .probing = false,
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "a", Millis(500), Millis(490), 1},
                                      {Kind::RegisteredB, "", Millis(1200)}},
                           .primary = "b"}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace cicadagap
