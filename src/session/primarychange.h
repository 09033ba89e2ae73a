// Replaces the primary of a group whose instances replicate semi-synchronously: the primary
// acknowledges a commit once `syncReplicas` replicas have received it.
//
// One host at a time changes the primary: the one that holds the group's promotion lease, a right
// that ends by itself and comes with a fencing token. A fencing token is a number that grows with
// each lease; the platform refuses promotion requests with a lower one than it has seen. The host
// proceeds in three steps:
//
// 1. Make sure that an instance holds, and will hold, all that is acknowledged until its promotion.
//    There are two ways:
//
//    Handover, if the old primary answers (it leaves). It steps down first. From then on it
//    acknowledges nothing, and its log ends with or after the last commit that it acknowledged: an
//    instance that covers this end may be promoted, whichever instances received. Before that, a
//    replica has to follow closely, and the platform has to answer a promotion request for the old
//    primary itself (the fence). That changes nothing, but shows that the platform answers, and
//    raises the fencing token, so that no earlier request can be carried out any more. The old
//    primary steps down under the next lease, once the fence cannot take effect any more: it would
//    be promoted again. There is no fence if the old primary would end before. If no replica covers
//    the end, the old primary is promoted again on purpose.
//
//    Seals, if the old primary does not answer. A sealed instance has adopted a higher term and
//    accepts nothing more from a primary of a lower one; replicas are sealed by the Pause command.
//    All instances but `syncReplicas` are sealed; the one with the highest position holds every
//    acknowledged commit and becomes the candidate. This relies on the list of instances, which has
//    to be about as new as the lease: one that registered since an older list is not sealed, and
//    lets the old primary go on acknowledging. If the old primary does answer meanwhile, and steps
//    down, the candidate has to cover its end too, unless the list is evidence of all receivers.
//    Other hosts, which may still reach it, are asked to tell it to step down: it could go on
//    acknowledging with the help of an instance that starts before the promotion takes effect.
// 2. Request the promotion of the candidate from the platform, under the fencing token. The
//    candidate is recorded in the lease's row before.
// 3. Wait until the new primary is seen as primary, then let the sealed instances receive again.
//
// An attempt that ends without an answer to its promotion request leaves the instances sealed. Its
// host lets them receive once the promotion is seen to have worked, or cannot be carried out any
// more. For that it needs the lease again, since others may have sealed them meanwhile. A primary
// that stalls because of them has other hosts seek the lease too; the holder of one for a stalled
// primary lets its replicas receive, whichever host sealed them.
//
// While a request of an earlier holder may be carried out, the lease's row names its candidate, and
// a holder chooses no other one unless all others are sealed: what the late primary acknowledged
// until the next promotion would be lost. A fencing token that is not used yet does not prevent
// that.
//
// A command without an answer may be carried out late, and a resume undoes whatever pause is in
// effect by then. So a holder names in the lease's row which instances it may let receive again,
// before it does so, and takes out those at which every resume was answered. The seal of an
// instance that an earlier holder named counts only if no primary is left that it could receive
// from, or if it is itself the candidate: it is asked for its position, and receives until the
// promotion.
//
// On a platform that checks no fencing token, a replaced primary goes on serving reads until it
// hears of its successor, and a promotion request without an answer may be carried out after newer
// ones. There, three more rules hold:
//
// - The old primary steps down before the request, or the request waits until no host trusts the
//   old primary any more (see session/readlease.h).
// - While a request for a candidate may still be carried out, no host requests the promotion of
//   another instance.
// - A primary that stalls is replaced. Promoting it again would not stop earlier requests.
//
// model/promotion.pml, model/unfenced.pml and model/primaryread.pml check these rules.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "session/promotionlease.h"
#include "session/registry.h"
#include "session/statement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

// Why the primary has to be replaced.
enum class PrimaryChangeCause {
    None,
    Unreachable, // It is silent or refuses connections, or no primary is known.
    Leaving,     // It is about to stop, or is no longer registered, but still answers.
    Stalled,     // It is primary but acknowledges no write: its replicas do not receive.
    LeftSealed,  // It is not replaced. Instances that an earlier attempt sealed have to receive.
};

inline constexpr NameTable<PrimaryChangeCause, 5> PrimaryChangeCauseNames{{{
    {PrimaryChangeCause::None, "none"},
    {PrimaryChangeCause::Unreachable, "unreachable"},
    {PrimaryChangeCause::Leaving, "leaving"},
    {PrimaryChangeCause::Stalled, "stalled"},
    {PrimaryChangeCause::LeftSealed, "left-sealed"},
}}};

// The steps of an attempt to change the primary.
enum class PrimaryChangeStage {
    Idle,
    AcquiringLease, // The promotion lease was requested; no answer yet.
    CatchingUp,     // The old primary serves on until a replica follows it closely.
    Fencing,        // The old primary's own promotion was requested; no answer yet.
    SteppingDown,   // The old primary is told to step down, and replicas have to cover its end.
    Sealing,        // Commands go to the instances until enough are sealed.
    RequestingPromotion, // The request was sent to the platform; no answer yet.
    Confirming,          // The platform accepted; the candidate is not seen as primary yet.
};

inline constexpr NameTable<PrimaryChangeStage, 8> PrimaryChangeStageNames{{{
    {PrimaryChangeStage::Idle, "idle"},
    {PrimaryChangeStage::AcquiringLease, "claiming"},
    {PrimaryChangeStage::CatchingUp, "catching-up"},
    {PrimaryChangeStage::Fencing, "fencing"},
    {PrimaryChangeStage::SteppingDown, "stepping-down"},
    {PrimaryChangeStage::Sealing, "sealing"},
    {PrimaryChangeStage::RequestingPromotion, "ordering"},
    {PrimaryChangeStage::Confirming, "confirming"},
}}};

// What the host knows about a group.
struct GroupState
{
    ListedInstances listed;
    std::string primary;    // The last known one, which may not be registered any more.
    std::uint64_t term = 0; // In which it was primary.
    int syncReplicas = 1;
    // Instances at which a resume of this process may still be carried out: it was not answered.
    std::set<std::string> unansweredResumes;
};

// The platform's answer to a promotion request.
enum class PromotionResult {
    Accepted,
    Fenced,     // Another host has used a higher fencing token.
    NotRunning, // The instance cannot be promoted.
    Unknown,    // No answer; the promotion may still be carried out later.
    NotDone,    // Refused without effect; the request may be sent again.
};

inline constexpr NameTable<PromotionResult, 5> PromotionResultNames{{{
    {PromotionResult::Accepted, "accepted"},
    {PromotionResult::Fenced, "fenced"},
    {PromotionResult::NotRunning, "not-running"},
    {PromotionResult::Unknown, "unknown"},
    {PromotionResult::NotDone, "not-done"},
}}};

// Carries out the actions of a PrimaryChange.
class PrimaryChangeOutput
{
public:
    PrimaryChangeOutput() = default;
    PrimaryChangeOutput(const PrimaryChangeOutput &) = delete;
    PrimaryChangeOutput &operator=(const PrimaryChangeOutput &) = delete;
    virtual ~PrimaryChangeOutput() = default;

    // Tries to acquire the group's promotion lease; answered by onLeaseResult(). Once it is held,
    // the list of instances is read again.
    virtual void acquireLease(const std::string &group) = 0;
    // Sends a command (Pause, Resume, StepDown) or a status query to an instance; answered by
    // onStatus(). The answer may never come.
    virtual void sendCommand(const std::string &instance, const Statement &statement) = 0;
    // Asks other hosts that may reach the instance to pass a command on to it. Returns how many
    // were asked. Each answer comes by onStatus() or, if the host could not, by onRelayFailed().
    virtual int relayCommand(const std::string &instance, const Statement &statement) = 0;
    // Requests the promotion from the platform; answered by onPromotion().
    virtual void promote(const std::string &group, const std::string &instance,
                         std::uint64_t fencingToken)
        = 0;
    // Records the candidate in the row of the lease before its promotion is requested, or, if it is
    // empty, that no promotion request may be carried out any more; answered by
    // onCandidateRecorded().
    virtual void recordCandidate(const std::string &group, const std::string &candidate,
                                 std::uint64_t fencingToken)
        = 0;
    // Records the instances that may receive again in the row of the lease, in place of those that
    // were recorded before under the fencing token; answered by onResumesRecorded().
    virtual void recordResumes(const std::string &group, const std::set<std::string> &instances,
                               std::uint64_t fencingToken)
        = 0;
    // Reports a change of stage, for the log.
    virtual void stageChanged(const std::string &group, PrimaryChangeStage stage,
                              PrimaryChangeCause cause, const std::string &detail)
        = 0;
};

// Changes the primary of one group, as seen from one host. Each host runs one for each group; the
// promotion lease decides which of them acts.
//
// A deterministic state machine: performs no I/O and reads no clock; actions go to a
// PrimaryChangeOutput, which must outlive it. Not thread-safe.
class PrimaryChange
{
public:
    struct Options
    {
        // The platform refuses a promotion with a lower fencing token than it has seen, whenever
        // it is carried out, and the old primary stops serving when another one is promoted.
        bool fencedPromotions = true;
    };

    PrimaryChange(std::string group, PrimaryChangeOutput *output)
        : PrimaryChange(std::move(group), output, Options{})
    {
    }
    PrimaryChange(std::string group, PrimaryChangeOutput *output, Options options);

    // `cause` is why this host would replace the primary now; None if it would not.
    void onTick(Millis now, PrimaryChangeCause cause, const GroupState &state);
    void onLeaseResult(Millis now, const LeaseResult &result);
    // An instance answered a command or a status query with its status.
    void onStatus(Millis now, const std::string &instance, StatementKind command,
                  const InstanceStatus &status);
    // A host that was asked could not pass a command on; see relayCommand().
    void onRelayFailed(Millis now);
    // The instance closed a connection or refused one. It may have restarted, which unseals it.
    void onConnectionLost(Millis now, const std::string &instance);
    // The instance acknowledged, as primary, a commit that was sent to it at `sentAt`.
    void onCommitAcknowledged(const std::string &instance, Millis sentAt);
    // The instance's log ended at `end` when it answered a request that was sent at `sentAt`.
    void onPosition(const std::string &instance, Millis sentAt, Position end);
    void onPromotion(Millis now, PromotionResult result);
    // The answer to recordCandidate(); `recorded` is false if the row may lack the candidate.
    void onCandidateRecorded(Millis now, const std::string &candidate, bool recorded);
    // The answer to recordResumes(); `recorded` is false if the row may not name the instances.
    void onResumesRecorded(const std::set<std::string> &instances, std::uint64_t fencingToken,
                           bool recorded);
    // An instance proved that it is primary of `term`.
    void onPrimary(Millis now, const std::string &instance, std::uint64_t term);

    PrimaryChangeStage stage() const { return m_stage; }
    // The instance that is to become primary; empty before it is chosen.
    const std::string &candidate() const { return m_candidate; }

private:
    // Between repeated commands to an instance that does not answer.
    static constexpr Millis ResendInterval = Millis(300);
    // Before the next attempt, after one that failed.
    static constexpr Millis RetryAfter = Millis(600);

    // Between two requests to other hosts to pass a command on, and how long the promotion waits
    // for their answers.
    static constexpr Millis RelayInterval = Millis(1000);
    static constexpr Millis RelayWait = Millis(150);
    // That a promotion takes at the most, from its request on.
    static constexpr Millis PromotionTime = Millis(2000);

    void enter(Millis now, PrimaryChangeStage stage, const std::string &detail);
    void start(Millis now, PrimaryChangeCause cause);
    void abandon(Millis now, const std::string &reason);
    void takeLease(const LeaseResult &result);
    void trackRegistrations(Millis now, const std::vector<RegisteredInstance> &instances);
    void forgetEnded(Millis before);
    std::set<std::string> possibleReceivers() const;
    std::set<std::string> possibleLogHolders() const;
    std::size_t sealsNeeded() const;
    bool mayBeResumed(const std::string &instance) const;
    bool sealMayBeUndone(const std::string &instance) const;
    void forgetUndoneSeals(Millis now);
    void forgetUncertainSeals();
    bool runsUntilPromoted(const std::string &instance) const;
    bool countsAsSealed(const std::string &instance, const std::string &candidate) const;
    std::size_t countableSeals(const std::string &candidate) const;
    bool holdsItsLog(const std::string &instance, const InstanceStatus &status) const;
    void beginHandover(Millis now);
    void tickHandover(Millis now, PrimaryChangeCause cause);
    void queryFollowers(Millis now);
    void query(const std::vector<std::string> &instances);
    void onHandoverStatus(Millis now, const std::string &instance, StatementKind command,
                          const InstanceStatus &status);
    std::string bestReplicaAt(Position end) const;
    bool someReplicaIsPaused() const;
    void fenceIfReplicaFollows(Millis now);
    bool needsFence(Millis now) const;
    bool fenceHolds() const;
    void sendFence(Millis now);
    void onFenceAnswer(Millis now, PromotionResult result);
    void stepDown(Millis now);
    void sendStepDown(Millis now);
    void continueHandover(Millis now);
    void promoteIfCovered(Millis now);
    std::string handoverText() const;
    void sealUnderSafeToken(Millis now);
    void sealInstead(Millis now, const std::string &reason);
    void sendSeals(Millis now);
    Statement termCommand(StatementKind kind) const;
    void sealAroundFailedPrimary();
    void stepDownThroughOthers(Millis now);
    bool mayStillStepDown(Millis now) const;
    void retryAfterPromotionRequest(Millis now, const std::string &reason);
    bool ensureStalledRecorded(Millis now);
    void promoteStalledAgain(Millis now);
    void onFenced(Millis now, const std::string &detail);
    std::vector<std::string> replicas() const;
    std::vector<std::string> possibleCandidates() const;
    bool listIsRecent() const;
    std::string sealingText() const;
    std::string bestSealed() const;
    bool holdsAllAcknowledged(const std::string &candidate) const;
    bool coversCountedSeals(const std::string &candidate) const;
    void noteSteppedDown(Millis now);
    bool listIsEvidence() const;
    bool oldPrimaryMayReturn() const;
    bool coversOldPrimary(const std::string &candidate) const;
    bool mayBeCandidate(const std::string &instance) const;
    void requestPromotionIfSealed(Millis now);
    bool forgetSeal(const std::string &instance);
    bool chooseSealedCandidate(Millis now);
    bool earlierRequestIsOpen(Millis now) const;
    bool isOpenCandidate(const std::string &instance) const;
    bool openCandidateIsHarmless() const;
    bool preferOpenCandidate(Millis now);
    bool oldPrimaryIsHarmless(Millis now) const;
    bool ensureRecorded(Millis now, const std::string &candidate);
    void forgetCandidate();
    void sendPromotionRequest(Millis now);
    void allowResuming(Millis now);
    void resumeSealed(Millis now);
    void forgetSentResumes();
    void noteWhetherPaused(const std::string &instance, StatementKind command,
                           const InstanceStatus &status);
    void noteReceives(const std::string &instance);
    std::set<std::string> instancesToResume() const;
    void recordResumes(Millis now);
    void resumeLeftSealed(Millis now, PrimaryChangeCause cause);
    void onLeaseForLeftSealed(Millis now);
    bool isRegistered(const std::string &instance) const;

    std::string m_group;
    PrimaryChangeOutput *m_output;
    Options m_options;
    GroupState m_groupState;
    std::map<std::string, RegisteredInstance> m_registered;
    // Instances that are no longer registered although they did not announce that they leave, and
    // since when.
    std::map<std::string, Millis> m_missing;
    // Instances that left and have ended, and when that was seen. Each may have been the only one
    // to receive what the primary acknowledged, until another replica is known to hold it.
    std::map<std::string, Millis> m_ended;
    // Where the primary's log ended after the last of them had; a replica that covers it holds all
    // that they held.
    struct PrimarySample
    {
        Millis sentAt;
        Position end;
    };
    std::optional<PrimarySample> m_primarySample;
    std::optional<Millis> m_listIsEvidenceFrom; // See listIsEvidence().
    // Instances that restarted lately and may have lost their log, and when that was seen.
    std::map<std::string, Millis> m_restarted;
    PrimaryChangeStage m_stage = PrimaryChangeStage::Idle;
    PrimaryChangeCause m_cause = PrimaryChangeCause::None;
    std::uint64_t m_fencingToken = 0;
    Millis m_actUntil;
    Millis m_leaseAt; // When the lease was known to be held.
    Millis m_now;     // Of the event that is being handled.
    Millis m_stageSince;
    Millis m_retryAt;
    Millis m_nextSendAt;
    std::uint64_t m_sealTerm = 0; // The term that commands tell instances to adopt.
    std::map<std::string, InstanceStatus> m_sealed;
    std::set<std::string> m_toResume; // May be paused, and have to receive again at the end.
    bool m_mayResume = false;         // As far as this host's own promotion requests are concerned.
    Millis m_nextResumeAt;
    std::set<std::string> m_paused;              // They said so when they were asked last.
    std::map<std::string, Millis> m_openResumes; // See LeaseResult.
    std::set<std::string> m_sentResumes;         // The instances that got one under this lease.
    std::set<std::string> m_recordedResumes;     // That the lease's row certainly names.
    bool m_recordingResumes = false;             // The store has not answered yet.
    Millis m_nextResumeRecordAt;
    Millis m_releaseAt; // Before that, no lease is sought for the sealed instances alone.
    std::string m_candidate;
    // The last fence that the platform accepted; see above.
    struct Fence
    {
        std::string primary;
        std::uint64_t fencingToken = 0;
        Millis settledAt; // It cannot take effect any more.
    };
    std::optional<Fence> m_fence;
    // What the replicas answered in the present round of queries of a handover.
    std::map<std::string, InstanceStatus> m_followers;
    std::optional<Position> m_followerTarget; // The old primary's end before that round.
    // Where the old primary's log ends: as it said last or, once it has stepped down, for good.
    std::optional<Position> m_oldPrimaryEnd;
    std::uint64_t m_oldPrimaryTerm = 0; // In which it said that it is primary.
    Millis m_stepDownAt;                // When it answered that it has stepped down, in a handover.
    std::string m_oldPrimary;
    std::string m_leaseSoughtFor;   // The primary when the lease was requested.
    bool m_replacesStalled = false; // The old primary stalled.
    int m_relays = 0;               // Hosts that were asked and have not answered.
    Millis m_relaysSentAt;          // When they were asked.
    // Since when the old primary, whose id it was, is known to have stepped down.
    std::optional<std::pair<std::string, Millis>> m_downSince;
    bool m_steppedDown = false;          // The old primary became a replica in this attempt.
    int m_openPromotions = 0;            // Promotion requests that may still be carried out.
    std::optional<Millis> m_sealedSince; // Since when enough instances are sealed.
    std::string m_openCandidate;         // See LeaseResult.
    Millis m_openUntil;
    int m_unansweredPromotions = 0;   // Requests of this attempt without an answer.
    std::string m_recordedCandidate;  // What the lease's row holds, as far as this host wrote it.
    std::string m_recordingCandidate; // What it was asked to hold last.
    Millis m_nextRecordAt;
    // The following are used only without fenced promotions.
    std::uint64_t m_newestTerm = 0; // The highest one that an instance reported.
    // Instances that were primary of an earlier term and go on leading; they have to step down.
    std::set<std::string> m_outdatedPrimaries;
};

} // namespace cicadagap
