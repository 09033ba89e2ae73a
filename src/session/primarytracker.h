// What a host believes about one group: which instance leads, since when it is silent, and where
// the primary's log was at which time.
//
// Only an instance's own acceptance of a transaction that may write proves that it leads; a
// registered role is a hint, and none any more once another instance was seen to lead after it.
// Silence counts only while a question is open, and only after the host itself was running all the
// while.
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "connection/majoritytracker.h"
#include "session/primarychange.h"
#include "session/registry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

class PrimaryTracker
{
public:
    struct Options
    {
        Millis probeInterval = Millis(200); // Between proofs that the primary leads.
        Millis searchInterval = Millis(60); // Between questions to an instance that may lead.
        Millis silenceLimit = Millis(650);  // Of open questions, before the primary is replaced.
        Millis searchLimit = Millis(1200);  // Without any leader, before one is chosen.
        Millis startLimit = Millis(3000);   // The same, for a host that has seen none yet.
        Millis stallLimit = Millis(1500);   // Of a write, before its replicas are let go.
        Millis sampleInterval = Millis(50); // Between samples of the primary's position.
        Millis gapLimit = Millis(300); // Between ticks; a longer gap means that we stood still.
    };

    PrimaryTracker()
        : PrimaryTracker(Options{})
    {
    }
    explicit PrimaryTracker(Options options);

    // Whether this host asks the instances itself. One that does not believes their registered
    // roles and whatever its statements show, and never holds anything against the primary.
    void setProbing(bool watching) { m_probing = watching; }
    // Another host, which watches, says that the instance leads.
    void onReportedPrimary(const std::string &instance);
    // The group's registered instances.
    void setInstances(Millis now, const std::vector<RegisteredInstance> &instances);
    void onTick(Millis now);
    // The instance accepted or acknowledged something that only a primary does. `askedAt` is when
    // the question was sent.
    void onProvenPrimary(Millis now, const std::string &instance, Millis askedAt,
                         Position position);
    // The instance denied it; a denial of a question older than the last proof tells nothing.
    void onNotPrimary(Millis now, const std::string &instance, Millis askedAt);
    // A question was sent or a connection is being opened.
    void onRequestSent(Millis now, const std::string &instance);
    // Anything arrived from the instance.
    void onReceived(const std::string &instance);
    // The instance refused a connection or closed one.
    void onConnectionFailed(Millis now, const std::string &instance);
    // A write has waited at the primary since `since`; nothing if none waits.
    void setOldestWrite(std::optional<Millis> since) { m_oldestWrite = since; }

    // The instance to send writes to; empty while unknown.
    const std::string &primary() const { return m_primary; }
    // Whether the leader's own word was heard recently.
    bool confirmed(Millis now) const;
    std::uint64_t term() const { return m_term; }
    // The last known leader, also after it was lost.
    const std::string &lastPrimary() const { return m_lastPrimary; }
    // The instances to ask now whether they lead.
    std::vector<std::string> instancesToProbe(Millis now) const;
    // Whether the instance has left a question unanswered for that long.
    bool silentFor(Millis now, const std::string &instance, Millis limit) const;
    // What is held against the primary now.
    PrimaryChangeCause cause(Millis now) const;
    const ReplicaAge &replicaAge() const { return m_replicaAge; }

private:
    struct Seen
    {
        RegisteredInstance registered;
        std::optional<Millis> askedSince; // Oldest open question.
        Millis lastAsked = Millis(-1'000'000);
        Millis refusedLead = Millis(-1'000'000);
        bool roleOutdated = false; // Another instance led after it registered as the primary.
        int refusals = 0;          // Connections refused in a row.
        Millis firstRefusal;
    };

    void setPrimary(const std::string &instance);
    void lose(Millis now);
    void adoptHint(Millis now);
    bool primaryFailed(Millis now) const;
    bool unreachable(Millis now) const;

    Options m_options;
    std::map<std::string, Seen> m_instances;
    std::string m_primary;
    std::string m_lastPrimary;
    bool m_probing = true;
    std::string m_failed; // The leader that was given up because it does not answer.
    std::uint64_t m_term = 0;
    Millis m_confirmedAt = Millis(-1'000'000);
    Millis m_provenAsOf = Millis(-1'000'000); // When the question behind the last proof was sent.
    std::optional<Millis> m_lostAt;
    std::optional<Millis> m_oldestWrite;
    std::optional<Millis> m_lastTick;
    Millis m_lastSample = Millis(-1'000'000);
    ReplicaAge m_replicaAge;
};

} // namespace cicadagap
