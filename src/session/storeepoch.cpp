#include "session/storeepoch.h"

namespace cicadagap {

StoreEpoch::Answer StoreEpoch::onAnswer(Millis now, std::uint64_t epoch)
{
    if (epoch == m_number)
        return Answer::Current;
    if (epoch < m_number)
        return Answer::Outdated;
    m_number = epoch;
    m_beganBy = now;
    return Answer::NewEpoch;
}

bool StoreEpoch::onAge(Millis now, std::uint64_t epoch, Millis age)
{
    const bool later = epoch > m_number;
    if (epoch < m_number || (!later && now - age >= m_beganBy))
        return false;
    m_number = epoch;
    m_beganBy = now - age;
    return true;
}

bool StoreEpoch::settled(Millis instant) const
{
    return m_number == 0 || instant >= m_beganBy + m_options.settleTime;
}

} // namespace cicadagap
