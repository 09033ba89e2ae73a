// A database group whose instances replicate semi-synchronously, for the virtual world and for
// stand-ins on real sockets.
//
// The primary appends a commit, sends it to the replicas and acknowledges it once one of them has
// received it; replicas apply it later. An instance that was told to hold receives nothing until it
// is resumed, promoted or restarted. A promotion makes an instance the primary of the next term
// with what it had received; instances that were ahead of it are rolled back.
//
// Pure: time and randomness come from a ReplicaGroupEnvironment. Not thread-safe.
#pragma once

#include "base/millis.h"
#include "session/sessionstate.h"
#include "session/statement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadagap {

struct GroupLogEntry
{
    std::uint64_t term = 0;
    std::string statementId; // The id of the statement.
    std::string item;

    bool operator==(const GroupLogEntry &) const = default;
};

// A connection as the instance sees it.
struct InstanceConnection
{
    SessionPhase phase = SessionPhase::Idle;
    bool readOnly = false;
    std::uint64_t beganTerm = 0;
    std::vector<GroupLogEntry> writes; // Of the open transaction.
    SessionValues values;
    std::map<std::string, std::string> prepared; // Shapes by name.
};

struct GroupInstance
{
    std::string id;
    std::vector<GroupLogEntry> log;
    std::size_t applied = 0;
    std::uint64_t term = 1;
    bool primary = false;
    std::uint64_t pausedTerm = 0; // Receives nothing while above 0.
    bool running = true;
    bool removed = false; // For good.
    bool leaving = false;
    Millis applyDelay = Millis(8);
    std::int64_t incarnation = 1;

    Position end() const
    {
        return {.term = log.empty() ? 0 : log.back().term, .index = log.size()};
    }
    // The position that reads see.
    Position visible() const
    {
        return {.term = applied > 0 ? log[applied - 1].term : 0, .index = applied};
    }
};

class ReplicaGroupEnvironment
{
public:
    ReplicaGroupEnvironment() = default;
    ReplicaGroupEnvironment(const ReplicaGroupEnvironment &) = delete;
    ReplicaGroupEnvironment &operator=(const ReplicaGroupEnvironment &) = delete;
    virtual ~ReplicaGroupEnvironment() = default;

    virtual void after(Millis delay, std::function<void()> function) = 0;
    // Whether replication passes between the two instances now.
    virtual bool canReplicate(const std::string &from, const std::string &to) = 0;
    // The time from the primary to a replica.
    virtual Millis receiveDelay() = 0;
    // The instance runs a read; `connection` is as the statement finds it.
    virtual void onRead(const GroupInstance &instance, const InstanceConnection &connection,
                        const Statement &statement)
        = 0;
    // The instance runs a write, whose commit may come later or never.
    virtual void onWrite(const GroupInstance &instance, const InstanceConnection &connection,
                         const Statement &statement)
        = 0;
    // The instance leads now; those that were ahead of it have not been rolled back yet.
    virtual void onPromoted(const GroupInstance &newPrimary) = 0;
};

class ReplicaGroup
{
public:
    using Reply = std::function<void(const StatementAnswer &)>;

    explicit ReplicaGroup(ReplicaGroupEnvironment *environment)
        : m_environment(environment)
    {
    }

    // The first one leads.
    void add(const std::string &id);
    GroupInstance *find(const std::string &id);
    const std::map<std::string, GroupInstance> &instances() const { return m_instances; }
    std::map<std::string, GroupInstance> &instances() { return m_instances; }
    // The running instance that leads; null if there is none.
    GroupInstance *primary();

    // Runs a statement. The answer to a commit that writes comes when a replica has received it,
    // and not at all if the instance loses the lead or stops before. Read, Write: `name` is the
    // item. Execute: a shared name that begins with 'w' writes.
    void execute(GroupInstance *instance, InstanceConnection *connection,
                 const Statement &statement, const Reply &reply);
    // Carries out an order, also one that was delayed.
    StatementAnswer order(GroupInstance *instance, const Statement &statement);
    // Carries out a promotion; false if the instance does not run or leads already.
    bool promote(const std::string &id);
    void crash(const std::string &id);
    // Comes back with its log; as a replica if another instance was promoted.
    void restart(const std::string &id);
    // The instance is gone; a new one with its log takes its place.
    void replace(const std::string &id, const std::string &successor, std::int64_t incarnation);

private:
    StatementAnswer run(GroupInstance *instance, InstanceConnection *connection,
                        const Statement &statement);
    StatementAnswer runRead(GroupInstance *instance, InstanceConnection *connection,
                            const Statement &statement);
    void runWrite(GroupInstance *instance, InstanceConnection *connection,
                  const Statement &statement, StatementAnswer *answer);
    void commit(GroupInstance *instance, std::vector<GroupLogEntry> writes,
                const std::function<void()> &acknowledged);
    void sendEntries(const std::string &from, const std::string &to, std::size_t length,
                     std::uint64_t term, const std::function<void()> &received);
    bool receive(const std::string &from, const std::string &to, std::size_t length,
                 std::uint64_t term);

    ReplicaGroupEnvironment *m_environment;
    std::map<std::string, GroupInstance> m_instances;
};

} // namespace cicadagap
