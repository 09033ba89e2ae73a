#include "session/primarychange.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr Millis ClaimTimeout(3000);   // For the store's answers to the claim.
constexpr Millis ResendInterval(300);  // Between repeated orders to an instance that is silent.
constexpr Millis CatchUpInterval(60);  // Between status queries to a heir that is behind.
constexpr Millis PromotionResend(400); // Between repeated promotions that were not answered.
constexpr Millis ConfirmTimeout(3000); // From an accepted order to the new primary's lead.
constexpr Millis RetryAfter(600);      // After an attempt that failed.
// After a claim that failed, according to how long another host holds the duty.
constexpr Millis RetryAfterClaim(400);
constexpr Millis MaxRetryAfterClaim(2000);
constexpr Millis RetryAfterFence(5000); // The other host's lease has to end first.
// An instance that vanished without notice may come back with its log for this long.
constexpr Millis VanishedMemory(60'000);
// A restarted instance has received the primary's whole log by then.
constexpr Millis RestartMemory(10'000);

} // namespace

PrimaryChange::PrimaryChange(std::string group, PrimaryChangeOutput *output)
    : m_group(std::move(group))
    , m_output(output)
{
}

void PrimaryChange::onTick(Millis now, PrimaryChangeCause cause, const GroupState &knowledge)
{
    m_knowledge = knowledge;
    remember(now, knowledge.instances);
    switch (m_stage) {
    case PrimaryChangeStage::Idle:
        if (cause != PrimaryChangeCause::None && now >= m_retryAt)
            begin(now, cause);
        return;
    case PrimaryChangeStage::AcquiringLease:
        if (now - m_stageSince > ClaimTimeout)
            abandon(now, "the store did not answer the claim");
        return;
    case PrimaryChangeStage::Sealing:
        if (now >= m_actUntil) {
            abandon(now, "too few instances were sealed in time");
            return;
        }
        if (cause == PrimaryChangeCause::None) {
            abandon(now, "the primary is well again");
            return;
        }
        sendSeals(now);
        tryToOrder(now);
        return;
    case PrimaryChangeStage::RequestingPromotion:
        if (now >= m_actUntil)
            waitAfterOrder(now, "the platform did not answer the order");
        else if (now >= m_nextSend)
            sendPromotion(now);
        return;
    case PrimaryChangeStage::Confirming:
        if (now - m_stageSince > ConfirmTimeout)
            waitAfterOrder(now, "the promoted instance does not lead");
        return;
    }
}

void PrimaryChange::onLeaseResult(Millis now, const LeaseResult &result)
{
    if (m_stage != PrimaryChangeStage::AcquiringLease)
        return;
    if (!result.fencingToken || now >= result.actUntil) {
        enter(now, PrimaryChangeStage::Idle,
              result.fencingToken ? "the claim came too late" : "not granted");
        m_retryAt = now + std::clamp(result.heldFor, RetryAfterClaim, MaxRetryAfterClaim);
        return;
    }
    if (m_cause == PrimaryChangeCause::Stalled && m_knowledge.primary != m_claimedFor) {
        enter(now, PrimaryChangeStage::Idle, "another instance is taken for the primary now");
        m_retryAt = now + RetryAfter;
        return;
    }
    m_token = *result.fencingToken;
    m_actUntil = result.actUntil;
    m_sealed.clear();
    m_candidate.clear();
    m_heirPosition.reset();
    m_oldPrimary = m_knowledge.primary;
    m_steppedDown = false;
    m_sealTerm = std::max(m_sealTerm, m_knowledge.term) + 1;
    m_nextSend = now;
    enter(now, PrimaryChangeStage::Sealing, "token " + std::to_string(m_token));
    sendSeals(now);
}

void PrimaryChange::onStatus(Millis now, const std::string &instance, StatementKind order,
                             const InstanceStatus &status)
{
    m_sealTerm = std::max(m_sealTerm, status.term + 1);
    if (order == StatementKind::Resume) {
        m_toResume.erase(instance);
        return;
    }
    if (m_stage != PrimaryChangeStage::Sealing)
        return;
    if (m_cause == PrimaryChangeCause::Stalled) {
        if (order != StatementKind::Status || instance != m_oldPrimary)
            return;
        if (status.primary && status.term >= m_knowledge.term)
            orderStalledAgain(now);
        else
            abandon(now, instance + " does not lead term " + std::to_string(m_knowledge.term));
        return;
    }
    if (status.primary && instance != m_oldPrimary) {
        m_toResume.erase(instance);
        abandon(now, instance + " leads term " + std::to_string(status.term));
        return;
    }
    if (order == StatementKind::StepDown && !status.primary) {
        // It is a replica now and may receive from a primary that we do not know of.
        m_steppedDown = true;
        ++m_sealTerm;
        m_nextSend = now;
        return;
    }
    if (order == StatementKind::Status && instance == m_candidate)
        m_heirPosition = status.received;
    if (order == StatementKind::Pause && status.pausedTerm > 0)
        m_sealed[instance] = status;
    tryToOrder(now);
}

void PrimaryChange::onConnectionLost(Millis now, const std::string &instance)
{
    if (m_stage == PrimaryChangeStage::Sealing && m_sealed.erase(instance) > 0)
        m_nextSend = now;
}

void PrimaryChange::onPromotion(Millis now, PromotionResult verdict)
{
    if (m_stage != PrimaryChangeStage::RequestingPromotion)
        return;
    const std::string detail = m_candidate + " " + std::string(PromotionResultNames.name(verdict));
    if (verdict == PromotionResult::NotRunning || verdict == PromotionResult::NotDone)
        --m_openOrders;
    switch (verdict) {
    case PromotionResult::Accepted:
        enter(now, PrimaryChangeStage::Confirming, detail);
        return;
    case PromotionResult::Fenced:
        // Another host has the duty now, and the sealed instances with it.
        m_toResume.clear();
        m_openOrders = 0;
        abandon(now, detail);
        m_retryAt = now + RetryAfterFence;
        return;
    case PromotionResult::NotRunning:
        abandon(now, detail);
        return;
    case PromotionResult::Unknown:
    case PromotionResult::NotDone:
        m_nextSend = now + PromotionResend;
        return;
    }
}

void PrimaryChange::onLeader(Millis now, const std::string &instance, std::uint64_t term)
{
    const bool ours = instance == m_candidate;
    if (m_stage == PrimaryChangeStage::Confirming && ours) {
        enter(now, PrimaryChangeStage::Idle, instance + " leads term " + std::to_string(term));
        m_openOrders = 0;
        m_toResume.erase(instance);
        resumeSealed();
    } else if (m_stage == PrimaryChangeStage::RequestingPromotion && ours) {
        // Seen at work before the platform's answer; of a stalled primary only that tells.
        if (m_cause == PrimaryChangeCause::Stalled)
            return;
        onPromotion(now, PromotionResult::Accepted);
        onLeader(now, instance, term);
    }
}

void PrimaryChange::enter(Millis now, PrimaryChangeStage stage, const std::string &detail)
{
    m_stage = stage;
    m_stageSince = now;
    m_output->stageChanged(m_group, stage, m_cause, detail);
}

void PrimaryChange::begin(Millis now, PrimaryChangeCause cause)
{
    m_cause = cause;
    m_claimedFor = m_knowledge.primary;
    enter(now, PrimaryChangeStage::AcquiringLease, m_knowledge.primary);
    m_output->acquireLease(m_group);
}

void PrimaryChange::abandon(Millis now, const std::string &reason)
{
    enter(now, PrimaryChangeStage::Idle, reason);
    m_retryAt = now + RetryAfter;
    if (m_openOrders == 0)
        resumeSealed();
}

// The order may still be carried out, even seconds later. What was sealed stays sealed, so that the
// heir lacks nothing then, until a later order is seen to have worked; the next attempt, by
// whichever host, draws a higher token.
void PrimaryChange::waitAfterOrder(Millis now, const std::string &reason)
{
    enter(now, PrimaryChangeStage::Idle, reason);
    m_retryAt = now + RetryAfter;
}

// Instances that vanish without having announced it count until their log cannot come back.
void PrimaryChange::remember(Millis now, const std::vector<RegisteredInstance> &instances)
{
    std::map<std::string, RegisteredInstance> present;
    for (const RegisteredInstance &instance : instances) {
        present[instance.id] = instance;
        m_vanished.erase(instance.id);
        const auto known = m_present.find(instance.id);
        if (known == m_present.end() || known->second.incarnation == instance.incarnation)
            continue;
        m_restarted[instance.id] = now;
        m_sealed.erase(instance.id);
    }
    std::erase_if(m_restarted, [now](const auto &row) { return now - row.second > RestartMemory; });
    for (const auto &[id, instance] : m_present) {
        if (!present.contains(id) && !instance.leaving)
            m_vanished[id] = now;
    }
    std::erase_if(m_vanished, [now](const auto &row) { return now - row.second > VanishedMemory; });
    m_present = std::move(present);
}

std::set<std::string> PrimaryChange::participants() const
{
    std::set<std::string> ids;
    for (const auto &row : m_present)
        ids.insert(row.first);
    for (const auto &row : m_vanished)
        ids.insert(row.first);
    return ids;
}

// Any set of that many sealed instances holds at least one copy of each acknowledged commit.
std::size_t PrimaryChange::sealsNeeded() const
{
    const auto sync = static_cast<std::size_t>(m_knowledge.syncReplicas);
    const std::size_t all = participants().size();
    return std::max(all > sync ? all - sync : 0, sync + 1);
}

// Sealed instances that hold what they ever acknowledged. One that restarted lately may have lost
// it, unless it is as far as all others.
std::size_t PrimaryChange::witnesses() const
{
    Position highest;
    for (const auto &row : m_sealed)
        highest = std::max(highest, row.second.received);
    return static_cast<std::size_t>(
        std::count_if(m_sealed.begin(), m_sealed.end(), [&](const auto &row) {
            return !m_restarted.contains(row.first) || row.second.received == highest;
        }));
}

void PrimaryChange::sendSeals(Millis now)
{
    if (now < m_nextSend)
        return;
    m_nextSend = now + ResendInterval;
    switch (m_cause) {
    case PrimaryChangeCause::Unreachable:
        sealFailing();
        return;
    case PrimaryChangeCause::Leaving:
        sealLeaving();
        m_nextSend = now + CatchUpInterval;
        return;
    case PrimaryChangeCause::Stalled:
        m_output->sendCommand(m_oldPrimary, {.kind = StatementKind::Status});
        return;
    case PrimaryChangeCause::None:
        return;
    }
}

void PrimaryChange::sealFailing()
{
    const std::string term = std::to_string(m_sealTerm);
    for (const std::string &id : participants()) {
        if (m_sealed.contains(id) || !registered(id))
            continue;
        const bool leads = id == m_oldPrimary && !m_steppedDown;
        if (!leads)
            m_toResume.insert(id);
        m_output->sendCommand(
            id, {.kind = leads ? StatementKind::StepDown : StatementKind::Pause, .argument = term});
    }
}

// All replicas but the heir stop receiving; with one synchronous replica the primary then
// acknowledges only what the heir has received.
void PrimaryChange::sealLeaving()
{
    chooseHeir();
    if (m_candidate.empty())
        return;
    for (const auto &row : m_present) {
        if (row.first == m_candidate || row.first == m_oldPrimary || m_sealed.contains(row.first))
            continue;
        m_toResume.insert(row.first);
        m_output->sendCommand(
            row.first, {.kind = StatementKind::Pause, .argument = std::to_string(m_sealTerm)});
    }
    m_output->sendCommand(m_candidate, {.kind = StatementKind::Status});
}

// Replicas that an earlier attempt left sealed are let go, but only after the present primary was
// ordered again under a higher token: from then on no earlier order can be carried out. It has said
// under this duty that it still leads: an order for one that was replaced would undo what its
// successor acknowledged.
void PrimaryChange::orderStalledAgain(Millis now)
{
    for (const auto &row : m_present) {
        if (row.first != m_oldPrimary)
            m_toResume.insert(row.first);
    }
    m_candidate = m_oldPrimary;
    enter(now, PrimaryChangeStage::RequestingPromotion, m_candidate);
    sendPromotion(now);
}

void PrimaryChange::chooseHeir()
{
    if (!m_candidate.empty() && usableAsHeir(m_candidate))
        return;
    m_candidate.clear();
    m_heirPosition.reset();
    for (const auto &row : m_present) {
        if (row.first != m_oldPrimary && usableAsHeir(row.first)) {
            m_candidate = row.first;
            m_sealed.erase(m_candidate);
            return;
        }
    }
}

bool PrimaryChange::usableAsHeir(const std::string &instance) const
{
    const auto found = m_present.find(instance);
    return found != m_present.end() && !found->second.leaving;
}

bool PrimaryChange::registered(const std::string &instance) const
{
    return m_present.contains(instance);
}

// The sealed instance with the highest position; among equals one that stays.
std::string PrimaryChange::bestSealed() const
{
    std::string best;
    Position highest;
    for (const auto &[id, status] : m_sealed) {
        const bool better = best.empty() || status.received > highest
            || (status.received == highest && usableAsHeir(id) && !usableAsHeir(best));
        if (better) {
            best = id;
            highest = status.received;
        }
    }
    return best;
}

bool PrimaryChange::heirHasAll() const
{
    if (!m_heirPosition)
        return false;
    return std::all_of(m_sealed.begin(), m_sealed.end(), [this](const auto &row) {
        return m_heirPosition->covers(row.second.received);
    });
}

void PrimaryChange::tryToOrder(Millis now)
{
    if (m_stage != PrimaryChangeStage::Sealing)
        return;
    if (m_cause == PrimaryChangeCause::Leaving) {
        const std::size_t others = m_present.size() - (m_present.contains(m_oldPrimary) ? 1 : 0)
            - (m_present.contains(m_candidate) ? 1 : 0);
        if (m_candidate.empty() || m_sealed.size() < others || !heirHasAll())
            return;
    } else {
        if (witnesses() < sealsNeeded())
            return;
        m_candidate = bestSealed();
    }
    enter(now, PrimaryChangeStage::RequestingPromotion, m_candidate);
    sendPromotion(now);
}

void PrimaryChange::sendPromotion(Millis now)
{
    m_nextSend = now + ClaimTimeout;
    ++m_openOrders;
    m_output->promote(m_group, m_candidate, m_token);
}

void PrimaryChange::resumeSealed()
{
    const std::set<std::string> waiting = std::exchange(m_toResume, {});
    for (const std::string &id : waiting) {
        if (registered(id))
            m_output->sendCommand(id, {.kind = StatementKind::Resume});
    }
}

} // namespace cicadagap
