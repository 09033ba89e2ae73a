// The epoch of the platform's store, as one host knows it: which answers are outdated, and whether
// the store has what instances and operators wrote before it was restored.
//
// When the store comes back from an older copy of itself, a new epoch begins (see storeposition.h).
// Instances and operators then write again what was lost, within a bounded time. Until then a list
// may show an instance as it was before, and miss one that registered since the copy.
//
// Load pattern: epochs begin rarely; every answer of the store names one.
#pragma once

#include "base/millis.h"

#include <cstdint>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe. Instants are of one clock of this process.
//
//     StoreEpoch epoch({});
//     if (epoch.onAnswer(now, reading.position.epoch) == StoreEpoch::Answer::Outdated)
//         return; // It was sent before the store was restored.
class StoreEpoch
{
public:
    struct Options
    {
        // After the begin of an epoch, until everything that lives has written its entries again.
        Millis settleTime = Millis(3000);
    };

    enum class Answer {
        Current,
        NewEpoch, // The first answer of a later epoch than the known one.
        Outdated, // Of an earlier epoch, or without one although the store counts epochs.
    };

    explicit StoreEpoch(Options options)
        : m_options(options)
    {
    }

    // The store answered in this epoch; 0: it named none.
    Answer onAnswer(Millis now, std::uint64_t epoch);
    // It is known from elsewhere that the epoch began at least `age` ago. Returns whether that is
    // new.
    bool onAge(Millis now, std::uint64_t epoch, Millis age);

    // 0 before the first answer, and if the store counts no epochs.
    std::uint64_t number() const { return m_number; }
    // The latest instant at which the present epoch can have begun.
    Millis beganBy() const { return m_beganBy; }
    // Whether an answer to a call that was sent at `instant` shows all that was written again.
    bool settled(Millis instant) const;

private:
    Options m_options;
    std::uint64_t m_number = 0;
    Millis m_beganBy;
};

} // namespace cicadagap
