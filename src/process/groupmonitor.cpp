#include "process/groupmonitor.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr Millis MinProbeInterval(200);
constexpr Millis MinReplicaInterval(1000);
constexpr Millis ProbeIntervalPerGroup(100);
constexpr std::int64_t PrimaryProbesPerReplicaProbe = 10;

} // namespace

Millis probeIntervalFor(std::size_t groups)
{
    return std::max(MinProbeInterval, ProbeIntervalPerGroup * static_cast<std::int64_t>(groups));
}

Millis replicaIntervalFor(std::size_t groups)
{
    return std::max(MinReplicaInterval, probeIntervalFor(groups) * PrimaryProbesPerReplicaProbe);
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

void GroupMonitor::setMonitors(int rank, std::size_t monitorDataCentres)
{
    m_options.rank = rank;
    m_options.monitorDataCentres = monitorDataCentres;
}

void GroupMonitor::onAnnounced(Millis, std::uint64_t term, const std::string &primary)
{
    if (term > m_term)
        setPrimary(term, primary);
}

std::vector<MonitorAction> GroupMonitor::onProbed(Millis now, const std::string &instance,
                                                  bool newConnection,
                                                  const std::optional<InstanceReport> &report)
{
    if (instance == m_primary && !newConnection)
        m_probeSentAt.reset();
    if (!report)
        return instance == m_primary ? handlePrimaryFailure(now, newConnection)
                                     : std::vector<MonitorAction>{};
    m_highestTerm = std::max(m_highestTerm, report->term);
    for (const ReplicaSummary &replica : report->replicas)
        m_highestTerm = std::max(m_highestTerm, replica.term);
    if (report->leaving)
        m_leaving.insert(instance);
    else
        m_leaving.erase(instance);
    if (report->primary && report->term >= m_term)
        return adoptPrimary(now, *report);
    if (instance == m_primary && report->term >= m_term)
        return handlePrimaryFailure(now, newConnection); // It stepped down.
    return correctReplica(*report);
}

std::vector<MonitorAction> GroupMonitor::onFailureReport(Millis now, const std::string &instance)
{
    if (instance != m_primary || now < m_nextNewConnectionProbe)
        return {};
    m_nextNewConnectionProbe = now + m_options.newConnectionProbeInterval;
    return {{.step = MonitorStep::Probe, .instance = instance, .newConnection = true}};
}

std::vector<MonitorAction> GroupMonitor::onSuspicionVote(Millis now, const std::string &dataCentre,
                                                         std::uint64_t term, bool suspect)
{
    if (term != m_term)
        return {};
    if (!suspect) {
        m_suspicionVotes.erase(dataCentre);
        return {};
    }
    const bool first = !m_suspicionVotes.contains(dataCentre);
    m_suspicionVotes[dataCentre] = now;
    // The first suspicion from another data centre is a reason to probe the primary at once.
    if (first && !m_suspects && !m_primary.empty())
        return onFailureReport(now, m_primary);
    return startPromotionWhenAgreed(now);
}

std::vector<MonitorAction> GroupMonitor::onSealed(Millis now, const std::string &instance,
                                                  bool accepted, std::uint64_t instanceTerm,
                                                  Position last)
{
    if (!m_promotion)
        return {};
    return applyPromotionActions(
        now, m_promotion->onSealed(now, instance, accepted, instanceTerm, last));
}

std::vector<MonitorAction> GroupMonitor::onPromoted(Millis now, const std::string &instance,
                                                    bool accepted)
{
    if (!m_promotion)
        return {};
    return applyPromotionActions(now, m_promotion->onPromoted(now, instance, accepted));
}

std::vector<MonitorAction> GroupMonitor::onTick(Millis now)
{
    std::vector<MonitorAction> actions;
    if (m_promotion)
        actions = applyPromotionActions(now, m_promotion->onTick(now));
    // A late answer proves nothing, but it is a reason to probe on new connections at once. Those
    // probes are the evidence for a suspicion, and they take their own time to fail.
    const bool late = m_probeSentAt && now - *m_probeSentAt >= m_options.lateProbeThreshold;
    const bool primaryInDoubt = m_newConnectionFailures > 0 || m_primary.empty() || late;
    if (primaryInDoubt && !m_primary.empty() && now >= m_nextNewConnectionProbe) {
        m_nextNewConnectionProbe = now + m_options.newConnectionProbeInterval;
        actions.push_back(
            {.step = MonitorStep::Probe, .instance = m_primary, .newConnection = true});
    }
    if (!primaryInDoubt && now >= m_nextProbe) {
        m_nextProbe = now + m_options.probeInterval;
        m_probeSentAt = m_probeSentAt.value_or(now);
        actions.push_back({.step = MonitorStep::Probe, .instance = m_primary});
    }
    if (now >= m_nextReplicaProbe) {
        m_nextReplicaProbe = now + m_options.replicaInterval;
        for (const auto &instance : m_options.instances) {
            const bool shouldProbe = instance.second == m_options.dataCentre || primaryInDoubt;
            if (shouldProbe && instance.first != m_primary)
                actions.push_back({.step = MonitorStep::Probe, .instance = instance.first});
        }
    }
    if (!m_startedAt)
        m_startedAt = now;
    if (m_primary.empty() && now >= *m_startedAt + MinReplicaInterval)
        m_suspects = true; // No instance reports to be primary: the group needs its first one.
    if (m_suspects && now >= m_nextSuspicionVote) {
        m_nextSuspicionVote = now + m_options.voteLifetime / 4;
        actions.push_back(suspicionVote(true));
    }
    const std::vector<MonitorAction> started = startPromotionWhenAgreed(now);
    actions.insert(actions.end(), started.begin(), started.end());
    return actions;
}

std::vector<MonitorAction> GroupMonitor::handlePrimaryFailure(Millis now, bool newConnection)
{
    m_newConnectionFailures += newConnection ? 1 : 0;
    if (m_newConnectionFailures == 0)
        return onFailureReport(now, m_primary);
    if (m_suspects || m_newConnectionFailures < m_options.failuresToSuspect)
        return {};
    m_suspects = true;
    m_nextSuspicionVote = now + m_options.voteLifetime / 4;
    std::vector<MonitorAction> actions{suspicionVote(true)};
    const std::vector<MonitorAction> started = startPromotionWhenAgreed(now);
    actions.insert(actions.end(), started.begin(), started.end());
    return actions;
}

std::vector<MonitorAction> GroupMonitor::adoptPrimary(Millis now, const InstanceReport &report)
{
    std::vector<MonitorAction> actions;
    const bool primaryChanged = report.term > m_term || m_primary != report.name;
    if (primaryChanged) {
        setPrimary(report.term, report.name);
        actions.push_back({.step = MonitorStep::Announce, .term = m_term, .primary = m_primary});
    }
    if (hasReplicaOfHigherTerm(report)) {
        const std::vector<MonitorAction> failure = handlePrimaryFailure(now, true);
        actions.insert(actions.end(), failure.begin(), failure.end());
        return actions;
    }
    m_newConnectionFailures = 0;
    if (m_suspects) {
        m_suspects = false;
        m_agreedAt.reset();
        actions.push_back(suspicionVote(false));
    }
    return actions;
}

std::vector<MonitorAction> GroupMonitor::correctReplica(const InstanceReport &report) const
{
    // While an instance has a term above that of the known primary, a failover is in progress.
    const bool primaryIsEstablished = !m_primary.empty() && !m_promotion && m_highestTerm <= m_term;
    const bool needsCorrection = report.term < m_term
        || (report.primary && report.name != m_primary) || report.following != m_primary;
    if (!primaryIsEstablished || !needsCorrection || report.name == m_primary)
        return {};
    return {{.step = MonitorStep::Follow,
             .instance = report.name,
             .term = m_term,
             .primary = m_primary}};
}

bool GroupMonitor::hasReplicaOfHigherTerm(const InstanceReport &report) const
{
    // A primary that a majority refuses to replicate from cannot acknowledge anything. One instance
    // with a higher term is enough to request a new primary, because the instance would otherwise
    // stay out of the group.
    const auto hasHigherTerm
        = [&report](const ReplicaSummary &replica) { return replica.term > report.term; };
    return std::any_of(report.replicas.begin(), report.replicas.end(), hasHigherTerm);
}

std::size_t GroupMonitor::suspectingDataCentres(Millis now) const
{
    std::size_t count = m_suspects ? 1 : 0;
    for (const auto &vote : m_suspicionVotes) {
        if (vote.first != m_options.dataCentre && now - vote.second < m_options.voteLifetime)
            ++count;
    }
    return count;
}

bool GroupMonitor::primaryShouldHandOver() const
{
    // A leaving primary is replaced while it still answers, provided that the instances that stay
    // are a majority of the group.
    const std::size_t staying = m_options.instances.size() - m_leaving.size();
    return m_leaving.contains(m_primary) && staying * 2 > m_options.instances.size();
}

std::size_t GroupMonitor::requiredDataCentres() const
{
    return std::min<std::size_t>(2, m_options.monitorDataCentres);
}

std::vector<MonitorAction> GroupMonitor::startPromotionWhenAgreed(Millis now)
{
    const bool failed = m_suspects && suspectingDataCentres(now) >= requiredDataCentres();
    if (!failed && !primaryShouldHandOver()) {
        m_agreedAt.reset();
        return {};
    }
    if (!m_agreedAt)
        m_agreedAt = now;
    const bool isTurnOfRank = now >= *m_agreedAt + m_options.rankDelay * m_options.rank;
    if (m_promotion || !isTurnOfRank || now < m_retryAt)
        return {};
    Promotion::Options options;
    for (const auto &instance : m_options.instances)
        options.instances.push_back(instance.first);
    options.highestTerm = std::max(m_highestTerm, m_term);
    options.avoid.assign(m_leaving.begin(), m_leaving.end());
    m_promotion.emplace(std::move(options), now);
    return applyPromotionActions(now, m_promotion->start());
}

std::vector<MonitorAction>
GroupMonitor::applyPromotionActions(Millis now, const std::vector<PromotionAction> &actions)
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
            setPrimary(action.term, action.instance);
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
            // The delay depends on the rank, so that two promoters do not keep colliding.
            m_retryAt = now + m_options.rankDelay / 4 * (1 + m_options.rank);
            return result;
        }
    }
    return result;
}

void GroupMonitor::setPrimary(std::uint64_t term, const std::string &primary)
{
    m_term = term;
    m_highestTerm = std::max(m_highestTerm, term);
    m_primary = primary;
    m_suspects = false;
    m_newConnectionFailures = 0;
    m_suspicionVotes.clear();
    m_agreedAt.reset();
    m_promotion.reset();
    m_probeSentAt.reset();
}

MonitorAction GroupMonitor::suspicionVote(bool suspect) const
{
    return {.step = MonitorStep::SuspicionVote, .term = m_term, .suspect = suspect};
}

} // namespace cicadagap
