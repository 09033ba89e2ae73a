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
                                                 bool accepted, std::uint64_t itsTerm,
                                                 Position last)
{
    if (m_phase != Phase::Sealing)
        return {};
    if (!accepted)
        return giveUp(std::max(itsTerm, m_term));
    const bool hadMajority = haveMajority();
    m_sealed[instance] = last;
    if (!hadMajority && haveMajority())
        m_majorityAt = now;
    if (m_sealed.size() == m_options.instances.size())
        return promoteBest(now);
    return {};
}

std::vector<PromotionAction> Promotion::onPromoted(Millis, const std::string &instance,
                                                   bool accepted)
{
    if (m_phase != Phase::Promoting || instance != m_chosen)
        return {};
    if (!accepted)
        return giveUp(m_term);
    m_phase = Phase::Finished;
    return {{PromotionStep::Announce, m_chosen, m_term}};
}

std::vector<PromotionAction> Promotion::onTick(Millis now)
{
    if (m_phase == Phase::Finished)
        return {};
    const bool waitedForStragglers = now >= m_majorityAt + m_options.stragglerWait;
    if (m_phase == Phase::Sealing && haveMajority() && waitedForStragglers)
        return promoteBest(now);
    if (now >= m_deadline)
        return giveUp(m_term);
    return {};
}

bool Promotion::haveMajority() const
{
    return m_sealed.size() * 2 > m_options.instances.size();
}

std::vector<PromotionAction> Promotion::promoteBest(Millis now)
{
    const std::map<std::string, Position> candidates = stayingMajority();
    const auto best = std::max_element(
        candidates.begin(), candidates.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    m_chosen = best->first;
    m_phase = Phase::Promoting;
    m_deadline = now + m_options.stepTimeout;
    return {{PromotionStep::Promote, m_chosen, m_term}};
}

std::map<std::string, Position> Promotion::stayingMajority() const
{
    // Every acknowledged entry is on a majority, so any majority holds it: leaving instances can be
    // passed over, even if they are ahead, as long as the others are a majority by themselves.
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
