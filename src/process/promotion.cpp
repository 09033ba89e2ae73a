#include "process/promotion.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

Promotion::Promotion(Options options, Millis now)
    : m_options(std::move(options))
    , m_term(m_options.highestTerm + 1)
    , m_deadline(now + m_options.stepTimeout)
{
}

std::vector<PromotionAction> Promotion::start() const
{
    std::vector<PromotionAction> actions;
    for (const std::string &instance : m_options.instances)
        actions.push_back({PromotionStep::Seal, instance, m_term});
    return actions;
}

std::vector<PromotionAction> Promotion::onSealed(Millis now, const std::string &instance,
                                                 bool accepted, std::uint64_t instanceTerm,
                                                 Position last)
{
    if (m_phase != Phase::Sealing)
        return {};
    if (!accepted)
        return giveUp(std::max(instanceTerm, m_term));
    const bool hadSealedMajority = hasSealedMajority();
    m_sealed[instance] = last;
    if (!hadSealedMajority && hasSealedMajority())
        m_majorityAt = now;
    if (m_sealed.size() == m_options.instances.size())
        return promoteCandidate(now);
    return {};
}

std::vector<PromotionAction> Promotion::onPromoted(Millis, const std::string &instance,
                                                   bool accepted)
{
    if (m_phase != Phase::Promoting || instance != m_candidate)
        return {};
    if (!accepted)
        return giveUp(m_term);
    m_phase = Phase::Finished;
    return {{PromotionStep::Announce, m_candidate, m_term}};
}

std::vector<PromotionAction> Promotion::onTick(Millis now)
{
    if (m_phase == Phase::Finished)
        return {};
    const bool waitedForStragglers = now >= m_majorityAt + m_options.stragglerWait;
    if (m_phase == Phase::Sealing && hasSealedMajority() && waitedForStragglers)
        return promoteCandidate(now);
    if (now >= m_deadline)
        return giveUp(m_term);
    return {};
}

bool Promotion::hasSealedMajority() const
{
    return m_sealed.size() * 2 > m_options.instances.size();
}

std::vector<PromotionAction> Promotion::promoteCandidate(Millis now)
{
    const std::map<std::string, Position> positions = candidates();
    const auto best = std::max_element(
        positions.begin(), positions.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    m_candidate = best->first;
    m_phase = Phase::Promoting;
    m_deadline = now + m_options.stepTimeout;
    return {{PromotionStep::Promote, m_candidate, m_term}};
}

std::map<std::string, Position> Promotion::candidates() const
{
    // Every acknowledged entry is stored on a majority of the instances, so every majority contains
    // an instance that holds it. Leaving instances can therefore be excluded, even if their logs
    // are ahead, as long as the others are a majority by themselves.
    std::map<std::string, Position> staying = m_sealed;
    for (const std::string &instance : m_options.avoid)
        staying.erase(instance);
    return staying.size() * 2 > m_options.instances.size() ? staying : m_sealed;
}

std::vector<PromotionAction> Promotion::giveUp(std::uint64_t highestTerm)
{
    m_phase = Phase::Finished;
    return {{PromotionStep::GiveUp, {}, highestTerm}};
}

} // namespace cicadagap
