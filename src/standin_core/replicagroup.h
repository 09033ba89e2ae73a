// A database group whose instances replicate semi-synchronously, for simulations and for stand-ins
// on real sockets.
//
// The primary appends the writes of a commit to its log, sends them to the replicas and
// acknowledges the commit once one replica has received them; replicas apply them later. A paused
// instance receives nothing until it is resumed, promoted or restarted. A promotion makes an
// instance the primary of the next term with the log that it had received; instances whose logs are
// not the beginning of that log are rolled back. The old primary stops leading at that moment or,
// as Options say, goes on until it steps down or has been able to reach its successor for a while.
//
// Performs no I/O and reads no clock: delays and randomness come from a ReplicaGroupEnvironment.
// Not thread-safe.
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

// One write in an instance's log.
struct GroupLogEntry
{
    std::uint64_t term = 0;
    std::string statementId;
    std::string item; // What the statement wrote.

    bool operator==(const GroupLogEntry &) const = default;
};

// The state that an instance keeps for one connection.
struct InstanceConnection
{
    SessionPhase phase = SessionPhase::Idle;
    bool readOnly = false;
    std::uint64_t beganTerm = 0;       // The instance's term when the open transaction began.
    std::vector<GroupLogEntry> writes; // Of the open transaction.
    SessionValues values;
    std::map<std::string, PreparedStatement> prepared; // By name.
    std::string tenant;                                // In whose name it was opened.
};

// One instance of the group.
struct GroupInstance
{
    std::string id;
    std::vector<GroupLogEntry> log;
    std::size_t applied = 0; // The number of log entries that reads see.
    std::uint64_t term = 1;
    bool primary = false;
    std::uint64_t pausedTerm = 0; // The term of the Pause command in force; 0 if not paused.
    bool running = true;
    bool removed = false;          // It was replaced and never comes back.
    bool leaving = false;          // It announced that it takes no new work and will stop.
    Millis applyDelay = Millis(8); // From receiving an entry to applying it, on a replica.
    std::int64_t incarnation = 1;

    // The position of the last log entry.
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

// What a group needs from the simulation or the program that it runs in. Its owner keeps it alive
// for as long as the group.
class ReplicaGroupEnvironment
{
public:
    ReplicaGroupEnvironment() = default;
    ReplicaGroupEnvironment(const ReplicaGroupEnvironment &) = delete;
    ReplicaGroupEnvironment &operator=(const ReplicaGroupEnvironment &) = delete;
    virtual ~ReplicaGroupEnvironment() = default;

    // Calls `function` after `delay`.
    virtual void after(Millis delay, std::function<void()> function) = 0;
    // Whether replication messages get from one instance to the other now.
    virtual bool canReplicate(const std::string &from, const std::string &to) = 0;
    // Returns the time that the next replication message takes. It may differ each time.
    virtual Millis receiveDelay() = 0;
    // The instance runs a read. `connection` has the state before the statement.
    virtual void onRead(const GroupInstance &instance, const InstanceConnection &connection,
                        const Statement &statement)
        = 0;
    // The instance runs a write, which may be committed later or never.
    virtual void onWrite(const GroupInstance &instance, const InstanceConnection &connection,
                         const Statement &statement)
        = 0;
    // The instance runs a statement that neither reads nor writes, for example a commit.
    virtual void onOther(const InstanceConnection &, const Statement &) { }
    // The instance has just become primary. Instances that were ahead of it have not been rolled
    // back yet.
    virtual void onPromoted(const GroupInstance &newPrimary) = 0;
};

// Whether the statement is one by which the system restores a session's state on a connection.
bool restoresState(const Statement &statement);

class ReplicaGroup
{
public:
    using Reply = std::function<void(const StatementAnswer &)>;

    struct Options
    {
        // A primary that was replaced goes on leading until it hears of its successor.
        bool replacedPrimaryGoesOn = false;
        // A new primary sends its log to the others at once, not only with its first commit.
        bool sendsLogWhenPromoted = false;
    };

    explicit ReplicaGroup(ReplicaGroupEnvironment *environment)
        : ReplicaGroup(environment, Options{})
    {
    }
    ReplicaGroup(ReplicaGroupEnvironment *environment, Options options)
        : m_environment(environment)
        , m_options(options)
    {
    }

    // Adds an instance. The first one is the primary.
    void add(const std::string &id);
    // Returns the instance, or null if there is none with that id.
    GroupInstance *find(const std::string &id);
    const std::map<std::string, GroupInstance> &instances() const { return m_instances; }
    std::map<std::string, GroupInstance> &instances() { return m_instances; }
    // Returns the primary of the highest term, or null if none is running.
    GroupInstance *primary();

    // Runs a statement and passes the answer to `reply`. A commit with writes is answered when a
    // replica has received it, and not at all if the instance stops or is no longer primary by
    // then. The item of a Read or Write is the statement's name.
    void execute(GroupInstance *instance, InstanceConnection *connection,
                 const Statement &statement, const Reply &reply);
    // Answers the statement as failed, without any effect.
    static void refuse(const InstanceConnection &connection, const Reply &reply);
    // Carries out one of the commands Status, Pause, Resume and StepDown, possibly after a delay.
    StatementAnswer command(GroupInstance *instance, const Statement &statement);
    // Promotes an instance. Returns false if it is not running or is the primary already.
    bool promote(const std::string &id);
    // Stops an instance until restart().
    void crash(const std::string &id);
    // Starts an instance with its log, as a replica if another instance was promoted.
    void restart(const std::string &id);
    // Removes an instance for good and adds the replica `successor` with a copy of its log.
    void replace(const std::string &id, const std::string &successor, std::int64_t incarnation);

private:
    StatementAnswer run(GroupInstance *instance, InstanceConnection *connection,
                        const Statement &statement);
    StatementAnswer runRead(GroupInstance *instance, InstanceConnection *connection,
                            const Statement &statement);
    // Adds the write to the connection's transaction.
    void runWrite(GroupInstance *instance, InstanceConnection *connection,
                  const Statement &statement, StatementAnswer *answer);
    // Appends `writes` to the primary's log and replicates them. Calls `acknowledged` once, when
    // the first replica has received them.
    void commit(GroupInstance *instance, std::vector<GroupLogEntry> writes,
                const std::function<void()> &acknowledged);
    // Sends the first `length` log entries of `from`, the primary of `term`, until `to` has
    // received them or `from` is no longer primary of `term`. Gives up too if one of the two is
    // removed or the sender stops.
    void sendEntries(const std::string &from, const std::string &to, std::size_t length,
                     std::uint64_t term, const std::function<void()> &received);
    // Makes one attempt for sendEntries(). Returns whether `to` now holds the log of `from` up to
    // `length`.
    bool receive(const std::string &from, const std::string &to, std::size_t length,
                 std::uint64_t term);

    // Sends the primary's log to all others.
    void sendLog(const GroupInstance &primary);
    // Whether an instance was promoted after the primary of `term`.
    bool hasPromotedSince(std::uint64_t term) const;
    // Makes a primary that was replaced a replica once it hears of its successor.
    void demoteWhenReachable(const std::string &replaced, std::uint64_t term);
    // Takes the entries out of the instance's log that the primary does not have.
    static void rollBack(GroupInstance *instance, const GroupInstance &primary);
    // Whether the instance hears of a primary of a higher term than `term`.
    bool hearsOfLaterPrimary(const std::string &id, std::uint64_t term);

    ReplicaGroupEnvironment *m_environment;
    Options m_options;
    std::map<std::string, GroupInstance> m_instances;
};

} // namespace cicadagap
