// The part of PrimaryChange that seals instances around a primary that does not answer, chooses the
// candidate, and decides when its promotion may be requested.
#include "session/primarychange.h"

#include "session/readlease.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// From sufficient seals until an instance that leaves is promoted, if no other one holds
// everything.
constexpr Millis StayingCandidateWait(500);
// From the step-down of the old primary, for an instance without an entry to register.
constexpr Millis RegistrationWait(3000);
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

// The instances that may receive from a primary.
std::set<std::string> PrimaryChange::possibleReceivers() const
{
    std::set<std::string> ids;
    for (const auto &row : m_registered)
        ids.insert(row.first);
    for (const auto &row : m_missing)
        ids.insert(row.first);
    return ids;
}

// The instances whose logs may hold acknowledged commits. Those that have ended do not matter once
// the old primary has stepped down: the candidate covers its end.
std::set<std::string> PrimaryChange::possibleLogHolders() const
{
    std::set<std::string> ids = possibleReceivers();
    if (!m_steppedDown) {
        for (const auto &row : m_ended)
            ids.insert(row.first);
    }
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

// A Pause or StepDown under the term of this attempt.
Statement PrimaryChange::termCommand(StatementKind kind) const
{
    return {.kind = kind, .argument = std::to_string(m_sealTerm)};
}

// Seals all registered instances. The old primary first has to step down, if it still answers. One
// that may receive in any case is only asked for its position.
void PrimaryChange::sealAroundFailedPrimary()
{
    stepDownThroughOthers(m_now);
    for (const std::string &id : possibleReceivers()) {
        const bool receives = id != m_oldPrimary && sealMayBeUndone(id);
        if ((m_sealed.contains(id) && !receives) || !isRegistered(id))
            continue;
        if (receives) {
            m_output->sendCommand(id, {.kind = StatementKind::Status});
            continue;
        }
        const bool mayBePrimary
            = (id == m_oldPrimary && !m_steppedDown) || m_outdatedPrimaries.contains(id);
        if (!mayBePrimary)
            m_toResume.insert(id);
        m_output->sendCommand(
            id, termCommand(mayBePrimary ? StatementKind::StepDown : StatementKind::Pause));
    }
}

// The registered instances but the old primary.
std::vector<std::string> PrimaryChange::replicas() const
{
    std::vector<std::string> ids;
    for (const auto &row : m_registered) {
        if (row.first != m_oldPrimary)
            ids.push_back(row.first);
    }
    return ids;
}

// The replicas that may replace the old primary.
std::vector<std::string> PrimaryChange::possibleCandidates() const
{
    std::vector<std::string> ids = replicas();
    std::erase_if(ids, [this](const std::string &id) { return !mayBeCandidate(id); });
    return ids;
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

void PrimaryChange::noteSteppedDown(Millis now)
{
    if (!m_downSince || m_downSince->first != m_oldPrimary)
        m_downSince = {m_oldPrimary, now};
}

// Whether the list shows all that may have received from the old primary: this process has seen it
// for a while, it was not out of reach lately, and no instance is missing from it or has ended. An
// instance that has not registered for some time after the old primary stepped down is taken to be
// gone.
bool PrimaryChange::listIsEvidence() const
{
    if (!m_ended.empty())
        return false;
    if (m_downSince && m_downSince->first == m_oldPrimary
        && m_now >= m_downSince->second + RegistrationWait)
        return true;
    return m_listIsEvidenceFrom && m_now >= *m_listIsEvidenceFrom && m_missing.empty();
}

// Whether the sealed instance's log reaches the end of that of an old primary that has stepped
// down. What that one acknowledged is before its end, whichever instances received it. Entries at
// its end may never have been acknowledged, so that the seals suffice if the list is evidence.
bool PrimaryChange::coversOldPrimary(const std::string &candidate) const
{
    return !m_steppedDown || !m_oldPrimaryEnd || listIsEvidence()
        || m_sealed.at(candidate).received.covers(*m_oldPrimaryEnd);
}

// Whether it makes sense to promote the old primary again, once it has stepped down. If it ends
// before, its successor has its log; if it stalled, its replicas would not follow it again either.
bool PrimaryChange::oldPrimaryMayReturn() const
{
    return runsUntilPromoted(m_oldPrimary) && !m_replacesStalled;
}

// Of the sealed instances that may be promoted, the one with the highest position: of those that
// stay, if one of them holds all acknowledged commits, or else of all. Empty if there is none.
std::string PrimaryChange::bestSealed() const
{
    std::string best;
    std::pair<bool, Position> bestRank;
    for (const auto &[id, status] : m_sealed) {
        const bool stays = mayBeCandidate(id) && holdsAllAcknowledged(id);
        const bool returns = id == m_oldPrimary;
        const bool suffices = countableSeals(id) >= sealsNeeded() && coversOldPrimary(id)
            && (!returns || oldPrimaryMayReturn());
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

// Another host may reach the old primary.
void PrimaryChange::stepDownThroughOthers(Millis now)
{
    if (m_steppedDown || now < m_relaysSentAt + RelayInterval)
        return;
    m_relaysSentAt = now;
    m_relays = m_output->relayCommand(m_oldPrimary, termCommand(StatementKind::StepDown));
}

// Whether the end of the old primary may become known soon, and is needed: if the list is evidence,
// the step-down matters only for what registers later.
bool PrimaryChange::mayStillStepDown(Millis now) const
{
    return !m_steppedDown && !listIsEvidence() && m_relays > 0 && now < m_relaysSentAt + RelayWait;
}

// How far the attempt has come, for the log.
std::string PrimaryChange::sealingText() const
{
    std::string text = "candidate " + (m_candidate.empty() ? "none" : m_candidate);
    if (!listIsRecent())
        text += ", list read " + std::to_string((m_leaseAt - m_groupState.listed.readAt).count())
            + " ms before the lease";
    if (m_steppedDown && m_oldPrimaryEnd)
        text += ", " + m_oldPrimary + " stepped down at " + positionText(*m_oldPrimaryEnd)
            + (listIsEvidence() ? "" : ", the list may lack receivers");
    for (const auto &[id, status] : m_sealed)
        text += (sealMayBeUndone(id) ? ", receiving " : ", sealed ") + id + " at "
            + positionText(status.received);
    return text;
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

// Whether a request of an earlier holder may still be carried out that changes the primary. One for
// the old primary itself does so only if that has stepped down, or on a platform on which it may
// come after newer ones.
bool PrimaryChange::earlierRequestIsOpen(Millis now) const
{
    const bool changesNothing
        = m_options.fencedPromotions && !m_steppedDown && isOpenCandidate(m_oldPrimary);
    return now < m_openUntil && !changesNothing;
}

bool PrimaryChange::isOpenCandidate(const std::string &instance) const
{
    return !m_openCandidate.empty() && instance == m_openCandidate;
}

// Whether the open candidate, if it becomes primary before a later request puts an end to that,
// cannot acknowledge anything: all others are sealed. All are, if it is not known.
bool PrimaryChange::openCandidateIsHarmless() const
{
    const std::set<std::string> all = possibleReceivers();
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
    if (!m_sealed.contains(m_openCandidate) || !holdsAllAcknowledged(m_openCandidate))
        return false;
    // Without fenced promotions nothing can prevent the late one.
    if (m_options.fencedPromotions && !coversOldPrimary(m_openCandidate))
        return false;
    m_candidate = m_openCandidate;
    return true;
}

// Whether no host can take the old primary for the present one: it has stepped down, or hosts have
// stopped to trust it. One whose candidate still receives has to step down.
bool PrimaryChange::oldPrimaryIsHarmless(Millis now) const
{
    const std::set<std::string> all = possibleReceivers();
    const bool allSealed = std::all_of(all.begin(), all.end(), [this](const std::string &id) {
        return m_sealed.contains(id) && !mayBeResumed(id);
    });
    if (m_steppedDown || allSealed)
        return true;
    return !mayBeResumed(m_candidate) && m_sealedSince && now > *m_sealedSince + ReadLeaseDuration;
}

} // namespace cicadagap
