// One attempt to change a group's primary: seal a majority of instances under a new term, promote
// the one with the highest last entry, and announce it.
//
// Safety rests on the instances alone: each adopts a term at most once, so two attempts cannot both
// seal a majority under one term, and a sealed majority accepts no replication of lower terms. An
// attempt that is paused, repeated or cut off at any step is harmless (model/primary.pml checks
// it).
//
//     Promotion promotion({.instances = {"t1", "t2", "t3"}, .highestTerm = 4}, now);
//     promotion.start();                              // Seal{t1..t3, term 5}
//     promotion.onSealed(now, "t2", answer);          // ... Promote{t2}
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <map>
#include <string>
#include <vector>

namespace cicadagap {

enum class PromotionStep {
    Seal,     // Tell `instance` to adopt `term` and follow nobody.
    Promote,  // Tell `instance` to be primary of `term`.
    Announce, // `instance` is primary of `term`.
    GiveUp,   // The attempt failed; `term` is the highest term seen.
};

struct PromotionAction
{
    PromotionStep step = PromotionStep::Seal;
    std::string instance;
    std::uint64_t term = 0;

    bool operator==(const PromotionAction &) const = default;
};

class Promotion
{
public:
    struct Options
    {
        std::vector<std::string> instances;
        std::uint64_t highestTerm = 0;     // The highest term seen in the group.
        std::vector<std::string> avoid;    // Leaving: not promoted if the others suffice.
        Millis stragglerWait = Millis(50); // Waits this long for the rest after a majority.
        Millis stepTimeout = Millis(1500); // Gives up after this long without progress.
    };

    Promotion(Options options, Millis now);

    // The seals that open the attempt.
    std::vector<PromotionAction> start() const;
    // An instance answered a seal. `accepted` is false if its term was not lower.
    std::vector<PromotionAction> onSealed(Millis now, const std::string &instance, bool accepted,
                                          std::uint64_t itsTerm, Position last);
    std::vector<PromotionAction> onPromoted(Millis now, const std::string &instance, bool accepted);
    std::vector<PromotionAction> onTick(Millis now);

    bool finished() const { return m_phase == Phase::Finished; }
    std::uint64_t term() const { return m_term; }

private:
    enum class Phase {
        Sealing,
        Promoting,
        Finished,
    };

    bool haveMajority() const;
    std::vector<PromotionAction> promoteBest(Millis now);
    std::map<std::string, Position> stayingMajority() const;
    std::vector<PromotionAction> giveUp(std::uint64_t highestTerm);

    Options m_options;
    Phase m_phase = Phase::Sealing;
    std::uint64_t m_term;
    std::map<std::string, Position> m_sealed;
    std::string m_chosen;
    Millis m_deadline;
    Millis m_majorityAt;
};

} // namespace cicadagap
