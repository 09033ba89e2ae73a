// Changes of a group's primary, one soon after another, in simulated time. Hosts, each with a
// PrimaryChange, share one lease row, the platform's promotion service and one replicated group; a
// writer that reaches all instances goes on writing. What makes changes hard can be played:
// commands and promotions that are carried out late, instances that leave, start or are missing
// from the list, and hosts that are restarted or cannot reach an instance.
//
// Checked is that each promoted instance holds all acknowledged writes.
#pragma once

#include "eventqueue.h"
#include "simulatedstore.h"

#include "base/millis.h"
#include "base/names.h"
#include "session/primarychange.h"
#include "standin_core/replicagroup.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

// Which host makes the next change, or goes on with one that was begun.
enum class NextHolder {
    SameHost,
    OtherHost,     // The first one's process is killed.
    RestartedHost, // The first one's process is killed and started again.
};

inline constexpr NameTable<NextHolder, 3> NextHolderNames{{{
    {NextHolder::SameHost, "sameHost"},
    {NextHolder::OtherHost, "otherHost"},
    {NextHolder::RestartedHost, "restartedHost"},
}}};

class ChangeScenario;

// A host that changes the primary.
class ChangingHost : public PrimaryChangeOutput
{
public:
    ChangingHost(ChangeScenario *scenario, std::string name)
        : m_scenario(scenario)
        , m_name(std::move(name))
    {
    }

    void acquireLease(const std::string &group) override;
    void sendCommand(const std::string &instance, const Statement &statement) override;
    int relayCommand(const std::string &instance, const Statement &statement) override;
    void promote(const std::string &group, const std::string &instance,
                 std::uint64_t fencingToken) override;
    void recordCandidate(const std::string &group, const std::string &candidate,
                         std::uint64_t fencingToken) override;
    void recordResumes(const std::string &group, const std::set<std::string> &instances,
                       std::uint64_t fencingToken) override;
    void stageChanged(const std::string &group, PrimaryChangeStage stage, PrimaryChangeCause cause,
                      const std::string &detail) override;
    const std::string &name() const { return m_name; }

private:
    ChangeScenario *m_scenario;
    std::string m_name;

public:
    std::unique_ptr<PrimaryChange> change; // Null while the host takes no part.
    std::string unreachable;               // The instance that it cannot reach.
    PrimaryChangeCause cause = PrimaryChangeCause::None;
    std::map<std::string, int> unansweredResumes; // How many, by instance.
    std::optional<Millis> lostAt;                 // Since when it knows no primary.
};

class ChangeScenario : private ReplicaGroupEnvironment
{
public:
    struct Options
    {
        Millis promotionTime = Millis(1000); // From a promotion's request to its effect.
        // From the primary to the replica that receives a write first, and to the others.
        Millis nearReceiveDelay = Millis(3);
        Millis farReceiveDelay = Millis(3);
        Millis writeInterval = Millis(10);
    };

    ChangeScenario()
        : ChangeScenario(Options{})
    {
    }
    // The group has the instances a (the primary), b and c; there are two hosts, without processes.
    explicit ChangeScenario(Options options);

    void at(Millis when, std::function<void()> function) { m_events.at(when, std::move(function)); }
    Millis now() const { return m_now; }
    void runUntil(Millis end);

    // The host takes part in changes from now on, with a new process.
    void startProcess(std::size_t host);
    void stopProcess(std::size_t host) { hosts[host]->change.reset(); }
    // The first host's process goes on, or another one takes its place. Returns the host's number.
    std::size_t continueOn(NextHolder holder);
    // The host cannot reach the present primary any more, and has to replace it.
    void cutPrimary(std::size_t host);
    // As cutPrimary(), and the primary does not run any more.
    void crashPrimary(std::size_t host);
    // The instance announces that it leaves. It takes new work for `time`.
    void leave(const std::string &instance, Millis time = Millis(7000));
    // The instance ends, and its log goes with it.
    void end(const std::string &instance);
    // An instance without an entry in the list goes on receiving.
    void setListed(const std::string &instance, bool listed);
    // A replica with an empty log starts.
    void startInstance(const std::string &instance);

    std::vector<RegisteredInstance> registered() const;

    ReplicaGroup group;
    SimulatedStore store;
    std::vector<std::unique_ptr<ChangingHost>> hosts;
    std::set<std::string> receiveNothing; // Replicas that the primary cannot reach.
    bool othersReachAll = false;          // Hosts that take no part in changes pass commands on.
    std::set<std::string> delaysCommands; // Instances that leave commands unanswered now.
    Millis lateness = Millis(6000);       // Of a command that gets no answer.
    // Promotions that are requested now get no answer and are carried out after this time; 0: they
    // are answered.
    Millis promotionLateness;
    std::vector<std::pair<Millis, std::string>> promotions;
    std::vector<std::string> lostWrites;
    Millis longestWriteGap;
    std::function<void()> onFirstPromotion;
    std::ostream *trace = nullptr; // Gets a line for each change of stage; null for none.

private:
    friend class ChangingHost;

    void tick();
    void tickHost(ChangingHost *host);
    void write(int number);
    void carryOutPromotion(const std::string &instance, std::uint64_t token);
    PromotionResult judgePromotion(const std::string &instance, std::uint64_t token);
    void after(Millis delay, std::function<void()> function) override;
    bool canReplicate(const std::string &from, const std::string &to) override;
    Millis receiveDelay() override;
    void onRead(const GroupInstance &, const InstanceConnection &, const Statement &) override { }
    void onWrite(const GroupInstance &, const InstanceConnection &, const Statement &) override { }
    void onPromoted(const GroupInstance &newPrimary) override;

    Options m_options;
    Millis m_now;
    EventQueue m_events;
    std::vector<std::string> m_acknowledged;
    Millis m_lastAcknowledged;
    int m_receiveDelays = 0; // That were asked for since the newest write.
    std::string m_knownPrimary = "a";
    std::uint64_t m_knownTerm = 1;
    std::uint64_t m_highestToken = 0;
    std::set<std::string> m_unlisted;
    std::map<std::string, Millis> m_runsUntil; // Of the instances that leave.
};

} // namespace cicadagap
