#include "connection/transferprogress.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

void TransferProgress::onBytes(Millis now, std::size_t count)
{
    m_bytes += count;
    m_failed = m_failed || now > m_deadline || m_bytes > m_limits.maxBytes;
    if (!std::exchange(m_started, true))
        m_windowStart = now;
    m_bytesInWindow += count;
    if (now >= m_windowStart + m_limits.window) {
        m_failed = m_failed || m_bytesInWindow < m_limits.bytesPerWindow;
        m_windowStart = now;
        m_bytesInWindow = 0;
    }
    m_deadline = now + m_limits.idle;
    if (m_bytesInWindow < m_limits.bytesPerWindow)
        m_deadline = std::min(m_deadline, m_windowStart + m_limits.window);
}

} // namespace cicadagap
