#include "session/storeera.h"

namespace cicadagap {

StoreEra::Answer StoreEra::onAnswer(Millis now, std::uint64_t era)
{
    if (era == m_number)
        return Answer::Current;
    if (era < m_number)
        return Answer::Outdated;
    m_number = era;
    m_beganBy = now;
    return Answer::NewEra;
}

bool StoreEra::onAge(Millis now, std::uint64_t era, Millis age)
{
    const bool later = era > m_number;
    if (era < m_number || (!later && now - age >= m_beganBy))
        return false;
    m_number = era;
    m_beganBy = now - age;
    return true;
}

bool StoreEra::settled(Millis instant) const
{
    return m_number == 0 || instant >= m_beganBy + m_options.settleTime;
}

} // namespace cicadagap
