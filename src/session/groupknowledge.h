// What the gateway side of a host has to know about the groups of its instances.
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <optional>
#include <string>

namespace cicadagap {

// Answers questions about a group's primary, and takes evidence about it. Groups are named by one
// of their instances.
class GroupKnowledge
{
public:
    GroupKnowledge() = default;
    GroupKnowledge(const GroupKnowledge &) = delete;
    GroupKnowledge &operator=(const GroupKnowledge &) = delete;
    virtual ~GroupKnowledge() = default;

    // A position that covers everything the primary had at `since`; nothing if none is known.
    virtual std::optional<Position> positionCovering(const std::string &instance,
                                                     Millis since) const = 0;
    // Whether the instance may serve a statement that has to see all commits up to `instant`; see
    // PrimaryTracker::mayServe(). If that is not known, it is found out.
    virtual bool mayServe(Millis now, const std::string &instance, Millis instant, bool onlyWrites)
        = 0;
    // Whether another instance is known to be the primary.
    virtual bool anotherIsPrimary(const std::string &instance) const = 0;
    // Whether a write that was sent to the instance at `sentAt` shows whether the present primary
    // acknowledges writes. One that was sent before a change of primary may never be answered.
    virtual bool concernsPrimary(const std::string &instance, Millis sentAt) const = 0;
    // The instance acknowledged a commit that was sent at `sentAt`.
    virtual void onCommitAcknowledged(const std::string &instance, Millis sentAt) = 0;
};

} // namespace cicadagap
