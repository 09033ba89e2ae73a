// The stand-in target: one database-group instance as a process, with faults on request.
//
// Data port: the calls of docs/CALLERS.md's "Targets" section. Control: POST /control with any of
//
//     {"serviceMs": 5}              time a statement takes
//     {"connectMs": 10}             time a new connection takes
//     {"replicationDelayMs": 3000}  one-way delay of replication from this instance
//     {"slowMember": "t2", "memberDelayMs": 3000}  the same for one replica alone
//     {"answerDelayMs": 400}        delays every answer: a slow instance
//     {"cutFrom": ["cali-1"]}       no answers to, and no replication to, the named peers
//     {"loseAnswers": 2}            executes the next 2 writes but never answers them
//     {"silence": true}             connections open now go silent for good; new ones work
//     {"leaving": true}             refuses new work
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

// Everything runs on a single-threaded event loop.
class TargetServer
{
public:
    struct Options
    {
        std::string name;
        Endpoint listen;
        std::map<std::string, Endpoint> members; // The other instances of the group.
        int slots = 3;
        int connections = 20;
        Millis service = Millis(1);
        Millis connect = Millis(0);
        Millis replicationInterval = Millis(2);
        Millis replicationDelay = Millis(0);
        std::string dataFile; // Empty: nothing is kept.
    };

    TargetServer(EventLoop *loop, Options options);

    // Reads the data file and listens. False and a reason if that fails.
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
        std::uint64_t sentLast = 0; // Log length covered by the last message.
        Millis lastSent;
    };

    void handle(const HttpRequest &request, const Respond &respond);
    void route(const HttpRequest &request, const Respond &respond);
    void admit(std::uint64_t connection, const Respond &respond);
    void enqueueStatement(const HttpRequest &request, const Respond &respond);
    void runQueue();
    void finishStatement(const HttpRequest &request, const Respond &respond);
    ExecuteAnswer runStatement(const HttpRequest &request, bool *wrote);
    std::string statusText() const;
    std::string follow(const std::string &body);
    std::string promote(const std::string &body);
    HttpResponse control(const std::string &body);
    HttpResponse rows(const std::string &target) const;
    std::string replicate(const std::string &body);
    void replicateTo(const std::string &member);
    void sendReplication(const std::string &member, const ReplicateRequest &request);
    void onClosed(std::uint64_t connection);
    bool isCut(const HttpRequest &request) const;
    bool load(Reason *reason);
    void persist();

    EventLoop *m_loop;
    Options m_options;
    TargetInstance m_instance;
    SteadyClock m_clock;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, Peer> m_peers;
    std::set<std::uint64_t> m_admitted;
    std::set<std::uint64_t> m_silent;
    std::deque<std::function<void()>> m_queue;
    int m_running = 0;
    std::set<std::string> m_cutFrom;
    std::string m_slowMember; // Replication to it takes m_memberDelay.
    Millis m_memberDelay;
    Millis m_answerDelay;
    int m_loseAnswers = 0;
    bool m_leaving = false;
    std::ofstream m_data;
    std::uint64_t m_persistedTerm = 0;
    std::vector<LogEntry> m_persistedLog;
};

} // namespace cicadagap
