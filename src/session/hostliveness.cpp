#include "session/hostliveness.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

void HostLiveness::onRequest(Millis now, const std::string &host)
{
    m_reported.erase(host);
    const auto found = m_followers.find(host);
    if (found != m_followers.end())
        found->second.lastSign = now;
}

// Whether the record is that of a host that was reported, and had been withdrawn since.
bool HostLiveness::cameBack(const HostRecord &record)
{
    const auto reported = m_reported.find(record.host);
    if (reported == m_reported.end())
        return false;
    if (reported->second.heartbeat != record.heartbeat) {
        m_reported.erase(reported);
        return false;
    }
    return std::exchange(reported->second.withdrawn, false);
}

std::vector<HostRecord> HostLiveness::takeSilent(Millis now,
                                                 const std::vector<HostRecord> &expected)
{
    const bool interrupted = !m_lastCheck || now - *m_lastCheck > m_options.checkLimit;
    m_lastCheck = now;
    const std::map<std::string, Follower> known = std::exchange(m_followers, {});
    for (auto &[host, reported] : m_reported) {
        const bool listed = std::ranges::any_of(
            expected, [&host = host](const HostRecord &record) { return record.host == host; });
        reported.withdrawn = reported.withdrawn || !listed;
    }
    std::vector<HostRecord> silent;
    for (const HostRecord &record : expected) {
        const auto found = known.find(record.host);
        const bool isNew = found == known.end() || found->second.heartbeat != record.heartbeat;
        Follower &follower = m_followers[record.host];
        follower.heartbeat = record.heartbeat;
        follower.lastSign = interrupted || isNew ? now : found->second.lastSign;
        if (now - follower.lastSign <= m_options.silence && !cameBack(record))
            continue;
        silent.push_back(record);
        m_reported[record.host] = {.heartbeat = record.heartbeat};
        follower.lastSign = now;
    }
    return silent;
}

} // namespace cicadagap
