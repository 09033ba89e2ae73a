// How long a message may have waited in this process's socket buffers before it is handled. Load
// pattern: a host that is suspended for seconds and handles what arrived meanwhile when it wakes.
#pragma once

#include "base/millis.h"

#include <optional>

namespace cicadagap {

// An age that a message states was true when it was sent; bound() has to be added to it.
//
//     delay.onTick(now); // Often.
//     age += delay.bound(now, requestedAt);
//
// Performs no I/O and reads no clock. Not thread-safe.
class ArrivalDelay
{
public:
    struct Options
    {
        // A longer time between two ticks counts as a suspension of the process.
        Millis suspensionLimit = Millis(300);
        // After a suspension, what arrived during it is handled within this time.
        Millis catchUpTime = Millis(1000);
    };

    ArrivalDelay()
        : ArrivalDelay(Options{})
    {
    }
    explicit ArrivalDelay(Options options)
        : m_options(options)
    {
    }

    void onTick(Millis now);
    // The longest time for which a message that is handled now may have waited, if it was requested
    // at `requestedAt`.
    Millis bound(Millis now, Millis requestedAt) const;

private:
    Options m_options;
    std::optional<Millis> m_lastTick;
    // The last suspension: from the tick before it to the one after.
    Millis m_suspendedAt;
    std::optional<Millis> m_resumedAt;
};

} // namespace cicadagap
