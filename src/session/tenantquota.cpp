#include "session/tenantquota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadagap {

namespace {

// The weight of the newest interval in the smoothed demand.
constexpr double NewestWeight = 0.5;
// A host asks for so many times the demand of an interval.
constexpr double AheadFactor = 1.5;
// A tenant counts as refused until none of its operations was refused for this long.
constexpr Millis CalmTime(5000);

} // namespace

TenantQuota::TenantQuota(Options options)
    : m_options(std::move(options))
{
}

void TenantQuota::setLimits(Millis now, const std::map<std::string, TenantLimits> &limits)
{
    std::erase_if(m_tenants, [&](const auto &entry) { return !limits.contains(entry.first); });
    for (const auto &[tenant, newLimits] : limits) {
        const auto [found, isNew] = m_tenants.try_emplace(tenant);
        TenantState &state = found->second;
        const bool lower
            = newLimits.perSecond < state.limits.perSecond || newLimits.burst < state.limits.burst;
        growOwn(now, &state);
        state.limits = newLimits;
        growOwn(now, &state);
        if (!isNew && lower)
            state.held = 0;
    }
}

void TenantQuota::setHosts(Millis now, const std::vector<std::string> &hosts,
                           const QuotaOwners &owners)
{
    m_owners = owners;
    std::erase_if(m_ownerStates, [&](const auto &entry) {
        return std::find(owners.begin(), owners.end(), entry.first) == owners.end();
    });
    const bool listed = std::find(hosts.begin(), hosts.end(), m_options.host) != hosts.end();
    if (!listed)
        m_listedSince.reset();
    else if (!m_listedSince)
        m_listedSince = now;
    m_hostCount.note(now, hosts.size());
}

// The number of hosts that share the limits; 0 if this host has no share.
std::size_t TenantQuota::sharingHosts(Millis now) const
{
    if (!m_listedSince || now - *m_listedSince < m_options.listedTime)
        return 0;
    return m_hostCount.greatest();
}

void TenantQuota::growOwn(Millis now, TenantState *state) const
{
    const std::size_t hosts = sharingHosts(now);
    const QuotaStock all = ownShares(state->limits);
    const double divisor = static_cast<double>(std::max<std::size_t>(1, hosts));
    state->own.grow(now, hosts == 0 ? 0 : all.perSecond / divisor,
                    hosts == 0 ? 0 : all.depth / divisor);
}

Admission TenantQuota::admit(Millis now, const std::string &tenant,
                             std::optional<Millis> waitingSince)
{
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end())
        return {};
    TenantState &state = found->second;
    growOwn(now, &state);
    if (state.own.take(1)) {
        ++state.newAdmitted;
        return {};
    }
    if (!waitingSince)
        ++state.uncovered;
    if (state.held > 0 && now < state.heldUntil) {
        --state.held;
        ++state.newAdmitted;
        return {};
    }
    if (now < state.refuseUntil)
        return refuse(now, tenant, &state, state.refuseUntil - now);
    if (waitingSince && now - *waitingSince >= m_options.patience) {
        state.refuseUntil = now + m_options.refusalTime;
        return refuse(now, tenant, &state, m_options.refusalTime);
    }
    if (waitingSince)
        ++state.waiting;
    return {.outcome = Admission::Outcome::Waiting, .comeBackAfter = {}};
}

Admission TenantQuota::refuse(Millis now, const std::string &tenant, TenantState *state,
                              Millis comeBack)
{
    ++state->refused;
    ++state->newRefused;
    state->refusedAt = now;
    if (!std::exchange(state->refusing, true))
        m_changes.push_back(change(now, tenant, *state));
    return {.outcome = Admission::Outcome::Refused, .comeBackAfter = comeBack};
}

QuotaChange TenantQuota::change(Millis now, const std::string &tenant,
                                const TenantState &state) const
{
    return {.tenant = tenant,
            .refusing = state.refusing,
            .ownLevel = state.own.level(),
            .held = now < state.heldUntil ? state.held : 0,
            .hosts = sharingHosts(now),
            .grantAge = now - state.answeredAt,
            .refused = state.refused,
            .perSecond = state.limits.perSecond};
}

bool TenantQuota::isDue(Millis now, const std::string &owner, bool urgent) const
{
    const auto found = m_ownerStates.find(owner);
    if (found == m_ownerStates.end())
        return true;
    const Millis since = now - found->second.sentAt;
    if (found->second.number != 0 && since < QuotaReplyTimeout)
        return false;
    return since >= (urgent ? m_options.urgentAskInterval : m_options.askInterval);
}

std::vector<OutgoingQuotaRequest> TenantQuota::takeRequests(Millis now)
{
    if (m_tenants.empty())
        return {};
    std::map<std::string, std::vector<QuotaWant>> wants;
    std::map<std::string, bool> urgent; // Operations wait, or grants run out.
    for (auto &[tenant, state] : m_tenants) {
        const std::uint32_t waiting = std::exchange(state.waiting, 0);
        if (now - state.countedAt >= m_options.askInterval) {
            const double newest = std::exchange(state.uncovered, 0);
            state.demand += NewestWeight * (newest - state.demand);
            state.countedAt = now;
        }
        if (now >= state.heldUntil)
            state.held = 0;
        // One operation alone says nothing about those to come.
        const double perInterval = std::max(state.demand, static_cast<double>(state.uncovered) - 1);
        const auto ahead = static_cast<std::uint32_t>(std::floor(AheadFactor * perInterval));
        const std::uint32_t target = ahead + waiting;
        const std::string &owner = m_owners.at(quotaSetOf(tenant));
        if (target == 0 || owner.empty())
            continue;
        const std::uint32_t wanted = target > state.held ? target - state.held : 0;
        const bool runningOut = state.held * 4 < ahead && now >= state.refuseUntil;
        urgent[owner] = urgent[owner] || waiting > 0 || runningOut;
        wants[owner].push_back({.tenant = tenant, .unused = state.held, .wanted = wanted});
    }
    for (const std::string &owner : m_owners) {
        const auto known = m_ownerStates.find(owner);
        if (!owner.empty()
            && (known == m_ownerStates.end() || now - known->second.sentAt >= m_options.keepAlive))
            wants[owner];
    }
    std::vector<OutgoingQuotaRequest> due;
    for (auto &[owner, ownerWants] : wants) {
        if (!isDue(now, owner, urgent[owner]))
            continue;
        OwnerState &state = m_ownerStates[owner];
        state.number = ++m_lastNumber;
        state.sentAt = now;
        due.push_back({.owner = owner,
                       .request = {.host = m_options.host,
                                   .start = m_options.start,
                                   .number = m_lastNumber,
                                   .wants = std::move(ownerWants)}});
        for (std::size_t set = 0; set < QuotaSets; ++set)
            due.back().request.sets.set(set, m_owners.at(set) == owner);
        for (const QuotaWant &want : due.back().request.wants)
            m_tenants.at(want.tenant).reported = want.unused;
    }
    return due;
}

void TenantQuota::onReply(Millis now, const std::string &owner, std::uint64_t number,
                          const QuotaReply &reply)
{
    const auto sender = m_ownerStates.find(owner);
    if (sender == m_ownerStates.end() || sender->second.number != number)
        return;
    sender->second.number = 0;
    const Millis until = sender->second.sentAt + QuotaGrantLife;
    for (const QuotaGrant &grant : reply.grants) {
        const auto found = m_tenants.find(grant.tenant);
        if (found == m_tenants.end() || grant.state == QuotaState::CannotGrant
            || m_owners.at(quotaSetOf(grant.tenant)) != owner)
            continue;
        TenantState &state = found->second;
        state.answeredAt = now;
        const std::uint32_t held = now < state.heldUntil ? state.held : 0;
        const std::uint32_t used = state.reported - std::min(state.reported, held);
        state.held = grant.kept - std::min(grant.kept, used) + grant.granted;
        state.heldUntil = until;
        state.refuseUntil = grant.state == QuotaState::UsedUp ? now + m_options.refusalTime : now;
    }
}

std::vector<QuotaChange> TenantQuota::takeChanges(Millis now)
{
    for (auto &[tenant, state] : m_tenants) {
        if (!state.refusing || now - state.refusedAt < CalmTime)
            continue;
        state.refusing = false;
        m_changes.push_back(change(now, tenant, state));
        state.refused = 0;
    }
    return std::exchange(m_changes, {});
}

std::vector<QuotaCount> TenantQuota::takeCounts()
{
    std::vector<QuotaCount> counts;
    QuotaCount others{.tenant = "other"};
    std::size_t position = 0;
    for (auto &[tenant, state] : m_tenants) {
        QuotaCount own{.tenant = tenant};
        QuotaCount &count = position++ < CountedTenants ? own : others;
        count.admitted += std::exchange(state.newAdmitted, 0);
        count.refused += std::exchange(state.newRefused, 0);
        if (own.admitted + own.refused > 0)
            counts.push_back(std::move(own));
    }
    if (others.admitted + others.refused > 0)
        counts.push_back(std::move(others));
    return counts;
}

} // namespace cicadagap
