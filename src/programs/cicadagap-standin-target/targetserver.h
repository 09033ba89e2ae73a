// The stand-in target: one instance of a database group as a process, which injects faults on
// request.
//
// It serves the HTTP calls of targets, as described in the section "Targets" of docs/CALLERS.md.
// Faults are controlled with POST /control and an object with any of these members:
//
//     {"serviceMs": 5}              The time that a statement takes.
//     {"connectMs": 10}             The time that a new connection takes.
//     {"replicationDelayMs": 3000}  The one-way delay of replication from this instance.
//     {"slowMember": "t2", "memberDelayMs": 3000}  The same delay, for one replica only.
//     {"answerDelayMs": 400}        Delays every answer, like an overloaded instance.
//     {"cutFrom": ["cali-1"]}       Sends no answers and no replication to the named peers.
//     {"loseAnswers": 2}            Executes the next two writes without answering them.
//     {"silence": true}             Never answers again on the connections that are open now.
//     {"leaving": true}             Refuses new connections and transactions.
#pragma once

#include "base/endpoint.h"
#include "connection/http.h"
#include "process/eventloop.h"
#include "standin_core/targetinstance.h"

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cicadagap {

// Must run on an event loop with a single thread. Not thread-safe.
class TargetServer
{
public:
    struct Options
    {
        std::string name;
        Endpoint listen;
        std::map<std::string, Endpoint> members; // The other instances of the group.
        int slots = 3;              // Statements that run at the same time; others wait.
        int connections = 20;       // Connections that it accepts.
        Millis service = Millis(1); // The time that a statement takes.
        Millis connect = Millis(0); // The time that a new connection takes.
        Millis replicationInterval = Millis(2); // Between checks for entries to replicate.
        Millis replicationDelay = Millis(0);    // One way, to a replica.
        std::string dataFile;                   // Keeps the log across restarts; empty for none.
    };

    TargetServer(EventLoop *loop, Options options);

    // Reads the data file and starts to listen. Returns false and sets `reason` on failure.
    bool start(Reason *reason);
    Endpoint endpoint() const { return m_server->endpoint(); }

private:
    // The replication stream to one member.
    struct Peer
    {
        Endpoint endpoint;
        std::shared_ptr<HttpConnection> connection;
        bool connecting = false;
        bool inFlight = false;
        std::uint64_t sentLength = 0; // The log length that the last message reached.
        Millis lastSentAt;
    };

    void handle(const HttpRequest &request, const Respond &respond);
    void route(const HttpRequest &request, const Respond &respond);
    // Admits a connection unless there are too many or the instance is leaving. Statements are
    // refused on a connection that was not admitted.
    void admit(std::uint64_t connection, const Respond &respond);
    void enqueueStatement(const HttpRequest &request, const Respond &respond);
    void runQueue();
    void finishStatement(const HttpRequest &request, const Respond &respond);
    // Runs a statement, begin, commit or rollback. Sets `wrote` to whether the log changed.
    ExecuteAnswer runStatement(const HttpRequest &request, bool *wrote);
    std::string statusText() const;
    std::string follow(const std::string &body);
    std::string promote(const std::string &body);
    HttpResponse control(const std::string &body);
    HttpResponse rows(const std::string &target) const;
    std::string replicate(const std::string &body);
    // Sends new log entries to a member or, if none are due for long enough, a heartbeat.
    void replicateTo(const std::string &member);
    void sendReplication(const std::string &member, const ReplicateRequest &request);
    void onClosed(std::uint64_t connection);
    // Whether the request comes from a peer that gets no answers.
    bool isCut(const HttpRequest &request) const;
    // Restores term and log from the data file and opens it for appending.
    bool load(Reason *reason);
    // Appends to the data file what changed in term and log since the last call.
    void persist();

    EventLoop *m_loop;
    Options m_options;
    TargetInstance m_instance;
    SteadyClock m_clock;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, Peer> m_peers;
    std::set<std::uint64_t> m_admittedConnections;
    std::set<std::uint64_t> m_silentConnections; // They are never answered.
    std::deque<std::function<void()>> m_queue;   // Statements that wait for a slot.
    int m_runningStatements = 0;
    std::set<std::string> m_cutFrom;
    std::string m_slowMember; // Replication to this member takes m_memberDelay.
    Millis m_memberDelay;
    Millis m_answerDelay;
    int m_loseAnswers = 0; // Writes that are still to be left unanswered.
    bool m_leaving = false;
    std::ofstream m_data;
    std::uint64_t m_persistedTerm = 0; // What the data file holds, like the log that follows.
    std::vector<LogEntry> m_persistedLog;
};

} // namespace cicadagap
