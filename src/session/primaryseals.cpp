// The part of PrimaryChange that seals instances, chooses the candidate, and decides when its
// promotion may be requested.
#include "session/primarychange.h"

#include "session/readlease.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadagap {

namespace {

// How long the possible candidates of a leaving primary have to answer before one is chosen.
constexpr Millis CandidateQueryTime(200);
// From sufficient seals until an instance that leaves is promoted, if no other one holds
// everything.
constexpr Millis StayingCandidateWait(500);
// That a promotion takes at the most, from its request on.
constexpr Millis PromotionTime(2000);
// Of the list of instances when the lease is acquired, to seal them by it. The store may stop
// answering after it has granted the lease.
constexpr Millis MaxListAge(1000);

} // namespace

// The instance may receive again. Returns whether it counted as sealed.
bool PrimaryChange::forgetSeal(const std::string &instance)
{
    if (m_sealed.erase(instance) == 0)
        return false;
    m_sealedSince.reset();
    return true;
}

// The instances whose logs may hold acknowledged commits.
std::set<std::string> PrimaryChange::possibleLogHolders() const
{
    std::set<std::string> ids;
    for (const auto &row : m_registered)
        ids.insert(row.first);
    for (const auto &row : m_missing)
        ids.insert(row.first);
    return ids;
}

// How many instances have to be sealed. Any set of that many holds at least one copy of each
// acknowledged commit.
std::size_t PrimaryChange::sealsNeeded() const
{
    const auto sync = static_cast<std::size_t>(m_groupState.syncReplicas);
    const std::size_t all = possibleLogHolders().size();
    return std::max(all > sync ? all - sync : 0, sync + 1);
}

// Whether a resume of an earlier holder may still be carried out at the instance.
bool PrimaryChange::mayBeResumed(const std::string &instance) const
{
    return m_openResumes.contains(instance);
}

// Whether the instance may receive from the old primary although it was sealed.
bool PrimaryChange::sealMayBeUndone(const std::string &instance) const
{
    return !m_steppedDown && mayBeResumed(instance);
}

// Resumes that cannot be carried out any more may have undone earlier seals.
void PrimaryChange::forgetUndoneSeals(Millis now)
{
    std::erase_if(m_openResumes, [&](const auto &row) {
        if (row.second > now)
            return false;
        forgetSeal(row.first);
        m_nextSendAt = now;
        return true;
    });
}

// The old primary has stepped down. The instances that may have received from it until then are
// sealed anew.
void PrimaryChange::forgetUncertainSeals()
{
    for (const auto &row : m_openResumes)
        forgetSeal(row.first);
}

// Whether the instance runs until a promotion that is requested now is carried out. When one that
// leaves has ended, a new one continues its log, and receives from the old primary, if that still
// leads.
bool PrimaryChange::runsUntilPromoted(const std::string &instance) const
{
    const std::optional<Millis> end = m_groupState.listed.endOf(instance);
    return !end || *end >= m_now + PromotionTime;
}

// Whether the instance is sealed, and stays so until the candidate is promoted. The candidate
// itself may receive until then.
bool PrimaryChange::countsAsSealed(const std::string &instance, const std::string &candidate) const
{
    return m_sealed.contains(instance) && (m_steppedDown || runsUntilPromoted(instance))
        && (instance == candidate || !sealMayBeUndone(instance));
}

// Whether the instance certainly holds everything it ever acknowledged. One that restarted lately
// may have lost its log, and counts only if its position is as high as that of all other sealed
// instances.
bool PrimaryChange::holdsItsLog(const std::string &instance, const InstanceStatus &status) const
{
    return !m_restarted.contains(instance)
        || std::all_of(m_sealed.begin(), m_sealed.end(),
                       [&](const auto &row) { return row.second.received <= status.received; });
}

// The number of sealed instances that count if the candidate is promoted, and certainly hold
// everything they ever acknowledged.
std::size_t PrimaryChange::countableSeals(const std::string &candidate) const
{
    return static_cast<std::size_t>(
        std::count_if(m_sealed.begin(), m_sealed.end(), [&](const auto &row) {
            return countsAsSealed(row.first, candidate) && holdsItsLog(row.first, row.second);
        }));
}

// The number of seals that would count if the old primary stepped down.
std::size_t PrimaryChange::sealsWithoutPrimary() const
{
    return static_cast<std::size_t>(
        std::count_if(m_sealed.begin(), m_sealed.end(), [&](const auto &row) {
            return (m_steppedDown || runsUntilPromoted(row.first))
                && holdsItsLog(row.first, row.second);
        }));
}

// Seals all registered instances. The old primary first has to step down, if it still answers. One
// that may receive in any case is only asked for its position.
void PrimaryChange::sealAroundFailedPrimary()
{
    const std::string term = std::to_string(m_sealTerm);
    const bool mayStepDown = oldPrimaryMayStepDown();
    for (const std::string &id : possibleLogHolders()) {
        const bool receives = id != m_oldPrimary && sealMayBeUndone(id);
        if ((m_sealed.contains(id) && !receives) || !isRegistered(id))
            continue;
        if (receives || (id == m_oldPrimary && !mayStepDown)) {
            m_output->sendCommand(id, {.kind = StatementKind::Status});
            continue;
        }
        const bool mayBePrimary
            = (id == m_oldPrimary && !m_steppedDown) || m_outdatedPrimaries.contains(id);
        if (!mayBePrimary)
            m_toResume.insert(id);
        m_output->sendCommand(
            id,
            {.kind = mayBePrimary ? StatementKind::StepDown : StatementKind::Pause,
             .argument = term});
    }
}

// Whether the old primary's service may end. One that leaves but serves has to go on until another
// instance can be promoted: it would have to be promoted again otherwise.
bool PrimaryChange::oldPrimaryMayStepDown() const
{
    const std::size_t seals = sealsWithoutPrimary();
    if (!m_oldPrimaryStepsDownLast || seals >= sealsNeeded())
        return true;
    // While it takes new work, its log soon goes beyond what the others hold.
    const std::optional<Millis> end = m_groupState.listed.endOf(m_oldPrimary);
    const bool takesWork = !end || m_now < *end;
    if (takesWork || !m_oldPrimaryEnd || seals + 1 < sealsNeeded())
        return false;
    return std::any_of(m_sealed.begin(), m_sealed.end(), [this](const auto &row) {
        return mayBeCandidate(row.first) && row.second.received.covers(*m_oldPrimaryEnd);
    });
}

// Seals all replicas but the candidate. With one synchronous replica, the primary then acknowledges
// only what the candidate has received.
void PrimaryChange::sealAroundLeavingPrimary(Millis now)
{
    chooseCandidate(now);
    if (m_candidate.empty()) {
        m_nextSendAt = now + ResendInterval;
        for (const std::string &id : possibleCandidates())
            m_output->sendCommand(id, {.kind = StatementKind::Status});
        return;
    }
    for (const auto &row : m_registered) {
        if (row.first == m_candidate || row.first == m_oldPrimary || m_sealed.contains(row.first)
            || sealMayBeUndone(row.first))
            continue;
        m_toResume.insert(row.first);
        m_output->sendCommand(
            row.first, {.kind = StatementKind::Pause, .argument = std::to_string(m_sealTerm)});
    }
    m_output->sendCommand(m_candidate, {.kind = StatementKind::Status});
}

// A leaving primary's candidate has not caught up, or not all other replicas could be sealed.
// Waiting longer would not help, and the primary has to be replaced before it stops.
void PrimaryChange::sealCandidateToo(Millis now)
{
    const std::string detail = sealingText();
    m_cause = PrimaryChangeCause::Unreachable;
    m_oldPrimaryStepsDownLast = true;
    m_candidate.clear();
    m_candidatePosition.reset();
    m_nextSendAt = now;
    enter(now, PrimaryChangeStage::Sealing, "the candidate as well: " + detail);
}

// The replicas of a leaving primary that may replace it.
std::vector<std::string> PrimaryChange::possibleCandidates() const
{
    std::vector<std::string> ids;
    for (const auto &row : m_registered) {
        if (row.first != m_oldPrimary && mayBeCandidate(row.first))
            ids.push_back(row.first);
    }
    return ids;
}

// Chooses the replica that has received the most, once all have answered or had time to.
void PrimaryChange::chooseCandidate(Millis now)
{
    if (!m_candidate.empty() && mayBeCandidate(m_candidate))
        return;
    m_candidate.clear();
    m_candidatePosition.reset();
    const std::vector<std::string> ids = possibleCandidates();
    const bool allAnswered = std::all_of(
        ids.begin(), ids.end(), [this](const auto &id) { return m_candidateStatus.contains(id); });
    if (!allAnswered && now - m_stageSince < CandidateQueryTime)
        return;
    // One that an earlier attempt left sealed does not receive. While a request to promote an
    // instance may be carried out, that one is preferred; then one that cannot be sealed.
    const auto rank = [this](const std::string &id) {
        const InstanceStatus &status = m_candidateStatus.at(id);
        return std::tuple(isOpenCandidate(id), sealMayBeUndone(id), status.pausedTerm == 0,
                          status.received);
    };
    for (const std::string &id : ids) {
        if (m_candidateStatus.contains(id) && (m_candidate.empty() || rank(id) > rank(m_candidate)))
            m_candidate = id;
    }
    if (!m_candidate.empty())
        m_candidatePosition = m_candidateStatus.at(m_candidate).received;
    m_sealed.erase(m_candidate);
}

// Whether the instance is registered and not leaving.
bool PrimaryChange::mayBeCandidate(const std::string &instance) const
{
    const auto found = m_registered.find(instance);
    return found != m_registered.end() && !found->second.leaving;
}

bool PrimaryChange::isRegistered(const std::string &instance) const
{
    return m_registered.contains(instance);
}

// Whether the sealed instance holds every commit that is acknowledged until its promotion. The old
// primary may have entries beyond its log that it never acknowledged.
bool PrimaryChange::holdsAllAcknowledged(const std::string &candidate) const
{
    const Position end = m_sealed.at(candidate).received;
    const auto covered = static_cast<std::size_t>(
        std::count_if(m_sealed.begin(), m_sealed.end(), [&](const auto &row) {
            return countsAsSealed(row.first, candidate) && !m_restarted.contains(row.first)
                && end.covers(row.second.received);
        }));
    return covered >= sealsNeeded();
}

// Whether the sealed instance's position is as high as that of all whose seals count.
bool PrimaryChange::coversCountedSeals(const std::string &candidate) const
{
    const Position end = m_sealed.at(candidate).received;
    return std::all_of(m_sealed.begin(), m_sealed.end(), [&](const auto &row) {
        return row.second.received <= end || !countsAsSealed(row.first, candidate);
    });
}

// Of the sealed instances that may be promoted, the one with the highest position: of those that
// stay, if one of them holds all acknowledged commits, or else of all. Empty if there is none.
std::string PrimaryChange::bestSealed() const
{
    std::string best;
    std::pair<bool, Position> bestRank;
    for (const auto &[id, status] : m_sealed) {
        const bool stays = mayBeCandidate(id) && holdsAllAcknowledged(id);
        const bool suffices = countableSeals(id) >= sealsNeeded();
        const std::pair rank(stays, status.received);
        if (!suffices || (!stays && !coversCountedSeals(id)) || (!best.empty() && rank <= bestRank))
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

// Whether the list of instances holds all that may receive from the old primary, but for those that
// register at this moment.
bool PrimaryChange::listIsRecent() const
{
    return m_groupState.listed.readAt >= m_leaseAt - MaxListAge;
}

// How far the attempt has come, for the log.
std::string PrimaryChange::sealingText() const
{
    std::string text = "candidate " + (m_candidate.empty() ? "none" : m_candidate);
    if (!listIsRecent())
        text += ", list read " + std::to_string((m_leaseAt - m_groupState.listed.readAt).count())
            + " ms before the lease";
    if (m_candidatePosition)
        text += " at " + positionText(*m_candidatePosition);
    for (const auto &[id, status] : m_sealed)
        text += (sealMayBeUndone(id) ? ", receiving " : ", sealed ") + id + " at "
            + positionText(status.received);
    return text;
}

// Whether the candidate holds everything that any sealed instance has received.
bool PrimaryChange::candidateHasCaughtUp() const
{
    if (!m_candidatePosition)
        return false;
    return std::all_of(m_sealed.begin(), m_sealed.end(), [this](const auto &row) {
        return m_candidatePosition->covers(row.second.received);
    });
}

// Whether the candidate holds all that the leaving primary has acknowledged, and will.
bool PrimaryChange::leavingPrimaryIsSealed() const
{
    const std::size_t others = m_registered.size() - (m_registered.contains(m_oldPrimary) ? 1 : 0)
        - (m_registered.contains(m_candidate) ? 1 : 0);
    const auto sealedOthers = static_cast<std::size_t>(
        std::count_if(m_sealed.begin(), m_sealed.end(), [this](const auto &row) {
            return row.first != m_oldPrimary && row.first != m_candidate
                && countsAsSealed(row.first, m_candidate);
        }));
    return !m_candidate.empty() && sealedOthers >= others && candidateHasCaughtUp();
}

// Chooses the candidate once enough instances are sealed; false before.
bool PrimaryChange::chooseSealedCandidate(Millis now)
{
    const std::string best = bestSealed();
    if (best.empty()) {
        m_sealedSince.reset();
        return false;
    }
    if (!m_sealedSince)
        m_sealedSince = now;
    m_candidate = best;
    const bool othersMayFollow
        = std::any_of(m_registered.begin(), m_registered.end(), [this](const auto &row) {
              return mayBeCandidate(row.first) && !m_sealed.contains(row.first);
          });
    return mayBeCandidate(m_candidate) || !othersMayFollow
        || now - *m_sealedSince >= StayingCandidateWait;
}

// Whether a request of an earlier holder may still be carried out that changes the primary.
bool PrimaryChange::earlierRequestIsOpen(Millis now) const
{
    return now < m_openUntil && !(m_options.fencedPromotions && isOpenCandidate(m_oldPrimary));
}

bool PrimaryChange::isOpenCandidate(const std::string &instance) const
{
    return !m_openCandidate.empty() && instance == m_openCandidate;
}

// Whether the open candidate, if it becomes primary before a later request puts an end to that,
// cannot acknowledge anything: all others are sealed. All are, if it is not known.
bool PrimaryChange::openCandidateIsHarmless() const
{
    const std::set<std::string> all = possibleLogHolders();
    return std::all_of(all.begin(), all.end(), [this](const std::string &id) {
        return isOpenCandidate(id) || (countsAsSealed(id, m_openCandidate) && !mayBeResumed(id));
    });
}

// If a request to promote another instance may still be carried out, makes that instance the
// candidate. False if it lacks commits or cannot be the candidate now.
bool PrimaryChange::preferOpenCandidate(Millis now)
{
    if (!earlierRequestIsOpen(now) || isOpenCandidate(m_candidate)
        || (m_options.fencedPromotions && openCandidateIsHarmless()))
        return true;
    const auto open = m_sealed.find(m_openCandidate);
    if (m_cause == PrimaryChangeCause::Leaving || open == m_sealed.end())
        return false;
    if (!holdsAllAcknowledged(m_openCandidate))
        return false;
    m_candidate = m_openCandidate;
    return true;
}

// Whether no host can take the old primary for the present one: it has stepped down, or hosts have
// stopped to trust it. One whose candidate still receives has to step down.
bool PrimaryChange::oldPrimaryIsHarmless(Millis now)
{
    const std::set<std::string> all = possibleLogHolders();
    const bool allSealed = std::all_of(all.begin(), all.end(), [this](const std::string &id) {
        return m_sealed.contains(id) && !mayBeResumed(id);
    });
    if (m_steppedDown || allSealed)
        return true;
    const bool hasReceiver = m_cause == PrimaryChangeCause::Leaving || mayBeResumed(m_candidate);
    if (!hasReceiver)
        return m_sealedSince && now > *m_sealedSince + ReadLeaseDuration;
    if (now >= m_nextStepDownAt) {
        m_nextStepDownAt = now + ResendInterval;
        m_output->sendCommand(
            m_oldPrimary,
            {.kind = StatementKind::StepDown, .argument = std::to_string(m_sealTerm)});
    }
    return false;
}

} // namespace cicadagap
