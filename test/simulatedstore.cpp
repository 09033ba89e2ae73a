#include "simulatedstore.h"

namespace cicadagap {

namespace {

constexpr Millis FirstEraAge(60'000);

} // namespace

void SimulatedStore::countEras(Millis now)
{
    m_state.era = 1;
    m_state.eraSeenAt = now - FirstEraAge;
}

Millis SimulatedStore::recordEra(Millis now)
{
    if (!m_state.eraSeenAt)
        m_state.eraSeenAt = now;
    return *m_state.eraSeenAt;
}

SimulatedStore::LeaseRow SimulatedStore::readLease(Millis now) const
{
    return {.lease = m_state.lease,
            .version = m_state.leaseVersion,
            .instant = {.now = now + ClockLead,
                        .era = m_state.era,
                        .eraSeenAt = m_state.eraSeenAt.value_or(now) + ClockLead}};
}

bool SimulatedStore::writeLease(const LeaseRow &row, const PromotionLease &lease)
{
    if (m_state.leaseVersion != row.version || m_state.era != row.instant.era)
        return false;
    m_state.lease = lease;
    ++m_state.leaseVersion;
    return true;
}

void SimulatedStore::keepCopy(Millis now, const std::vector<RegisteredInstance> &registered)
{
    m_copies.push_back({.at = now, .state = m_state, .instances = listed(now, registered)});
}

void SimulatedStore::putBack(Millis oldest, Millis refilledAt)
{
    // The newer copies are of a history that is forgotten.
    while (m_copies.size() > 1 && m_copies.back().at > oldest)
        m_copies.pop_back();
    const std::uint64_t era = m_state.era + 1;
    m_state = m_copies.back().state;
    m_state.era = era;
    m_state.eraSeenAt.reset();
    m_copiedList = m_copies.back().instances;
    m_refilledAt = refilledAt;
}

} // namespace cicadagap
