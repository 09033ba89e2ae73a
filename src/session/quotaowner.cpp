#include "session/quotaowner.h"

#include <algorithm>
#include <cmath>

namespace cicadagap {

namespace {

// Wants count for this long in what each host gets: two intervals of asking.
constexpr Millis WantTime(500);
// What the stock grows by in this time, in seconds, is worth waiting for.
constexpr double WaitableSeconds = 0.6;

} // namespace

QuotaOwner::QuotaOwner(Options options)
    : m_options(options)
{
}

bool QuotaOwner::listIsValid(Millis now) const
{
    return m_listReadAt && now - *m_listReadAt <= m_options.listValidity;
}

// The hosts that take this one for the owner of the set, as a part of all.
double QuotaOwner::shareOfHosts(Millis now, std::size_t set) const
{
    const auto asking = std::count_if(m_senders.begin(), m_senders.end(), [&](const auto &entry) {
        const Asking &asks = entry.second.sets.at(set);
        return asks.since && now - asks.at <= m_options.hostSilence
            && asks.at - *asks.since >= m_options.settleTime;
    });
    const auto all = static_cast<double>(std::max<std::size_t>(1, m_hosts.greatest()));
    return std::min(1.0, static_cast<double>(asking) / all);
}

void QuotaOwner::noteSets(Millis now, const std::bitset<QuotaSets> &sets, Sender *sender) const
{
    for (std::size_t set = 0; set < QuotaSets; ++set) {
        Asking &asks = sender->sets.at(set);
        if (!sets.test(set))
            asks.since.reset();
        else if (!asks.since || now - asks.at > m_options.hostSilence)
            asks.since = now;
        asks.at = now;
    }
}

void QuotaOwner::setHosts(Millis now, std::size_t hosts, Millis readAt)
{
    m_hosts.note(now, hosts);
    m_listReadAt = m_listReadAt ? std::max(*m_listReadAt, readAt) : readAt;
    std::erase_if(m_senders, [now](const auto &entry) {
        return now - entry.second.sets.front().at > HostCount::Memory;
    });
    std::erase_if(m_stocks, [this](const auto &entry) { return !m_limits.contains(entry.first); });
}

QuotaReply QuotaOwner::onRequest(Millis now, const QuotaRequest &request)
{
    Sender &sender = m_senders[request.host];
    const bool isNewest = request.start > sender.start
        || (request.start == sender.start && request.number > sender.number);
    if (!isNewest)
        return {};
    sender.start = request.start;
    sender.number = request.number;
    noteSets(now, request.sets, &sender);
    QuotaReply reply;
    for (const QuotaWant &want : request.wants) {
        if (listIsValid(now) && m_limits.contains(want.tenant))
            reply.grants.push_back(grant(now, request.host, want));
        else
            reply.grants.push_back({.tenant = want.tenant, .state = QuotaState::CannotGrant});
    }
    return reply;
}

QuotaGrant QuotaOwner::grant(Millis now, const std::string &host, const QuotaWant &want)
{
    const QuotaStock whole = grantedPart(m_limits.at(want.tenant));
    const double share = shareOfHosts(now, quotaSetOf(want.tenant));
    const QuotaStock part{.perSecond = whole.perSecond * share, .depth = whole.depth * share};
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
    double ofHost = want.wanted;
    if (!enough)
        ofHost = std::min(ofHost, std::max(1.0, std::floor(level * want.wanted / wanted)));
    // A host keeps no more than it was given, whatever it reports.
    Holding &holding = stock.holdings[host];
    QuotaGrant grant{.tenant = want.tenant,
                     .kept = holding.until > now ? std::min(want.unused, holding.count) : 0,
                     .granted = static_cast<std::uint32_t>(std::floor(std::min(ofHost, level))),
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
