#include "simulatedstore.h"

namespace cicadagap {

namespace {

constexpr Millis FirstEpochAge(60'000);

} // namespace

void SimulatedStore::countEpochs(Millis now)
{
    m_state.epoch = 1;
    m_state.epochSeenAt = now - FirstEpochAge;
}

Millis SimulatedStore::recordEpoch(Millis now)
{
    if (!m_state.epochSeenAt)
        m_state.epochSeenAt = now;
    return *m_state.epochSeenAt;
}

SimulatedStore::LeaseRow SimulatedStore::readLease(Millis now) const
{
    return {.lease = m_state.lease,
            .version = m_state.leaseVersion,
            .instant = {.now = now + ClockLead,
                        .epoch = m_state.epoch,
                        .epochSeenAt = m_state.epochSeenAt.value_or(now) + ClockLead}};
}

bool SimulatedStore::writeLease(const LeaseRow &row, const PromotionLease &lease)
{
    if (m_state.leaseVersion != row.version || m_state.epoch != row.instant.epoch)
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
    const std::uint64_t epoch = m_state.epoch + 1;
    m_state = m_copies.back().state;
    m_state.epoch = epoch;
    m_state.epochSeenAt.reset();
    m_copiedList = m_copies.back().instances;
    m_refilledAt = refilledAt;
}

} // namespace cicadagap
