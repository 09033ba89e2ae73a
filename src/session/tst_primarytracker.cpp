// What a host believes about a group's primary, from evidence that comes late or out of order.
#include "session/primarytracker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

// Evidence, in the order of arrival.
struct Event
{
    enum class Kind {
        Leads,        // Proven by an answer to a question sent at `askedAt`.
        DoesNotLead,  // The same, denied.
        Told,         // By a gateway.
        ListedFirst,  // The registered list says that "a" is the primary.
        ListedSecond, // The registered list says that "b" is.
    };

    Kind kind = Kind::Leads;
    std::string instance;
    Millis at;
    Millis askedAt;
    std::uint64_t term = 1;
};

struct PrimaryTrackerCase
{
    const char *name;
    bool watching = true;
    std::vector<Event> events;
    std::string primary;
};

class PrimaryTrackerEvents : public testing::TestWithParam<PrimaryTrackerCase>
{
protected:
    static void apply(const Event &event, PrimaryTracker *tracker)
    {
        switch (event.kind) {
        case Event::Kind::Leads:
            tracker->onProvenPrimary(event.at, event.instance, event.askedAt, {.term = event.term});
            return;
        case Event::Kind::DoesNotLead:
            tracker->onNotPrimary(event.at, event.instance, event.askedAt);
            return;
        case Event::Kind::Told:
            tracker->onReportedPrimary(event.instance);
            return;
        case Event::Kind::ListedFirst:
        case Event::Kind::ListedSecond:
            const bool first = event.kind == Event::Kind::ListedFirst;
            tracker->setInstances(event.at,
                                  {{.id = "a", .registeredAsPrimary = first, .incarnation = 1},
                                   {.id = "b", .registeredAsPrimary = !first, .incarnation = 1},
                                   {.id = "c", .incarnation = 1}});
            return;
        }
    }
};

TEST_P(PrimaryTrackerEvents, FollowsTheNewestEvidence)
{
    PrimaryTracker tracker;
    tracker.setProbing(GetParam().watching);
    for (const Event &event : GetParam().events)
        apply(event, &tracker);
    EXPECT_EQ(tracker.primary(), GetParam().primary);
}

using Kind = Event::Kind;

INSTANTIATE_TEST_SUITE_P(
    All, PrimaryTrackerEvents,
    testing::Values(
        PrimaryTrackerCase{.name = "registeredRole",
                           .events = {{Kind::ListedFirst, "", Millis(0)}},
                           .primary = "a"},
        // The question was asked before the promotion.
        PrimaryTrackerCase{.name = "denialOlderThanTheProof",
                           .events = {{Kind::ListedFirst, "", Millis(0)},
                                      {Kind::Leads, "b", Millis(1000), Millis(990), 2},
                                      {Kind::DoesNotLead, "b", Millis(1030), Millis(900)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "denialNewerThanTheProof",
                           .events = {{Kind::ListedFirst, "", Millis(0)},
                                      {Kind::Leads, "b", Millis(1000), Millis(990), 2},
                                      {Kind::DoesNotLead, "b", Millis(1030), Millis(1010)}},
                           .primary = ""},
        // The failed primary's entry still stands for a while.
        PrimaryTrackerCase{.name = "roleOfAPrimaryThatWasReplaced",
                           .events = {{Kind::ListedFirst, "", Millis(0)},
                                      {Kind::Leads, "b", Millis(1000), Millis(990), 2},
                                      {Kind::ListedFirst, "", Millis(1200)},
                                      {Kind::DoesNotLead, "b", Millis(1600), Millis(1500)}},
                           .primary = ""},
        PrimaryTrackerCase{.name = "relayedProofOutlivesAnOldRole",
                           .watching = false,
                           .events = {{Kind::ListedFirst, "", Millis(0)},
                                      {Kind::Leads, "b", Millis(1000), Millis(990), 2},
                                      {Kind::ListedFirst, "", Millis(1200)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "gatewaysWordOutlivesAnOldRole",
                           .watching = false,
                           .events = {{Kind::ListedFirst, "", Millis(0)},
                                      {Kind::Told, "b", Millis(1000)},
                                      {Kind::ListedFirst, "", Millis(1200)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "aNewRoleIsBelieved",
                           .watching = false,
                           .events = {{Kind::ListedFirst, "", Millis(0)},
                                      {Kind::Leads, "a", Millis(500), Millis(490), 1},
                                      {Kind::ListedSecond, "", Millis(1200)}},
                           .primary = "b"}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace cicadagap
