// Judges a transfer whose length grows with the fleet or the configuration by its progress, not by
// one time for the whole. Load pattern: a version of the configuration that takes longer than a
// call's usual timeout on a narrow link. Given up and begun anew, it would fill the link forever.
#pragma once

#include "base/millis.h"

#include <cstddef>

namespace cicadagap {

// What a transfer must achieve after its first byte.
struct TransferLimits
{
    Millis idle = Millis(900); // The longest time without a byte.
    // At least so many bytes have to arrive in each window of time. A sender that trickles is
    // given up.
    std::size_t bytesPerWindow = 8UL * 1024;
    Millis window = Millis(2000);
    std::size_t maxBytes = 64UL * 1024 * 1024; // Held in memory as a whole.
};

// The progress of one transfer. Performs no I/O and reads no clock. Not thread-safe.
//
//     TransferProgress progress(limits, now, Millis(900));
//     progress.onBytes(now, count); // Whenever some arrive.
//     // Given up if progress.hasFailed(), or once progress.deadline() has passed.
class TransferProgress
{
public:
    // The first byte has to arrive within `firstByte`.
    TransferProgress(const TransferLimits &limits, Millis startedAt, Millis firstByte)
        : m_limits(limits)
        , m_deadline(startedAt + firstByte)
    {
    }

    void onBytes(Millis now, std::size_t count);
    // Whether it broke a limit. Stays so.
    bool hasFailed() const { return m_failed; }
    // When it breaks a limit if nothing arrives until then.
    Millis deadline() const { return m_deadline; }
    std::size_t bytes() const { return m_bytes; }

private:
    TransferLimits m_limits;
    Millis m_deadline;
    Millis m_windowStart; // Of the current window, which begins with the first byte.
    std::size_t m_bytesInWindow = 0;
    std::size_t m_bytes = 0;
    bool m_started = false;
    bool m_failed = false;
};

} // namespace cicadagap
