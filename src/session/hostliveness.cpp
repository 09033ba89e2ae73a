#include "session/hostliveness.h"

#include <utility>

namespace cicadagap {

void HostLiveness::onRequest(Millis now, const std::string &host)
{
    const auto found = m_followers.find(host);
    if (found != m_followers.end())
        found->second.lastSign = now;
}

std::vector<HostRecord> HostLiveness::takeSilent(Millis now,
                                                 const std::vector<HostRecord> &expected)
{
    const bool interrupted = !m_lastCheck || now - *m_lastCheck > m_options.checkLimit;
    m_lastCheck = now;
    const std::map<std::string, Follower> known = std::exchange(m_followers, {});
    std::vector<HostRecord> silent;
    for (const HostRecord &record : expected) {
        const auto found = known.find(record.host);
        const bool isNew = found == known.end() || found->second.heartbeat != record.heartbeat;
        Follower &follower = m_followers[record.host];
        follower.heartbeat = record.heartbeat;
        follower.lastSign = interrupted || isNew ? now : found->second.lastSign;
        if (now - follower.lastSign <= m_options.silence)
            continue;
        silent.push_back(record);
        follower.lastSign = now;
    }
    return silent;
}

} // namespace cicadagap
