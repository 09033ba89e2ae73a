// The era of the platform's store, as one host knows it: which answers are outdated, and whether
// the store has what instances and operators wrote before it was restored.
//
// When the store comes back from an older copy of itself, a new era begins (see storeposition.h).
// Instances and operators then write again what was lost, within a bounded time. Until then a list
// may show an instance as it was before, and miss one that registered since the copy.
//
// Load pattern: eras begin rarely; every answer of the store names one.
#pragma once

#include "base/millis.h"

#include <cstdint>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe. Instants are of one clock of this process.
//
//     StoreEra era({});
//     if (era.onAnswer(now, reading.position.era) == StoreEra::Answer::Outdated)
//         return; // It was sent before the store was restored.
class StoreEra
{
public:
    struct Options
    {
        // After the begin of an era, until everything that lives has written its entries again.
        Millis settleTime = Millis(3000);
    };

    enum class Answer {
        Current,
        NewEra,   // The first answer of a later era than the known one.
        Outdated, // Of an earlier era, or without one although the store counts eras.
    };

    explicit StoreEra(Options options)
        : m_options(options)
    {
    }

    // The store answered in this era; 0: it named none.
    Answer onAnswer(Millis now, std::uint64_t era);
    // It is known from elsewhere that the era began at least `age` ago. Returns whether that is
    // new.
    bool onAge(Millis now, std::uint64_t era, Millis age);

    // 0 before the first answer, and if the store counts no eras.
    std::uint64_t number() const { return m_number; }
    // The latest instant at which the present era can have begun.
    Millis beganBy() const { return m_beganBy; }
    // Whether an answer to a call that was sent at `instant` shows all that was written again.
    bool settled(Millis instant) const;

private:
    Options m_options;
    std::uint64_t m_number = 0;
    Millis m_beganBy;
};

} // namespace cicadagap
