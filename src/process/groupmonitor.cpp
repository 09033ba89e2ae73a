#include "process/groupmonitor.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr Millis MinProbeInterval(200);
constexpr Millis MinReplicaInterval(1000);
constexpr Millis ProbePerGroup(100);
constexpr std::int64_t ReplicaProbeShare = 10; // Probes of the primary to one of a replica.

} // namespace

Millis probeIntervalFor(std::size_t groups)
{
    return std::max(MinProbeInterval, ProbePerGroup * static_cast<std::int64_t>(groups));
}

Millis replicaIntervalFor(std::size_t groups)
{
    return std::max(MinReplicaInterval, probeIntervalFor(groups) * ReplicaProbeShare);
}

GroupMonitor::GroupMonitor(Options options)
    : m_options(std::move(options))
{
}

void GroupMonitor::setIntervals(std::size_t groups)
{
    m_options.probeInterval = probeIntervalFor(groups);
    m_options.replicaInterval = replicaIntervalFor(groups);
}

void GroupMonitor::setWatchers(int rank, std::size_t watcherDataCentres)
{
    m_options.rank = rank;
    m_options.watcherDataCentres = watcherDataCentres;
}

void GroupMonitor::onAnnounced(Millis, std::uint64_t term, const std::string &primary)
{
    if (term > m_term)
        learnPrimary(term, primary);
}

std::vector<MonitorAction> GroupMonitor::onProbed(Millis now, const std::string &instance,
                                                  bool newConnection,
                                                  const std::optional<InstanceReport> &report)
{
    if (instance == m_primary && !newConnection)
        m_probeSentAt.reset();
    if (!report)
        return instance == m_primary ? handleFailure(now, newConnection)
                                     : std::vector<MonitorAction>{};
    m_highestTerm = std::max(m_highestTerm, report->term);
    for (const ReplicaSummary &replica : report->replicas)
        m_highestTerm = std::max(m_highestTerm, replica.term);
    if (report->leaving)
        m_leaving.insert(instance);
    else
        m_leaving.erase(instance);
    if (report->primary && report->term >= m_term)
        return adopt(now, *report);
    if (instance == m_primary && report->term >= m_term)
        return handleFailure(now, newConnection); // It stepped down; nobody leads.
    return handleReplica(*report);
}

std::vector<MonitorAction> GroupMonitor::onFailureReport(Millis now, const std::string &instance)
{
    if (instance != m_primary || now < m_nextFresh)
        return {};
    m_nextFresh = now + m_options.freshInterval;
    return {{.step = MonitorStep::Probe, .instance = instance, .newConnection = true}};
}

std::vector<MonitorAction> GroupMonitor::onSuspicionVote(Millis now, const std::string &dataCentre,
                                                         std::uint64_t term, bool suspect)
{
    if (term != m_term)
        return {};
    if (!suspect) {
        m_votes.erase(dataCentre);
        return {};
    }
    const bool first = !m_votes.contains(dataCentre);
    m_votes[dataCentre] = now;
    // Another data centre's suspicion is a reason to look at once.
    if (first && !m_suspects && !m_primary.empty())
        return onFailureReport(now, m_primary);
    return startWhenAgreed(now);
}

std::vector<MonitorAction> GroupMonitor::onSealed(Millis now, const std::string &instance,
                                                  bool accepted, std::uint64_t itsTerm,
                                                  Position last)
{
    if (!m_promotion)
        return {};
    return translate(now, m_promotion->onSealed(now, instance, accepted, itsTerm, last));
}

std::vector<MonitorAction> GroupMonitor::onPromoted(Millis now, const std::string &instance,
                                                    bool accepted)
{
    if (!m_promotion)
        return {};
    return translate(now, m_promotion->onPromoted(now, instance, accepted));
}

std::vector<MonitorAction> GroupMonitor::onTick(Millis now)
{
    std::vector<MonitorAction> actions;
    if (m_promotion)
        actions = translate(now, m_promotion->onTick(now));
    // A late answer proves nothing, but it is a reason to look with fresh connections at once: they
    // are the evidence, and they take their own time to fail.
    const bool late = m_probeSentAt && now - *m_probeSentAt >= m_options.lateProbe;
    const bool doubtful = m_freshFailures > 0 || m_primary.empty() || late;
    if (doubtful && !m_primary.empty() && now >= m_nextFresh) {
        m_nextFresh = now + m_options.freshInterval;
        actions.push_back(
            {.step = MonitorStep::Probe, .instance = m_primary, .newConnection = true});
    }
    if (!doubtful && now >= m_nextProbe) {
        m_nextProbe = now + m_options.probeInterval;
        m_probeSentAt = m_probeSentAt.value_or(now);
        actions.push_back({.step = MonitorStep::Probe, .instance = m_primary});
    }
    if (now >= m_nextReplicaProbe) {
        m_nextReplicaProbe = now + m_options.replicaInterval;
        for (const auto &instance : m_options.instances) {
            const bool mine = instance.second == m_options.dataCentre || doubtful;
            if (mine && instance.first != m_primary)
                actions.push_back({.step = MonitorStep::Probe, .instance = instance.first});
        }
    }
    if (!m_startedAt)
        m_startedAt = now;
    if (m_primary.empty() && now >= *m_startedAt + MinReplicaInterval)
        m_suspects = true; // No instance claims to lead: the group has to get its first primary.
    if (m_suspects && now >= m_nextVote) {
        m_nextVote = now + m_options.voteLife / 4;
        actions.push_back(vote(true));
    }
    const std::vector<MonitorAction> started = startWhenAgreed(now);
    actions.insert(actions.end(), started.begin(), started.end());
    return actions;
}

std::vector<MonitorAction> GroupMonitor::handleFailure(Millis now, bool newConnection)
{
    m_freshFailures += newConnection ? 1 : 0;
    if (m_freshFailures == 0)
        return onFailureReport(now, m_primary);
    if (m_suspects || m_freshFailures < m_options.failuresToSuspect)
        return {};
    m_suspects = true;
    m_nextVote = now + m_options.voteLife / 4;
    std::vector<MonitorAction> actions{vote(true)};
    const std::vector<MonitorAction> started = startWhenAgreed(now);
    actions.insert(actions.end(), started.begin(), started.end());
    return actions;
}

std::vector<MonitorAction> GroupMonitor::adopt(Millis now, const InstanceReport &report)
{
    std::vector<MonitorAction> actions;
    const bool news = report.term > m_term || m_primary != report.name;
    if (news) {
        learnPrimary(report.term, report.name);
        actions.push_back({.step = MonitorStep::Announce, .term = m_term, .primary = m_primary});
    }
    if (isReplaced(report)) {
        const std::vector<MonitorAction> failure = handleFailure(now, true);
        actions.insert(actions.end(), failure.begin(), failure.end());
        return actions;
    }
    m_freshFailures = 0;
    if (m_suspects) {
        m_suspects = false;
        m_agreedAt.reset();
        actions.push_back(vote(false));
    }
    return actions;
}

std::vector<MonitorAction> GroupMonitor::handleReplica(const InstanceReport &report) const
{
    // While terms above the known primary's are about, a change of primary is in progress.
    const bool settled = !m_primary.empty() && !m_promotion && m_highestTerm <= m_term;
    const bool lost = report.term < m_term || (report.primary && report.name != m_primary)
        || report.following != m_primary;
    if (!settled || !lost || report.name == m_primary)
        return {};
    return {{.step = MonitorStep::Follow,
             .instance = report.name,
             .term = m_term,
             .primary = m_primary}};
}

bool GroupMonitor::isReplaced(const InstanceReport &report) const
{
    // A primary that a majority refuses can acknowledge nothing. One instance at a higher term is
    // enough to ask for a new primary, because it would stay out of the group otherwise.
    const auto ahead
        = [&report](const ReplicaSummary &replica) { return replica.term > report.term; };
    return std::any_of(report.replicas.begin(), report.replicas.end(), ahead);
}

std::size_t GroupMonitor::suspectingDataCentres(Millis now) const
{
    std::size_t count = m_suspects ? 1 : 0;
    for (const auto &vote : m_votes) {
        if (vote.first != m_options.dataCentre && now - vote.second < m_options.voteLife)
            ++count;
    }
    return count;
}

bool GroupMonitor::primaryShouldMove() const
{
    // A leaving primary hands over while it still answers, if enough others stay.
    const std::size_t staying = m_options.instances.size() - m_leaving.size();
    return m_leaving.contains(m_primary) && staying * 2 > m_options.instances.size();
}

std::size_t GroupMonitor::requiredDataCentres() const
{
    return std::min<std::size_t>(2, m_options.watcherDataCentres);
}

std::vector<MonitorAction> GroupMonitor::startWhenAgreed(Millis now)
{
    const bool failed = m_suspects && suspectingDataCentres(now) >= requiredDataCentres();
    if (!failed && !primaryShouldMove()) {
        m_agreedAt.reset();
        return {};
    }
    if (!m_agreedAt)
        m_agreedAt = now;
    const bool turn = now >= *m_agreedAt + m_options.stagger * m_options.rank;
    if (m_promotion || !turn || now < m_retryAt)
        return {};
    Promotion::Options options;
    for (const auto &instance : m_options.instances)
        options.instances.push_back(instance.first);
    options.highestTerm = std::max(m_highestTerm, m_term);
    options.avoid.assign(m_leaving.begin(), m_leaving.end());
    m_promotion.emplace(std::move(options), now);
    return translate(now, m_promotion->start());
}

std::vector<MonitorAction> GroupMonitor::translate(Millis now,
                                                   const std::vector<PromotionAction> &actions)
{
    std::vector<MonitorAction> result;
    for (const PromotionAction &action : actions) {
        switch (action.step) {
        case PromotionStep::Seal:
            result.push_back(
                {.step = MonitorStep::Seal, .instance = action.instance, .term = action.term});
            break;
        case PromotionStep::Promote:
            result.push_back(
                {.step = MonitorStep::Promote, .instance = action.instance, .term = action.term});
            break;
        case PromotionStep::Announce:
            m_highestTerm = std::max(m_highestTerm, action.term);
            learnPrimary(action.term, action.instance);
            result.push_back(
                {.step = MonitorStep::Announce, .term = action.term, .primary = action.instance});
            for (const auto &instance : m_options.instances) {
                if (instance.first != action.instance)
                    result.push_back({.step = MonitorStep::Follow,
                                      .instance = instance.first,
                                      .term = action.term,
                                      .primary = action.instance});
            }
            break;
        case PromotionStep::GiveUp:
            m_highestTerm = std::max(m_highestTerm, action.term);
            m_promotion.reset();
            // Different ranks wait differently, so that two promoters do not keep colliding.
            m_retryAt = now + m_options.stagger / 4 * (1 + m_options.rank);
            return result;
        }
    }
    return result;
}

void GroupMonitor::learnPrimary(std::uint64_t term, const std::string &primary)
{
    m_term = term;
    m_highestTerm = std::max(m_highestTerm, term);
    m_primary = primary;
    m_suspects = false;
    m_freshFailures = 0;
    m_votes.clear();
    m_agreedAt.reset();
    m_promotion.reset();
    m_probeSentAt.reset();
}

MonitorAction GroupMonitor::vote(bool suspect) const
{
    return {.step = MonitorStep::SuspicionVote, .term = m_term, .suspect = suspect};
}

} // namespace cicadagap
