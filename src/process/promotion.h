// One attempt to promote a new primary of a database group.
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <map>
#include <string>
#include <vector>

namespace cicadagap {

// The kinds of actions that a Promotion asks its caller to carry out.
enum class PromotionStep {
    Seal,     // Command `instance` to adopt `term` and to follow no primary.
    Promote,  // Command `instance` to become primary of `term`.
    Announce, // The attempt succeeded: `instance` is the primary of `term`.
    GiveUp,   // The attempt failed; `term` is the highest term that it met.
};

struct PromotionAction
{
    PromotionStep step = PromotionStep::Seal;
    std::string instance;
    std::uint64_t term = 0;

    bool operator==(const PromotionAction &) const = default;
};

// One attempt to replace a group's primary. It seals a majority of the instances under a new term,
// promotes the sealed instance whose last entry has the highest position, and announces it. To seal
// an instance means to make it adopt a higher term and accept nothing more from a primary of a
// lower one.
//
// Safety depends on the instances alone. Each instance adopts a term at most once, so two attempts
// cannot both seal a majority under the same term, and a sealed majority accepts no replication of
// lower terms. An attempt that is paused, repeated or cut off at any step is therefore harmless
// (model/primary.pml verifies this).
//
// A deterministic state machine: it performs no I/O and reads no clock. Not thread-safe.
//
//     Promotion promotion({.instances = {"t1", "t2", "t3"}, .highestTerm = 4}, now);
//     promotion.start();                                        // Seal t1, t2 and t3 in term 5.
//     promotion.onSealed(now, "t2", true, 5, {4, 17});          // ... Promote t2.
class Promotion
{
public:
    struct Options
    {
        std::vector<std::string> instances;
        std::uint64_t highestTerm = 0;     // The highest known term of any instance.
        std::vector<std::string> avoid;    // Not promoted if the other sealed ones are a majority.
        Millis stragglerWait = Millis(50); // For the other answers, once a majority is sealed.
        Millis stepTimeout = Millis(1500); // Gives up if one phase takes longer.
    };

    Promotion(Options options, Millis now);

    // Returns the Seal actions that begin the attempt.
    std::vector<PromotionAction> start() const;
    // Handles the answer of an instance to Seal. `accepted` is false if its term, `instanceTerm`,
    // was not lower than that of the attempt. `last` is the position of its last entry.
    std::vector<PromotionAction> onSealed(Millis now, const std::string &instance, bool accepted,
                                          std::uint64_t instanceTerm, Position last);
    // Handles the answer of an instance to Promote. `accepted` is false if it was no longer in the
    // term.
    std::vector<PromotionAction> onPromoted(Millis now, const std::string &instance, bool accepted);
    // Returns the actions that are due because of the passage of time.
    std::vector<PromotionAction> onTick(Millis now);

    // Whether the attempt succeeded or was given up.
    bool finished() const { return m_phase == Phase::Finished; }
    // The term under which this attempt seals and promotes.
    std::uint64_t term() const { return m_term; }

private:
    enum class Phase {
        Sealing,
        Promoting,
        Finished,
    };

    // Whether a majority of the instances is sealed.
    bool hasSealedMajority() const;
    std::vector<PromotionAction> promoteCandidate(Millis now);
    // The sealed instances that are candidates for promotion.
    std::map<std::string, Position> candidates() const;
    std::vector<PromotionAction> giveUp(std::uint64_t highestTerm);

    Options m_options;
    Phase m_phase = Phase::Sealing;
    std::uint64_t m_term;
    std::map<std::string, Position> m_sealed; // Sealed instance to its last position.
    std::string m_candidate;                  // The instance that is being promoted.
    Millis m_deadline;                        // Of the current phase.
    Millis m_majorityAt;                      // When a majority was first sealed.
};

} // namespace cicadagap
