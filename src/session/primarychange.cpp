// The part of PrimaryChange that handles events and the stages of an attempt. The handover from a
// primary that answers is in primaryhandover.cpp, the part that seals instances around one that
// does not in primaryseals.cpp, and the one that lets them receive again in primaryresumes.cpp.
#include "session/primarychange.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// For the store's answers when the lease is acquired, and for the platform's answer to a promotion
// request before the request is repeated.
constexpr Millis AnswerTimeout(3000);
// Between status queries to instances that may receive although they should be sealed.
constexpr Millis ReceiverQueryInterval(60);
// Before a promotion request is repeated whose outcome is unknown or that had no effect.
constexpr Millis PromotionResend(400);
// From an accepted promotion request until the candidate is seen as primary.
constexpr Millis ConfirmTimeout(3000);
// Bounds of the wait after the lease was refused. Between them the wait is the time for which
// another host holds the lease.
constexpr Millis MinRetryAfterLeaseRefused(400);
constexpr Millis MaxRetryAfterLeaseRefused(2000);
// After a fenced promotion request: the other host's lease has to end first.
constexpr Millis RetryAfterFenced(5000);
// After the promotion of an old primary that had stepped down and that no replica covered. Its
// replicas follow again by then.
constexpr Millis RetryAfterReturn(1000);
// An instance that is no longer registered, without having announced that it leaves, may come back
// with its log for this long.
constexpr Millis MissingMemory(60'000);
// An instance whose entry had expired when this process started has written it again by then.
constexpr Millis ListMemory(10'000);
// A list of instances that is older shows that the store is out of reach.
constexpr Millis UsualListAge(4500);
// After the store was out of reach, until the instances have written their entries again.
constexpr Millis EntryReturnTime(2500);
// For how long no instance is promoted that may lack what one held that has ended. Callers wait for
// the old primary to come back, which has it; then the log of the others has to do.
constexpr Millis EndedMemory(10'000);
// A restarted instance has received the primary's whole log after this time.
constexpr Millis RestartMemory(10'000);

} // namespace

PrimaryChange::PrimaryChange(std::string group, PrimaryChangeOutput *output, Options options)
    : m_group(std::move(group))
    , m_output(output)
    , m_options(options)
{
}

void PrimaryChange::onTick(Millis now, PrimaryChangeCause cause, const GroupState &state)
{
    m_now = now;
    m_groupState = state;
    trackRegistrations(now, state.listed.instances);
    recordResumes(now);
    switch (m_stage) {
    case PrimaryChangeStage::Idle:
        if (cause != PrimaryChangeCause::None && now >= m_retryAt)
            start(now, cause);
        else
            resumeLeftSealed(now, cause);
        return;
    case PrimaryChangeStage::AcquiringLease:
        if (now - m_stageSince > AnswerTimeout)
            abandon(now, "the store did not answer the request for the lease");
        return;
    case PrimaryChangeStage::CatchingUp:
    case PrimaryChangeStage::Fencing:
    case PrimaryChangeStage::SteppingDown:
        tickHandover(now, cause);
        return;
    case PrimaryChangeStage::Sealing:
        if (now >= m_actUntil) {
            abandon(now, "the promotion could not be requested in time: " + sealingText());
            return;
        }
        // Once the old primary has stepped down there is none, until this attempt has succeeded.
        if (cause == PrimaryChangeCause::None && !m_steppedDown) {
            abandon(now, "the primary works again");
            return;
        }
        forgetUndoneSeals(now);
        sendSeals(now);
        requestPromotionIfSealed(now);
        return;
    case PrimaryChangeStage::RequestingPromotion:
        if (now >= m_actUntil)
            retryAfterPromotionRequest(now, "the platform did not answer the promotion request");
        else if (now >= m_nextSendAt)
            sendPromotionRequest(now);
        return;
    case PrimaryChangeStage::Confirming:
        if (now - m_stageSince > ConfirmTimeout)
            retryAfterPromotionRequest(now, "the promoted instance did not become primary");
        return;
    }
}

void PrimaryChange::onLeaseResult(Millis now, const LeaseResult &result)
{
    m_now = now;
    if (m_stage != PrimaryChangeStage::AcquiringLease)
        return;
    if (!result.fencingToken || now >= result.actUntil) {
        enter(now, PrimaryChangeStage::Idle,
              result.fencingToken ? "the lease was granted too late" : "the lease was not granted");
        m_retryAt = now
            + std::clamp(result.heldFor, MinRetryAfterLeaseRefused, MaxRetryAfterLeaseRefused);
        return;
    }
    takeLease(result);
    if (m_cause == PrimaryChangeCause::LeftSealed) {
        onLeaseForLeftSealed(now);
        return;
    }
    if (m_cause == PrimaryChangeCause::Stalled && m_groupState.primary != m_leaseSoughtFor) {
        enter(now, PrimaryChangeStage::Idle, "another instance is considered primary now");
        m_retryAt = now + RetryAfter;
        return;
    }
    m_replacesStalled = m_cause == PrimaryChangeCause::Stalled && !m_options.fencedPromotions;
    if (m_replacesStalled)
        m_cause = PrimaryChangeCause::Unreachable;
    m_leaseAt = now;
    m_recordedCandidate.clear();
    m_recordingCandidate.clear();
    m_unansweredPromotions = 0;
    m_outdatedPrimaries.clear();
    m_sealedSince.reset();
    m_nextRecordAt = now;
    m_sealed.clear();
    m_paused.clear();
    m_candidate.clear();
    m_followers.clear();
    m_followerTarget.reset();
    m_oldPrimaryEnd.reset();
    m_oldPrimaryTerm = 0;
    m_oldPrimary = m_groupState.primary;
    m_steppedDown = false;
    m_relays = 0;
    m_relaysSentAt = now - RelayInterval;
    m_sealTerm = std::max(m_sealTerm, m_groupState.term) + 1;
    m_nextSendAt = now;
    if (m_cause == PrimaryChangeCause::Leaving) {
        beginHandover(now);
        return;
    }
    enter(now, PrimaryChangeStage::Sealing, "fencing token " + std::to_string(m_fencingToken));
    sendSeals(now);
}

void PrimaryChange::onStatus(Millis now, const std::string &instance, StatementKind command,
                             const InstanceStatus &status)
{
    m_now = now;
    m_sealTerm = std::max(m_sealTerm, status.term + 1);
    m_newestTerm = std::max({m_newestTerm, m_groupState.term, status.term});
    noteWhetherPaused(instance, command, status);
    if (command == StatementKind::Resume)
        return;
    if (now >= m_actUntil)
        return;
    if (m_stage == PrimaryChangeStage::CatchingUp || m_stage == PrimaryChangeStage::SteppingDown) {
        onHandoverStatus(now, instance, command, status);
        return;
    }
    if (m_stage != PrimaryChangeStage::Sealing)
        return;
    if (m_cause == PrimaryChangeCause::Stalled) {
        if (command != StatementKind::Status || instance != m_oldPrimary)
            return;
        if (status.primary && status.term >= m_groupState.term) {
            if (ensureStalledRecorded(now))
                promoteStalledAgain(now);
        } else {
            abandon(now, instance + " is not primary of term " + std::to_string(m_groupState.term));
        }
        return;
    }
    const bool outdated = !m_options.fencedPromotions && status.term < m_newestTerm;
    if (status.primary && instance != m_oldPrimary && outdated) {
        if (m_outdatedPrimaries.insert(instance).second)
            m_nextSendAt = now;
        return;
    }
    if (status.primary && instance != m_oldPrimary) {
        noteReceives(instance);
        abandon(now, instance + " is primary of term " + std::to_string(status.term));
        return;
    }
    if (command == StatementKind::StepDown && !status.primary) {
        // It is a replica now, and may receive from a primary that this host does not know of. It
        // has to be sealed like the others, in a higher term.
        m_outdatedPrimaries.erase(instance);
        if (instance == m_oldPrimary) {
            m_steppedDown = true;
            noteSteppedDown(now);
            m_oldPrimaryEnd = std::max(m_oldPrimaryEnd.value_or(Position{}), status.received);
        }
        ++m_sealTerm;
        m_nextSendAt = now;
        forgetUncertainSeals();
        requestPromotionIfSealed(now);
        return;
    }
    const bool paused = command == StatementKind::Pause && status.pausedTerm > 0;
    const bool receives = m_cause == PrimaryChangeCause::Unreachable && instance != m_oldPrimary
        && sealMayBeUndone(instance);
    if (paused || receives)
        m_sealed[instance] = status;
    requestPromotionIfSealed(now);
}

void PrimaryChange::onRelayFailed(Millis now)
{
    m_now = now;
    m_relays = std::max(0, m_relays - 1);
    if (now < m_actUntil)
        requestPromotionIfSealed(now);
}

void PrimaryChange::onConnectionLost(Millis now, const std::string &instance)
{
    if (m_stage == PrimaryChangeStage::Sealing && forgetSeal(instance))
        m_nextSendAt = now;
}

void PrimaryChange::onCandidateRecorded(Millis now, const std::string &candidate, bool recorded)
{
    m_now = now;
    const bool attempts
        = m_stage != PrimaryChangeStage::Idle && m_stage != PrimaryChangeStage::AcquiringLease;
    if (!attempts || !recorded || now >= m_actUntil)
        return;
    m_recordedCandidate = candidate;
    if (m_stage == PrimaryChangeStage::Sealing)
        requestPromotionIfSealed(now);
    else
        continueHandover(now);
    if (m_cause == PrimaryChangeCause::Stalled)
        m_nextSendAt = now; // The primary has to say again that it is one.
}

// A commit that was sent after instances had ended was received by one that remains, and with it
// all before it.
void PrimaryChange::onCommitAcknowledged(const std::string &instance, Millis sentAt)
{
    if (instance == m_groupState.primary)
        forgetEnded(sentAt);
}

void PrimaryChange::onPosition(const std::string &instance, Millis sentAt, Position end)
{
    if (m_ended.empty())
        return;
    if (instance == m_groupState.primary) {
        if (!m_primarySample)
            m_primarySample = {.sentAt = sentAt, .end = end};
        return;
    }
    if (!m_primarySample || !mayBeCandidate(instance) || !end.covers(m_primarySample->end))
        return;
    forgetEnded(m_primarySample->sentAt);
    m_primarySample.reset();
}

void PrimaryChange::forgetEnded(Millis before)
{
    std::erase_if(m_ended, [before](const auto &row) { return row.second < before; });
}

void PrimaryChange::onPromotion(Millis now, PromotionResult verdict)
{
    m_now = now;
    if (m_stage == PrimaryChangeStage::Fencing) {
        onFenceAnswer(now, verdict);
        return;
    }
    if (m_stage != PrimaryChangeStage::RequestingPromotion)
        return;
    const std::string detail = m_candidate + " " + std::string(PromotionResultNames.name(verdict));
    if (verdict == PromotionResult::NotRunning || verdict == PromotionResult::NotDone)
        --m_openPromotions;
    if (verdict != PromotionResult::Unknown)
        --m_unansweredPromotions;
    switch (verdict) {
    case PromotionResult::Accepted:
        enter(now, PrimaryChangeStage::Confirming, detail);
        return;
    case PromotionResult::Fenced:
        onFenced(now, detail);
        return;
    case PromotionResult::NotRunning:
        abandon(now, detail);
        return;
    case PromotionResult::Unknown:
    case PromotionResult::NotDone:
        m_nextSendAt = now + PromotionResend;
        return;
    }
}

// Another host holds the lease now. It is also the one to unseal the instances.
void PrimaryChange::onFenced(Millis now, const std::string &detail)
{
    m_toResume.clear();
    m_openPromotions = 0;
    abandon(now, detail);
    m_retryAt = now + RetryAfterFenced;
}

void PrimaryChange::onPrimary(Millis now, const std::string &instance, std::uint64_t term)
{
    m_downSince.reset();
    const bool isCandidate = instance == m_candidate;
    if (m_stage == PrimaryChangeStage::Confirming && isCandidate) {
        enter(now, PrimaryChangeStage::Idle,
              instance + " is primary of term " + std::to_string(term));
        m_openPromotions = 0;
        noteReceives(instance);
        allowResuming(now);
        forgetCandidate();
        if (m_cause == PrimaryChangeCause::Leaving && instance == m_oldPrimary) {
            m_fence = {.primary = instance,
                       .fencingToken = m_fencingToken,
                       .settledAt = now + RetryAfterReturn};
            m_retryAt = m_fence->settledAt;
        }
    } else if (m_stage == PrimaryChangeStage::Idle && isCandidate && m_openPromotions > 0
               && m_cause != PrimaryChangeCause::Stalled) {
        // The request was carried out after the attempt had ended.
        m_openPromotions = 0;
        noteReceives(instance);
        allowResuming(now);
    } else if (m_stage == PrimaryChangeStage::RequestingPromotion && isCandidate) {
        // The candidate was seen as primary before the platform answered. A stalled primary is
        // its own candidate and was primary all the time, so only the platform's answer counts.
        if (m_cause == PrimaryChangeCause::Stalled)
            return;
        enter(now, PrimaryChangeStage::Confirming, m_candidate + " was seen as primary");
        onPrimary(now, instance, term);
    }
}

void PrimaryChange::enter(Millis now, PrimaryChangeStage stage, const std::string &detail)
{
    m_stage = stage;
    m_stageSince = now;
    m_output->stageChanged(m_group, stage, m_cause, detail);
}

void PrimaryChange::start(Millis now, PrimaryChangeCause cause)
{
    m_cause = cause;
    m_leaseSoughtFor = m_groupState.primary;
    enter(now, PrimaryChangeStage::AcquiringLease, m_groupState.primary);
    m_output->acquireLease(m_group);
}

// Starts to act under a lease.
void PrimaryChange::takeLease(const LeaseResult &result)
{
    m_fencingToken = *result.fencingToken;
    m_actUntil = result.actUntil;
    m_openCandidate = result.openCandidate;
    m_openUntil = result.openUntil;
    m_openResumes = result.openResumes;
    forgetSentResumes();
}

void PrimaryChange::abandon(Millis now, const std::string &reason)
{
    enter(now, PrimaryChangeStage::Idle, reason);
    m_retryAt = now + RetryAfter;
    if (m_openPromotions > 0)
        return;
    forgetCandidate();
    if (earlierRequestIsOpen(now) && !isOpenCandidate(m_groupState.primary))
        m_releaseAt = m_openUntil;
    else
        allowResuming(now);
}

// Ends the attempt after a promotion request that may still be carried out, even seconds later. The
// sealed instances stay sealed, so that the candidate lacks no acknowledged commit if that happens,
// until a later promotion is seen to have worked. The next attempt, on whichever host, gets a
// higher fencing token.
void PrimaryChange::retryAfterPromotionRequest(Millis now, const std::string &reason)
{
    enter(now, PrimaryChangeStage::Idle, reason);
    m_retryAt = now + RetryAfter;
    m_releaseAt = now + LatePromotionLimit;
}

// Takes over the list of registered instances. One that disappears from it without having announced
// that it leaves still counts, until it can no longer come back with its log.
void PrimaryChange::trackRegistrations(Millis now, const std::vector<RegisteredInstance> &instances)
{
    std::map<std::string, RegisteredInstance> present;
    for (const RegisteredInstance &instance : instances) {
        present[instance.id] = instance;
        m_missing.erase(instance.id);
        m_ended.erase(instance.id);
        const auto known = m_registered.find(instance.id);
        if (known == m_registered.end() || known->second.incarnation == instance.incarnation)
            continue;
        m_restarted[instance.id] = now;
        forgetSeal(instance.id);
    }
    std::erase_if(m_restarted, [now](const auto &row) { return now - row.second > RestartMemory; });
    for (const auto &[id, instance] : m_registered) {
        if (present.contains(id))
            continue;
        if (!instance.leaving)
            m_missing[id] = now;
        else if (id != m_groupState.primary)
            m_ended[id] = now;
    }
    std::erase_if(m_ended, [now](const auto &row) { return now - row.second > EndedMemory; });
    std::erase_if(m_missing, [now](const auto &row) { return now - row.second > MissingMemory; });
    const bool isOld = now - m_groupState.listed.readAt > UsualListAge;
    if (!m_listIsEvidenceFrom)
        m_listIsEvidenceFrom = now + ListMemory;
    else if (isOld)
        m_listIsEvidenceFrom = std::max(*m_listIsEvidenceFrom, now + EntryReturnTime);
    m_registered = std::move(present);
}

void PrimaryChange::sendSeals(Millis now)
{
    if (now < m_nextSendAt)
        return;
    m_nextSendAt = now + ResendInterval;
    switch (m_cause) {
    case PrimaryChangeCause::Unreachable:
        if (!m_openResumes.empty())
            m_nextSendAt = now + ReceiverQueryInterval;
        sealAroundFailedPrimary();
        return;
    case PrimaryChangeCause::Stalled:
        ensureStalledRecorded(now);
        m_output->sendCommand(m_oldPrimary, {.kind = StatementKind::Status});
        // The host that paused them may be waiting for the lease.
        query(replicas());
        return;
    case PrimaryChangeCause::Leaving:
    case PrimaryChangeCause::LeftSealed:
    case PrimaryChangeCause::None:
        return;
    }
}

// Has the lease's row name the stalled primary; see ensureRecorded(). A row that names another
// candidate, whose promotion may still be carried out, is kept.
bool PrimaryChange::ensureStalledRecorded(Millis now)
{
    return earlierRequestIsOpen(now) || ensureRecorded(now, m_oldPrimary);
}

// Unseals the replicas that an earlier attempt left sealed. The present primary is promoted again
// first, under a higher fencing token: from then on no earlier promotion request can be carried
// out. It has confirmed under this lease that it is still primary; promoting one that was replaced
// would undo what its successor has acknowledged.
void PrimaryChange::promoteStalledAgain(Millis now)
{
    for (const std::string &id : replicas())
        m_toResume.insert(id);
    m_candidate = m_oldPrimary;
    enter(now, PrimaryChangeStage::RequestingPromotion, m_candidate);
    sendPromotionRequest(now);
}

// Requests the promotion once enough instances are sealed, the candidate is recorded and, without
// fenced promotions, the old primary can do no harm.
void PrimaryChange::requestPromotionIfSealed(Millis now)
{
    if (m_stage != PrimaryChangeStage::Sealing || m_cause == PrimaryChangeCause::Stalled)
        return;
    if (!chooseSealedCandidate(now))
        return;
    if (!listIsRecent() || !preferOpenCandidate(now))
        return;
    if (!ensureRecorded(now, m_candidate) || mayStillStepDown(now))
        return;
    if (!m_options.fencedPromotions && !oldPrimaryIsHarmless(now))
        return;
    enter(now, PrimaryChangeStage::RequestingPromotion, sealingText());
    sendPromotionRequest(now);
}

// Has the lease's row name the candidate. Returns whether it does; if not, onCandidateRecorded()
// goes on.
bool PrimaryChange::ensureRecorded(Millis now, const std::string &candidate)
{
    if (m_recordedCandidate == candidate)
        return true;
    const bool isNew = m_recordingCandidate != candidate;
    if (isNew || now >= m_nextRecordAt) {
        m_nextRecordAt = now + ResendInterval;
        m_recordingCandidate = candidate;
        m_output->recordCandidate(m_group, candidate, m_fencingToken);
    }
    return false;
}

// Lets later holders of the lease choose freely, if no request of this attempt can be carried out
// any more.
void PrimaryChange::forgetCandidate()
{
    if (m_recordedCandidate.empty() || m_unansweredPromotions > 0)
        return;
    m_recordedCandidate.clear();
    m_output->recordCandidate(m_group, {}, m_fencingToken);
}

void PrimaryChange::sendPromotionRequest(Millis now)
{
    m_nextSendAt = now + AnswerTimeout;
    ++m_openPromotions;
    ++m_unansweredPromotions;
    m_releaseAt = now + LatePromotionLimit;
    m_output->promote(m_group, m_candidate, m_fencingToken);
}

} // namespace cicadagap
