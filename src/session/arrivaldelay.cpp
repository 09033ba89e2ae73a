#include "session/arrivaldelay.h"

#include <algorithm>

namespace cicadagap {

void ArrivalDelay::onTick(Millis now)
{
    if (m_lastTick && now - *m_lastTick > m_options.suspensionLimit) {
        m_suspendedAt = *m_lastTick;
        m_resumedAt = now;
    }
    m_lastTick = now;
}

Millis ArrivalDelay::bound(Millis now, Millis requestedAt) const
{
    Millis waitingSince = m_lastTick.value_or(requestedAt);
    if (m_resumedAt && now - *m_resumedAt <= m_options.catchUpTime)
        waitingSince = std::min(waitingSince, m_suspendedAt);
    return now - std::max(waitingSince, requestedAt);
}

} // namespace cicadagap
