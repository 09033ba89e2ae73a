// The part of PrimaryChange that lets sealed instances receive again, and has the lease's row name
// them before.
#include "session/primarychange.h"

#include <algorithm>
#include <iterator>

namespace cicadagap {

namespace {

// After the acting time of the lease, for commands that let instances receive again. Together with
// the time for which they wait for a connection, and for which a broken link may hold them up, it
// has to end about when the lease does.
constexpr Millis ResumeMargin(500);

} // namespace

// No resume was sent under the present lease yet, and its row names none.
void PrimaryChange::forgetSentResumes()
{
    m_mayResume = false;
    m_sentResumes.clear();
    m_recordedResumes.clear();
    m_recordingResumes = false;
    m_nextResumeRecordAt = m_now;
}

void PrimaryChange::onResumesRecorded(const std::set<std::string> &instances,
                                      std::uint64_t fencingToken, bool recorded)
{
    if (fencingToken != m_fencingToken)
        return;
    m_recordingResumes = false;
    if (!recorded)
        return;
    m_recordedResumes = instances;
    m_nextResumeAt = m_now;
}

// No promotion request of this host stands against it any more that the sealed instances receive.
void PrimaryChange::allowResuming(Millis now)
{
    m_mayResume = true;
    m_releaseAt = now;
    recordResumes(now);
    resumeSealed(now);
}

// Lets the sealed instances receive again, once the lease's row names them, and as long as this
// host holds the lease: the next holder may have sealed them itself. Those that have not said that
// they are paused are asked first, so that an instance that cannot be reached gets no resume.
// Repeated until all have answered.
void PrimaryChange::resumeSealed(Millis now)
{
    if (now > m_actUntil + ResumeMargin)
        return;
    for (const std::string &id : m_toResume) {
        if (!isRegistered(id) || (m_paused.contains(id) && !m_recordedResumes.contains(id)))
            continue;
        m_nextResumeAt = now + ResendInterval;
        if (!m_paused.contains(id)) {
            m_output->sendCommand(id, {.kind = StatementKind::Status});
            continue;
        }
        m_sentResumes.insert(id);
        m_output->sendCommand(id, {.kind = StatementKind::Resume});
    }
}

// Between two attempts, an instance that is not paused does not have to be told to receive. Under a
// lease for a stalled primary, each one that is paused has to be, whichever host paused it.
void PrimaryChange::noteWhetherPaused(const std::string &instance, StatementKind command,
                                      const InstanceStatus &status)
{
    const bool resumed = command == StatementKind::Resume;
    if (!resumed && status.pausedTerm > 0) {
        if (m_paused.insert(instance).second)
            m_nextResumeAt = m_now;
        if (m_cause == PrimaryChangeCause::Stalled && m_now < m_actUntil)
            m_toResume.insert(instance);
        return;
    }
    // The answer to an older status query may arrive after that to the pause.
    const bool neverPaused
        = m_stage == PrimaryChangeStage::Idle && m_mayResume && !m_paused.contains(instance);
    if (resumed || neverPaused)
        noteReceives(instance);
}

void PrimaryChange::noteReceives(const std::string &instance)
{
    m_toResume.erase(instance);
    m_paused.erase(instance);
}

// The paused instances that may get a resume under this lease.
std::set<std::string> PrimaryChange::instancesToResume() const
{
    std::set<std::string> ids;
    const bool resumes = m_stage == PrimaryChangeStage::Idle && m_mayResume;
    if (resumes || m_stage == PrimaryChangeStage::Confirming)
        std::set_intersection(m_toResume.begin(), m_toResume.end(), m_paused.begin(),
                              m_paused.end(), std::inserter(ids, ids.end()));
    if (m_stage == PrimaryChangeStage::Confirming)
        ids.erase(m_candidate);
    return ids;
}

// Has the lease's row name the instances that may get a resume under this lease, and those that got
// one and have not answered. Instances are taken out of it once no other one has to get one.
void PrimaryChange::recordResumes(Millis now)
{
    const std::set<std::string> toResume = instancesToResume();
    std::set<std::string> ids = toResume;
    std::set_intersection(m_sentResumes.begin(), m_sentResumes.end(),
                          m_groupState.unansweredResumes.begin(),
                          m_groupState.unansweredResumes.end(), std::inserter(ids, ids.end()));
    const bool complete
        = std::includes(m_recordedResumes.begin(), m_recordedResumes.end(), ids.begin(), ids.end());
    const bool mayWait = complete && (ids == m_recordedResumes || !toResume.empty());
    if (mayWait || m_recordingResumes || now < m_nextResumeRecordAt
        || now > m_actUntil + ResumeMargin)
        return;
    m_nextResumeRecordAt = now + ResendInterval;
    m_recordingResumes = true;
    // Until the store has answered, the row may name the old ones or the new ones.
    std::erase_if(m_recordedResumes, [&ids](const std::string &id) { return !ids.contains(id); });
    m_output->recordResumes(m_group, ids, m_fencingToken);
}

// Between two attempts. If the lease has ended, and nothing is wrong with the primary, acquires it
// again for the instances that are still sealed.
void PrimaryChange::resumeLeftSealed(Millis now, PrimaryChangeCause cause)
{
    std::erase_if(m_toResume, [this](const std::string &id) { return !isRegistered(id); });
    if (m_toResume.empty())
        return;
    if (m_mayResume && now <= m_actUntil + ResumeMargin) {
        if (now >= m_nextResumeAt)
            resumeSealed(now);
        return;
    }
    if (cause == PrimaryChangeCause::None && !m_groupState.primary.empty() && now >= m_releaseAt
        && now >= m_retryAt)
        start(now, PrimaryChangeCause::LeftSealed);
}

// The lease was acquired for the instances that are still sealed.
void PrimaryChange::onLeaseForLeftSealed(Millis now)
{
    m_retryAt = now + RetryAfter;
    if (now < m_openUntil && !isOpenCandidate(m_groupState.primary)) {
        enter(now, PrimaryChangeStage::Idle,
              "the promotion of " + (m_openCandidate.empty() ? "some instance" : m_openCandidate)
                  + " may still be carried out");
        m_releaseAt = m_openUntil;
        return;
    }
    enter(now, PrimaryChangeStage::Idle, std::to_string(m_toResume.size()) + " may receive again");
    m_openPromotions = 0;
    allowResuming(now);
}

} // namespace cicadagap
