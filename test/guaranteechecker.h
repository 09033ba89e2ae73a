// Draws callers' statements from a seed, and checks the system's guarantees: compares the answers
// that callers got with what one group's instances ran. Used by the simulation of sessions and by
// the soak test.
//
// The guarantees:
// - every statement that runs was sent by a caller and sees the values of that caller's session;
// - a transaction contains the statements of one caller only;
// - a read sees every commit that its consistency requires;
// - an acknowledged write is in the log exactly once, also after each promotion;
// - a write that was refused is not in the log;
// - a successful answer carries the instance's signature, and a read's answer its rows.
//
// Performs no I/O and reads no clock; not thread-safe.
#pragma once

#include "base/hash.h"
#include "base/millis.h"
#include "session/routing.h"
#include "standin_core/replicagroup.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

struct GuaranteeReport
{
    std::vector<std::string> violations;
    int answered = 0;
    int refused = 0;
    int uncertain = 0; // Statements that may have run.
    int replicaReads = 0;
    Millis longestWriteGap; // Between two acknowledged writes.
    std::optional<Millis> lastWrite;
};

class GuaranteeChecker
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        Millis maxAge = Millis(1500); // Of the data of bounded-staleness reads.
        int items = 20;               // Number of items that callers read and write.
        std::string idPrefix = "q";   // Of statement ids; must differ between groups.
    };

    // The group must outlive the checker.
    GuaranteeChecker(Options options, ReplicaGroup *group);

    // Adds a caller with a session and returns its number.
    std::size_t addCaller(Consistency consistency);
    // The caller's session has ended and a new one starts. A statement without an answer is
    // uncertain.
    void startSession(std::size_t caller);
    // Draws the next statement of the caller. The last one must have been answered.
    Statement nextStatement(std::size_t caller, Millis now);
    void onAnswer(std::size_t caller, const StatementAnswer &answer, Millis now);
    // Whether the caller awaits an answer, or the answer to the statement `id`.
    bool awaitsAnswer(std::size_t caller) const { return m_callers[caller].awaited.has_value(); }
    bool awaits(std::size_t caller, const std::string &id) const
    {
        return awaitsAnswer(caller) && m_callers[caller].awaited->id == id;
    }
    SessionPhase phase(std::size_t caller) const { return m_callers[caller].phase; }

    // What the instances run; the arguments are those of ReplicaGroupEnvironment.
    void onRead(const GroupInstance &instance, const InstanceConnection &connection,
                const Statement &statement, Millis now);
    void onWrite(const GroupInstance &instance, const InstanceConnection &connection,
                 const Statement &statement, Millis now);
    void onPromoted(const GroupInstance &newPrimary, Millis now);
    // Checks the primary's log after all statements were answered.
    void checkFinalState(Millis now);
    void addViolation(Millis now, const std::string &text);

    const GuaranteeReport &report() const { return m_report; }

private:
    struct Caller
    {
        Consistency consistency = Consistency::Strong;
        std::uint64_t session = 0;
        SessionPhase phase = SessionPhase::Idle;
        SessionValues values;          // Acknowledged.
        SessionValues requestedValues; // The values once the statement in progress is acknowledged.
        std::set<std::string> prepared; // Names of the prepared statements.
        int statementsLeft = 0;         // Until the end of the transaction.
        bool readOnly = false;
        std::optional<Statement> awaited;
        Millis startedAt; // When the statement, or its transaction, was sent.
        std::set<std::string> transactionWrites;
    };

    // A write whose commit was acknowledged to a caller.
    struct AcknowledgedWrite
    {
        std::string statementId;
        std::size_t index = 0; // In the group's log.
        Millis at;
        std::uint64_t session = 0;
    };

    void drawStatement(Caller *caller, Statement *statement);
    void drawSessionStatement(Caller *caller, Statement *statement);
    void checkRead(Millis now, const Caller &caller, const GroupInstance &instance,
                   const Statement &statement);
    void checkSuccess(Millis now, const Statement &statement, const StatementAnswer &answer);
    void addAcknowledgedWrites(const Caller &caller, Millis now);
    void addAcknowledgedWrite(const AcknowledgedWrite &write);
    const AcknowledgedWrite *newestRequiredWrite(const Caller &caller) const;
    const Caller *senderOf(const Statement &statement) const;
    std::size_t logIndexOf(const std::string &write) const;

    Options m_options;
    ReplicaGroup *m_group;
    Random m_random;
    GuaranteeReport m_report;
    std::vector<Caller> m_callers;
    std::map<std::string, std::size_t> m_statementOwner;
    std::vector<AcknowledgedWrite> m_acknowledged; // In the order of acknowledgement.
    // For each acknowledged write, which one of it and those before it is highest in the log. Both
    // members hold indexes of m_acknowledged.
    std::vector<std::size_t> m_highestUpTo;
    std::map<std::uint64_t, std::size_t> m_highestOfSession;
    std::set<std::string> m_refusedWrites;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastSession = 0;
};

} // namespace cicadagap
