#include "session/quotaowner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadagap {

namespace {

// Wants count for this long in what each host gets: two intervals of asking.
constexpr Millis WantTime(500);
// What the stock grows by in this time, in seconds, is worth waiting for.
constexpr double WaitableSeconds = 0.6;

} // namespace

QuotaOwner::QuotaOwner(Options options)
    : m_options(std::move(options))
{
}

bool QuotaOwner::listIsValid(Millis now) const
{
    return m_listReadAt && now - *m_listReadAt <= m_options.listValidity;
}

// Whether no other process can have been an owner before this one.
bool QuotaOwner::allStartedTogether(Millis now) const
{
    if (now - m_options.startedAt > m_options.jointStart
        || now - m_listChangedAt < m_options.settleTime || m_senders.size() * 10 < m_hosts * 9)
        return false;
    return std::all_of(m_senders.begin(), m_senders.end(), [this](const auto &entry) {
        return entry.second.startedAt >= m_options.startedAt - m_options.jointStart;
    });
}

void QuotaOwner::setOwners(Millis now, const QuotaOwners &owners, std::size_t hosts, Millis readAt)
{
    if (std::exchange(m_hosts, hosts) != hosts)
        m_listChangedAt = now;
    // While the list was too old, another host may have been the owner.
    const bool wasValid = listIsValid(now);
    m_listReadAt = m_listReadAt ? std::max(*m_listReadAt, readAt) : readAt;
    for (std::size_t set = 0; set < QuotaSets; ++set) {
        std::optional<Millis> &since = m_ownedSince.at(set);
        if (owners.at(set) != m_options.host)
            since.reset();
        else if (!since || !wasValid)
            since = now;
        else
            continue;
        std::erase_if(m_stocks, [&](const auto &entry) { return quotaSetOf(entry.first) == set; });
    }
}

QuotaReply QuotaOwner::onRequest(Millis now, const QuotaRequest &request)
{
    Sender &sender = m_senders[request.host];
    const bool isNewest = request.start > sender.start
        || (request.start == sender.start && request.number > sender.number);
    if (!isNewest)
        return {};
    sender = {.start = request.start, .number = request.number, .startedAt = now - request.age};
    if (!m_startedTogether && allStartedTogether(now)) {
        m_startedTogether = true;
        for (std::optional<Millis> &since : m_ownedSince) {
            if (since)
                since = now - m_options.takeOverTime;
        }
    }
    QuotaReply reply;
    for (const QuotaWant &want : request.wants) {
        const std::optional<Millis> since = m_ownedSince.at(quotaSetOf(want.tenant));
        if (since && listIsValid(now) && m_limits.contains(want.tenant))
            reply.grants.push_back(grant(now, request.host, want, *since));
        else
            reply.grants.push_back({.tenant = want.tenant, .state = QuotaState::NotOwner});
    }
    return reply;
}

QuotaGrant QuotaOwner::grant(Millis now, const std::string &host, const QuotaWant &want,
                             Millis ownedSince)
{
    const TenantLimits &limits = m_limits.at(want.tenant);
    const bool takingOver = now < ownedSince + m_options.takeOverTime;
    const QuotaStock part = takingOver ? takeOverPart(limits) : grantedPart(limits);
    Stock &stock = m_stocks[want.tenant];
    std::erase_if(stock.holdings, [&](const auto &entry) {
        return entry.second.until <= now && now - entry.second.askedAt >= WantTime;
    });
    double handedOut = 0;
    double wanted = want.wanted;
    for (const auto &[holder, holding] : stock.holdings) {
        if (holding.until > now)
            handedOut += holding.count;
        if (holder != host && now - holding.askedAt < WantTime)
            wanted += holding.wanted;
    }
    stock.bucket.grow(now, part.perSecond, part.depth - handedOut);
    const double level = stock.bucket.level();
    const bool enough = wanted <= level;
    double share = want.wanted;
    if (!enough)
        share = std::min(share, std::max(1.0, std::floor(level * want.wanted / wanted)));
    // A host keeps no more than it was given, whatever it reports.
    Holding &holding = stock.holdings[host];
    QuotaGrant grant{.tenant = want.tenant,
                     .kept = holding.until > now ? std::min(want.unused, holding.count) : 0,
                     .granted = static_cast<std::uint32_t>(std::floor(std::min(share, level))),
                     .state = wanted <= level + part.perSecond * WaitableSeconds
                         ? QuotaState::Enough
                         : QuotaState::UsedUp};
    stock.bucket.take(grant.granted);
    holding = {.count = grant.kept + grant.granted,
               .until = now + QuotaGrantLife,
               .wanted = want.wanted - grant.granted,
               .askedAt = now};
    return grant;
}

} // namespace cicadagap
