// What callers do, and what they were promised: callers drawn from a seed, and a checker that
// compares what they were told with what one group's instances ran. For the virtual world and for
// runs on real processes.
//
// Checked: every statement that runs was sent by a caller and sees that caller's values; a
// transaction holds one caller's statements; a read sees every commit that it must; an acknowledged
// write is there exactly once, also after each promotion; a write that was refused is not kept; a
// success carries the instance's signature and rows.
//
// Pure and not thread-safe.
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
    int uncertain = 0; // May have run.
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
        Millis maxAge = Millis(1500);
        int items = 20;
        std::string idPrefix = "q"; // Of statements; differs between groups.
    };

    // The group must outlive the checker.
    GuaranteeChecker(Options options, ReplicaGroup *group);

    // A caller with a session; returns its number.
    std::size_t addCaller(Consistency consistency);
    // The caller's session ended; what it had sent last is uncertain. It starts a new one.
    void startSession(std::size_t caller);
    // What the caller sends now. Its last statement must have been answered.
    Statement nextStatement(std::size_t caller, Millis now);
    void onAnswer(std::size_t caller, const StatementAnswer &answer, Millis now);
    bool awaitsAnswer(std::size_t caller) const { return m_callers[caller].sent.has_value(); }
    bool awaits(std::size_t caller, const std::string &id) const
    {
        return awaitsAnswer(caller) && m_callers[caller].sent->id == id;
    }
    SessionPhase phase(std::size_t caller) const { return m_callers[caller].phase; }

    // What instances run; see ReplicaGroupEnvironment.
    void onRead(const GroupInstance &instance, const InstanceConnection &connection,
                const Statement &statement, Millis now);
    void onWrite(const GroupInstance &instance, const InstanceConnection &connection,
                 const Statement &statement, Millis now);
    void onPromoted(const GroupInstance &newPrimary, Millis now);
    void checkAtTheEnd(Millis now);
    void violate(Millis now, const std::string &text);

    const GuaranteeReport &report() const { return m_report; }

private:
    struct Caller
    {
        Consistency consistency = Consistency::Strong;
        std::uint64_t session = 0;
        SessionPhase phase = SessionPhase::Idle;
        SessionValues values;           // Acknowledged.
        SessionValues wanted;           // Sent, not acknowledged yet.
        std::set<std::string> prepared; // Shapes, acknowledged.
        int left = 0;                   // Statements left in the transaction.
        bool readOnly = false;
        std::optional<Statement> sent;
        Millis began; // First byte of the statement or of its transaction.
        std::set<std::string> transactionWrites;
    };

    // A write that a caller was told of.
    struct Acknowledged
    {
        std::string write;
        std::size_t index = 0; // In the log.
        Millis at;
        std::uint64_t session = 0;
    };

    void drawStatement(Caller *caller, Statement *statement);
    void drawOutsideTransaction(Caller *caller, Statement *statement);
    void checkRead(Millis now, const Caller &caller, const GroupInstance &instance,
                   const Statement &statement);
    void checkSuccess(Millis now, const Statement &statement, const StatementAnswer &answer);
    void acknowledgeWrites(const Caller &caller, Millis now);
    void acknowledge(const Acknowledged &write);
    const Acknowledged *newestFor(const Caller &caller) const;
    const Caller *sender(const Statement &statement) const;
    std::size_t indexOf(const std::string &write) const;

    Options m_options;
    ReplicaGroup *m_group;
    Random m_random;
    GuaranteeReport m_report;
    std::vector<Caller> m_callers;
    std::map<std::string, std::size_t> m_statementOwner;
    std::vector<Acknowledged> m_acknowledged; // In the order of time.
    std::vector<std::size_t> m_newest; // Of the first that many: which is highest in the log.
    std::map<std::uint64_t, std::size_t> m_newestOfSession;
    std::set<std::string> m_refusedWrites;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastSession = 0;
};

} // namespace cicadagap
