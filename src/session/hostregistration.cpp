#include "session/hostregistration.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

HostRegistration::HostRegistration(const std::string &host, Options options)
    : m_options(options)
{
    const auto spread
        = static_cast<std::uint64_t>(std::max<std::int64_t>(1, options.spread.count()));
    m_delay = Millis(static_cast<std::int64_t>(hash64(host) % spread));
}

void HostRegistration::onEpoch(Millis now, std::uint64_t epoch)
{
    const std::uint64_t before = std::exchange(m_epoch, epoch);
    if (before > 0 && before != epoch)
        m_nextAt = std::min(m_nextAt, now + m_delay);
}

bool HostRegistration::takeDue(Millis now)
{
    if (now < m_nextAt)
        return false;
    m_nextAt = now + m_options.interval;
    return true;
}

} // namespace cicadagap
