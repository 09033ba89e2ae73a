// The part of PrimaryChange that replaces a primary which still answers. Load pattern: planned
// departures under full load, in which a replica always lacks the newest entries by the time that
// a message takes; the old primary is told to step down only when that is all that is missing.
#include "session/primarychange.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Between two rounds of status queries while the old primary serves on.
constexpr Millis CatchUpInterval(60);
// From the lease until some replica has to have followed. One that an earlier attempt left paused
// does not.
constexpr Millis CatchUpLimit(800);
// Before the fence is requested again that the platform has refused without effect.
constexpr Millis FenceResend(200);
// The old primary is not told to step down later than this before the end of the lease's acting
// time: the promotion has to be requested within it.
constexpr Millis StepDownMargin(600);
// From a settled fence until the successor is to lead.
constexpr Millis HandoverTime(1500);
// Between repeated commands to step down.
constexpr Millis StepDownResend(150);
// Between queries to replicas after the old primary has stepped down.
constexpr Millis CoverQueryInterval(20);
// After that, for entries on their way to a replica. Then the old primary is promoted again.
constexpr Millis CoverLimit(200);

} // namespace

void PrimaryChange::beginHandover(Millis now)
{
    if (earlierRequestIsOpen(now)) {
        sealInstead(now, "an earlier promotion may still be carried out");
        return;
    }
    enter(now, PrimaryChangeStage::CatchingUp, "fencing token " + std::to_string(m_fencingToken));
    queryFollowers(now);
}

void PrimaryChange::tickHandover(Millis now, PrimaryChangeCause cause)
{
    if (now >= m_actUntil) {
        abandon(now, "the promotion could not be requested in time: " + handoverText());
        return;
    }
    if (m_steppedDown) {
        promoteIfCovered(now);
        return;
    }
    // Once it was told to step down, it may not be known as primary any more before it answers.
    if (cause == PrimaryChangeCause::None && m_stage != PrimaryChangeStage::SteppingDown) {
        abandon(now, "the primary does not leave, or is not known any more");
        return;
    }
    if (cause == PrimaryChangeCause::Unreachable) {
        sealUnderSafeToken(now);
        return;
    }
    continueHandover(now);
    if (now >= m_nextSendAt && m_stage == PrimaryChangeStage::CatchingUp)
        queryFollowers(now);
}

// The old primary does not answer any more. While the fence may still be carried out, nothing else
// is requested under its token: the platform would carry out both, in any order.
void PrimaryChange::sealUnderSafeToken(Millis now)
{
    const std::string reason = "the primary does not answer any more";
    if (m_unansweredPromotions == 0) {
        sealInstead(now, reason);
        return;
    }
    abandon(now, reason);
    m_retryAt = now;
}

// Takes the next step of the present stage, if it can be taken.
void PrimaryChange::continueHandover(Millis now)
{
    switch (m_stage) {
    case PrimaryChangeStage::CatchingUp:
        fenceIfReplicaFollows(now);
        return;
    case PrimaryChangeStage::Fencing:
        if (now >= m_nextSendAt)
            sendFence(now);
        return;
    case PrimaryChangeStage::SteppingDown:
        if (m_steppedDown)
            promoteIfCovered(now);
        else if (ensureRecorded(now, m_candidate) && now >= m_nextSendAt)
            sendStepDown(now);
        return;
    default:
        return;
    }
}

// Asks the old primary where its log ends, and the replicas how far they have come. Those that have
// reached in this round what the old primary said in the one before follow it closely.
void PrimaryChange::queryFollowers(Millis now)
{
    m_nextSendAt = now + CatchUpInterval;
    m_followerTarget = m_oldPrimaryEnd;
    m_followers.clear();
    m_output->sendCommand(m_oldPrimary, {.kind = StatementKind::Status});
    query(possibleCandidates());
}

void PrimaryChange::query(const std::vector<std::string> &instances)
{
    for (const std::string &id : instances)
        m_output->sendCommand(id, {.kind = StatementKind::Status});
}

void PrimaryChange::onHandoverStatus(Millis now, const std::string &instance, StatementKind command,
                                     const InstanceStatus &status)
{
    if (instance != m_oldPrimary) {
        if (status.primary) {
            abandon(now, instance + " is primary of term " + std::to_string(status.term));
            return;
        }
        m_followers[instance] = status;
        continueHandover(now);
        return;
    }
    // Answers to earlier queries may arrive after that to the step-down.
    if (m_steppedDown)
        return;
    if (status.primary) {
        m_oldPrimaryEnd = status.received;
        m_oldPrimaryTerm = status.term;
        return;
    }
    const bool wasPrimary = m_oldPrimaryTerm > 0 && status.term <= m_oldPrimaryTerm;
    if (command != StatementKind::StepDown || !wasPrimary) {
        abandon(now, instance + " is not primary any more");
        return;
    }
    m_steppedDown = true;
    noteSteppedDown(now);
    m_oldPrimaryEnd = status.received;
    m_stepDownAt = now;
    m_followers.clear();
    m_nextSendAt = now;
    promoteIfCovered(now);
}

// The replica that may be promoted and has received the most, if it covers `end`; empty if none
// does. One that stays is preferred to one that restarted lately and may have lost its log.
std::string PrimaryChange::bestReplicaAt(Position end) const
{
    std::string best;
    std::pair<bool, Position> bestRank;
    for (const auto &[id, status] : m_followers) {
        const std::pair rank(!m_restarted.contains(id), status.received);
        if (!mayBeCandidate(id) || !status.received.covers(end)
            || (!best.empty() && rank <= bestRank))
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

bool PrimaryChange::someReplicaIsPaused() const
{
    return std::any_of(m_followers.begin(), m_followers.end(),
                       [](const auto &row) { return row.second.pausedTerm > 0; });
}

// Once a replica follows closely, raises the platform's fencing token by a request that changes
// nothing. If that has been done or would not help, the old primary is told to step down.
void PrimaryChange::fenceIfReplicaFollows(Millis now)
{
    const std::string follower
        = m_followerTarget ? bestReplicaAt(*m_followerTarget) : std::string();
    if (follower.empty()) {
        if (now - m_stageSince <= CatchUpLimit || !someReplicaIsPaused())
            return;
        if (m_options.fencedPromotions && m_oldPrimaryTerm > 0) {
            if (!ensureRecorded(now, m_oldPrimary))
                return;
            m_cause = PrimaryChangeCause::Stalled;
            promoteStalledAgain(now);
        } else {
            sealInstead(now, "a replica is paused");
        }
        return;
    }
    if (now + StepDownMargin >= m_actUntil)
        return;
    m_candidate = follower;
    if (!needsFence(now) || fenceHolds()) {
        stepDown(now);
        return;
    }
    m_nextSendAt = now;
    enter(now, PrimaryChangeStage::Fencing, m_oldPrimary);
    sendFence(now);
}

// Whether the old primary had better serve on until the platform has answered. Not if its time ends
// before the fence is settled, unless an earlier fence may still be carried out.
bool PrimaryChange::needsFence(Millis now) const
{
    if (!m_options.fencedPromotions)
        return false;
    const std::optional<Millis> end = m_groupState.listed.endOf(m_oldPrimary);
    return now < m_openUntil || !end || now + PromotionTime + HandoverTime < *end;
}

// Whether the platform has accepted the fence for the old primary, and no other host can have acted
// since.
bool PrimaryChange::fenceHolds() const
{
    return m_fence && m_fence->primary == m_oldPrimary && m_now >= m_fence->settledAt
        && m_fencingToken <= m_fence->fencingToken + 1;
}

// The request may be carried out late, after the old primary has stepped down under a later lease,
// so the row names it.
void PrimaryChange::sendFence(Millis now)
{
    if (!ensureRecorded(now, m_oldPrimary) || m_unansweredPromotions > 0)
        return;
    ++m_unansweredPromotions;
    m_output->promote(m_group, m_oldPrimary, m_fencingToken);
}

void PrimaryChange::onFenceAnswer(Millis now, PromotionResult result)
{
    if (result != PromotionResult::Unknown)
        --m_unansweredPromotions;
    switch (result) {
    case PromotionResult::Accepted:
        m_fence = {.primary = m_oldPrimary,
                   .fencingToken = m_fencingToken,
                   .settledAt = now + PromotionTime};
        abandon(now, "the platform accepted the fence");
        m_retryAt = m_fence->settledAt;
        return;
    case PromotionResult::NotDone:
        m_nextSendAt = now + FenceResend;
        return;
    case PromotionResult::Fenced:
        onFenced(now, "another host has used a higher fencing token");
        return;
    case PromotionResult::NotRunning:
    case PromotionResult::Unknown:
        // A later request under the same token would not put an end to this one.
        abandon(now, m_oldPrimary + " " + std::string(PromotionResultNames.name(result)));
        return;
    }
}

void PrimaryChange::stepDown(Millis now)
{
    m_nextSendAt = now;
    enter(now, PrimaryChangeStage::SteppingDown, handoverText());
    continueHandover(now);
}

void PrimaryChange::sendStepDown(Millis now)
{
    m_nextSendAt = now + StepDownResend;
    m_output->sendCommand(m_oldPrimary, termCommand(StatementKind::StepDown));
}

// The old primary has stepped down. Requests the promotion of a replica that covers its end or, if
// none does in time, its own.
void PrimaryChange::promoteIfCovered(Millis now)
{
    const std::string covering = bestReplicaAt(*m_oldPrimaryEnd);
    const bool isLate = now - m_stepDownAt >= CoverLimit;
    if (covering.empty() && !isLate) {
        if (now < m_nextSendAt)
            return;
        m_nextSendAt = now + CoverQueryInterval;
        query(possibleCandidates());
        return;
    }
    if (covering.empty() && !oldPrimaryMayReturn()) {
        sealInstead(now, "no replica covers the primary, which ends: " + handoverText());
        return;
    }
    // The recorded candidate needs no other row.
    const auto recorded = m_followers.find(m_recordedCandidate);
    const bool keepsRecorded = recorded != m_followers.end() && mayBeCandidate(recorded->first)
        && recorded->second.received.covers(*m_oldPrimaryEnd);
    m_candidate = covering.empty() ? m_oldPrimary : keepsRecorded ? recorded->first : covering;
    if (!ensureRecorded(now, m_candidate))
        return;
    enter(now, PrimaryChangeStage::RequestingPromotion, handoverText());
    sendPromotionRequest(now);
}

// How far the handover has come, for the log.
std::string PrimaryChange::handoverText() const
{
    std::string text = "candidate " + (m_candidate.empty() ? "none" : m_candidate) + ", "
        + m_oldPrimary + (m_steppedDown ? " stepped down at " : " at ")
        + (m_oldPrimaryEnd ? positionText(*m_oldPrimaryEnd) : "an unknown position");
    for (const auto &[id, status] : m_followers)
        text += ", " + id + (status.pausedTerm > 0 ? " paused at " : " at ")
            + positionText(status.received);
    return text;
}

// Goes on as around a primary that does not answer.
void PrimaryChange::sealInstead(Millis now, const std::string &reason)
{
    m_cause = PrimaryChangeCause::Unreachable;
    m_candidate.clear();
    m_nextSendAt = now;
    enter(now, PrimaryChangeStage::Sealing, reason);
    sendSeals(now);
}

} // namespace cicadagap
