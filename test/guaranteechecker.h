// Draws callers' statements from a seed, and checks the system's guarantees: compares the answers
// that callers got with what one group's instances ran. Used by the simulation of sessions and by
// the soak test.
//
// The guarantees:
// - every statement that runs was sent by a caller, with the same id, text and parameters, and
//   writes run once;
// - it sees exactly the values that its session has set, and a prepared name runs the statement
//   that its session has prepared last under that name, and is not unknown;
// - a transaction contains the statements of one caller only, runs on one connection, and is
//   committed only at its caller's request;
// - a read sees every commit that its consistency requires;
// - an acknowledged write is in the log exactly once, also after each promotion;
// - a write that was refused is not in the log;
// - what runs for a caller whose key a tenant holds runs on that tenant's connections; from a bound
//   after a change on, not on those of the tenant that held it before, and is not refused;
// - a successful answer carries the instance's signature, and a read's answer its rows.
//
// Performs no I/O and reads no clock; not thread-safe.
#pragma once

#include "callertexts.h"

#include "base/hash.h"
#include "base/millis.h"
#include "base/names.h"
#include "session/routing.h"
#include "session/sessionstate.h"
#include "standin_core/replicagroup.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// The guarantees that a statement breaks as it runs, by the customer's names.
enum class BrokenRule {
    Pinned,  // Its session's values, prepared statement or transaction are not those of its caller.
    Unasked, // No caller has sent it, or not so, or not in the name of this tenant.
    Config,  // Its caller's key has not been the tenant's for longer than the bound.
};

inline constexpr NameTable<BrokenRule, 3> BrokenRuleNames{{{
    {BrokenRule::Pinned, "PINNED"},
    {BrokenRule::Unasked, "UNASKED"},
    {BrokenRule::Config, "CONFIG"},
}}};

struct GuaranteeReport
{
    std::vector<std::string> violations;
    std::map<BrokenRule, int> broken; // How often, also beyond the violations that are listed.
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
    // The texts that callers choose.
    enum class Texts {
        Plain,     // Short words, and one shape for all. The same seeds draw the same as ever.
        Arbitrary, // Those of CallerTexts, and statements about the session also in transactions.
    };

    struct Options
    {
        std::uint64_t seed = 1;
        Texts texts = Texts::Plain;
        Millis maxAge = Millis(1500);   // Of the data of bounded-staleness reads.
        int items = 20;                 // Number of items that callers read and write.
        std::string idPrefix = "q";     // Of statement ids; must differ between groups.
        Millis keyBound = Millis(1000); // From a change of a key's holder until it is in force.
    };

    // The group must outlive the checker.
    GuaranteeChecker(Options options, ReplicaGroup *group);

    // Adds a caller with a session and returns its number.
    std::size_t addCaller(Consistency consistency);
    // From now on the tenant holds the caller's key, or none does. What runs for callers without
    // such a call is not compared with tenants.
    void setTenant(std::size_t caller, const std::optional<std::string> &tenant, Millis now);
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
        return awaitsAnswer(caller) && m_callers[caller].awaited->statement.id == id;
    }
    SessionPhase phase(std::size_t caller) const { return m_callers[caller].phase; }

    // What the instances run; the arguments are those of ReplicaGroupEnvironment.
    void onRead(const GroupInstance &instance, const InstanceConnection &connection,
                const Statement &statement, Millis now);
    void onWrite(const InstanceConnection &connection, const Statement &statement, Millis now);
    void onOther(const InstanceConnection &connection, const Statement &statement, Millis now);
    void onPromoted(const GroupInstance &newPrimary, Millis now);
    // Checks the primary's log after all statements were answered.
    void checkFinalState(Millis now);
    void addViolation(Millis now, const std::string &text);

    const GuaranteeReport &report() const { return m_report; }

private:
    // A statement and what it depends on, as it was when the caller sent it.
    struct Sent
    {
        Statement statement;
        std::size_t caller = 0;
        Millis at;
        SessionPhase phase = SessionPhase::Idle;
        SessionValues values;
        std::optional<PreparedStatement> prepared; // Under the name that is executed.
        std::set<std::string> transactionWrites;   // With this one.
        int runs = 0;

        bool reads() const
        {
            return statement.kind == StatementKind::Read
                || (statement.kind == StatementKind::Execute && prepared && !prepared->writes);
        }
        bool writes() const
        {
            return statement.kind == StatementKind::Write
                || (statement.kind == StatementKind::Execute && prepared && prepared->writes);
        }
    };

    struct Caller
    {
        Consistency consistency = Consistency::Strong;
        std::uint64_t session = 0;
        SessionPhase phase = SessionPhase::Idle;
        SessionState state;     // Acknowledged.
        int statementsLeft = 0; // Until the end of the transaction.
        bool readOnly = false;
        std::optional<Sent> awaited;
        Millis startedAt; // When the statement, or its transaction, was sent.
        std::set<std::string> transactionWrites;
        // The connection on which the open transaction runs; null before its first statement.
        const InstanceConnection *connection = nullptr;
    };

    // A time in which a tenant holds a caller's key.
    struct Holding
    {
        std::string tenant;
        Millis since;
        std::optional<Millis> until;
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
    void drawArbitrarySessionStatement(Statement *statement);
    bool drawExecute(const Caller &caller, bool mayWrite, Statement *statement);
    bool hasArbitraryTexts() const { return m_options.texts == Texts::Arbitrary; }
    // Checks that a read or write that runs is one that a caller has sent, as it was sent, and in
    // its session's state. Returns what was sent; null if it was not sent so.
    const Sent *checkRun(const InstanceConnection &connection, const Statement &statement,
                         Millis now);
    void checkState(const InstanceConnection &connection, const Statement &statement,
                    const Sent &sent, Millis now);
    void checkTransaction(const InstanceConnection &connection, const Sent &sent, Millis now);
    void checkTenant(const InstanceConnection &connection, const Sent &sent, Millis now);
    void checkUnknownKey(const Sent &sent, const StatementAnswer &answer, Millis now);
    void checkRead(Millis now, const Caller &caller, const GroupInstance &instance,
                   const Statement &statement);
    void checkSuccess(Millis now, const Sent &sent, const StatementAnswer &answer);
    void checkUnknownName(Millis now, const Sent &sent, const StatementAnswer &answer);
    void addAcknowledgedWrites(const Caller &caller, Millis now);
    void addAcknowledgedWrite(const AcknowledgedWrite &write);
    const AcknowledgedWrite *newestRequiredWrite(const Caller &caller) const;
    void addBroken(BrokenRule rule, Millis now, const std::string &text);
    std::size_t logIndexOf(const std::string &write) const;

    Options m_options;
    ReplicaGroup *m_group;
    Random m_random;
    CallerTexts m_texts; // Draws from a source of its own.
    GuaranteeReport m_report;
    std::vector<Caller> m_callers;
    std::map<std::size_t, std::vector<Holding>> m_holdings; // By caller, in their order.
    std::map<std::string, Sent> m_sent;                     // By the statement's id.
    std::vector<AcknowledgedWrite> m_acknowledged;          // In the order of acknowledgement.
    // For each acknowledged write, which one of it and those before it is highest in the log. Both
    // members hold indexes of m_acknowledged.
    std::vector<std::size_t> m_highestUpTo;
    std::map<std::uint64_t, std::size_t> m_highestOfSession;
    std::set<std::string> m_refusedWrites;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastSession = 0;
};

} // namespace cicadagap
