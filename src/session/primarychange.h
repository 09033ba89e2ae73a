// Replaces the primary of a group whose instances replicate semi-synchronously: the primary
// acknowledges a commit once `syncReplicas` replicas have received it.
//
// One host at a time holds the group's duty (see dutylease.h). Its promoter
//   1. seals: tells replicas to stop receiving, so that the old primary can acknowledge nothing
//   that
//      the new one lacks. A primary that fails is replaced after all instances but `syncReplicas`
//      are sealed; the one with the highest position holds every acknowledged commit. A primary
//      that leaves goes on serving with the heir as its only receiver, until the heir has caught
//      up.
//   2. orders the promotion under its fencing token;
//   3. waits until the new primary leads, then lets the sealed instances receive again.
// model/promotion.pml checks the rules.
//
// Pure and not thread-safe: events and time go in, actions go to a PrimaryChangeOutput.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "session/registry.h"
#include "session/statement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// Why the primary has to be replaced.
enum class PrimaryChangeCause {
    None,
    Unreachable, // Silent or refused, or no instance leads.
    Leaving,     // It is about to stop, or is no longer registered, but answers.
    Stalled,     // It leads, but acknowledges nothing: its replicas do not receive.
};

inline constexpr NameTable<PrimaryChangeCause, 4> PrimaryChangeCauseNames{{{
    {PrimaryChangeCause::None, "none"},
    {PrimaryChangeCause::Unreachable, "unreachable"},
    {PrimaryChangeCause::Leaving, "leaving"},
    {PrimaryChangeCause::Stalled, "stalled"},
}}};

enum class PrimaryChangeStage {
    Idle,
    AcquiringLease, // Asked for the duty.
    Sealing,
    RequestingPromotion, // The platform has been told; no answer yet.
    Confirming,          // The order was accepted; the new primary does not lead yet.
};

inline constexpr NameTable<PrimaryChangeStage, 5> PrimaryChangeStageNames{{{
    {PrimaryChangeStage::Idle, "idle"},
    {PrimaryChangeStage::AcquiringLease, "claiming"},
    {PrimaryChangeStage::Sealing, "sealing"},
    {PrimaryChangeStage::RequestingPromotion, "ordering"},
    {PrimaryChangeStage::Confirming, "confirming"},
}}};

// What a host knows of a group.
struct GroupState
{
    std::vector<RegisteredInstance> instances;
    std::string primary;    // The last one known to lead; it need not be registered any more.
    std::uint64_t term = 0; // In which it led.
    int syncReplicas = 1;
};

// The platform's answer to the order to promote.
enum class PromotionResult {
    Accepted,
    Fenced,     // Another host has used a higher token.
    NotRunning, // The instance cannot be promoted.
    Unknown,    // No answer; the order may be carried out later.
    NotDone,    // Refused without effect; try again.
};

inline constexpr NameTable<PromotionResult, 5> PromotionResultNames{{{
    {PromotionResult::Accepted, "accepted"},
    {PromotionResult::Fenced, "fenced"},
    {PromotionResult::NotRunning, "not-running"},
    {PromotionResult::Unknown, "unknown"},
    {PromotionResult::NotDone, "not-done"},
}}};

// The result of a claim: a token that is good for acting until `actUntil`, or no token, and then
// how long another host holds the duty.
struct LeaseResult
{
    std::optional<std::uint64_t> fencingToken;
    Millis actUntil;
    Millis heldFor;
};

// Receives a promoter's actions.
class PrimaryChangeOutput
{
public:
    PrimaryChangeOutput() = default;
    PrimaryChangeOutput(const PrimaryChangeOutput &) = delete;
    PrimaryChangeOutput &operator=(const PrimaryChangeOutput &) = delete;
    virtual ~PrimaryChangeOutput() = default;

    // Try to get the group's duty; answered by onLeaseResult().
    virtual void acquireLease(const std::string &group) = 0;
    // Send an order or a status query to an instance; answered by onStatus().
    virtual void sendCommand(const std::string &instance, const Statement &statement) = 0;
    // Order the promotion; answered by onPromotion().
    virtual void promote(const std::string &group, const std::string &instance,
                         std::uint64_t fencingToken)
        = 0;
    // A change of stage, for the log.
    virtual void stageChanged(const std::string &group, PrimaryChangeStage stage,
                              PrimaryChangeCause cause, const std::string &detail)
        = 0;
};

// One host's promoter of one group.
class PrimaryChange
{
public:
    PrimaryChange(std::string group, PrimaryChangeOutput *output);

    // `cause` is what this host holds against the primary now.
    void onTick(Millis now, PrimaryChangeCause cause, const GroupState &knowledge);
    void onLeaseResult(Millis now, const LeaseResult &result);
    void onStatus(Millis now, const std::string &instance, StatementKind order,
                  const InstanceStatus &status);
    // The instance closed a connection or refused one: it may have restarted, which ends its pause.
    void onConnectionLost(Millis now, const std::string &instance);
    void onPromotion(Millis now, PromotionResult verdict);
    // Some instance is known to lead `term`.
    void onLeader(Millis now, const std::string &instance, std::uint64_t term);

    PrimaryChangeStage stage() const { return m_stage; }
    // The instance that is to lead next; empty before it is chosen.
    const std::string &candidate() const { return m_candidate; }

private:
    void enter(Millis now, PrimaryChangeStage stage, const std::string &detail);
    void begin(Millis now, PrimaryChangeCause cause);
    void abandon(Millis now, const std::string &reason);
    void remember(Millis now, const std::vector<RegisteredInstance> &instances);
    std::set<std::string> participants() const;
    std::size_t sealsNeeded() const;
    std::size_t witnesses() const;
    void sendSeals(Millis now);
    void sealFailing();
    void sealLeaving();
    void waitAfterOrder(Millis now, const std::string &reason);
    void orderStalledAgain(Millis now);
    void chooseHeir();
    bool heirHasAll() const;
    std::string bestSealed() const;
    bool usableAsHeir(const std::string &instance) const;
    void tryToOrder(Millis now);
    void sendPromotion(Millis now);
    void resumeSealed();
    bool registered(const std::string &instance) const;

    std::string m_group;
    PrimaryChangeOutput *m_output;
    GroupState m_knowledge;
    std::map<std::string, RegisteredInstance> m_present;
    std::map<std::string, Millis> m_vanished;  // Without having announced that they leave.
    std::map<std::string, Millis> m_restarted; // Processes that may have lost their log.
    PrimaryChangeStage m_stage = PrimaryChangeStage::Idle;
    PrimaryChangeCause m_cause = PrimaryChangeCause::None;
    std::uint64_t m_token = 0;
    Millis m_actUntil;
    Millis m_stageSince;
    Millis m_retryAt;
    Millis m_nextSend;
    std::uint64_t m_sealTerm = 0;
    std::map<std::string, InstanceStatus> m_sealed;
    std::set<std::string> m_toResume;
    std::string m_candidate;
    std::optional<Position> m_heirPosition;
    std::string m_oldPrimary;
    std::string m_claimedFor;   // The primary when the claim was sent.
    bool m_steppedDown = false; // The old primary.
    int m_openOrders = 0;       // Promotions that may still be carried out.
};

} // namespace cicadagap
