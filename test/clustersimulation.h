// A deterministic simulation of a whole system in simulated time: three data centres with one host
// and one instance each, and a network between them. Faults can be injected: processes can be
// killed and suspended, and links cut. The code under test makes all decisions (RequestFlow,
// Gateway, GroupMonitor, the codecs); only sockets and clocks are replaced.
//
//     ClusterSimulation simulation({.seed = 7});
//     simulation.start();
//     simulation.request("h1", write, [](const GatewayReply &reply) { ... });
//     simulation.killInstance("t1");
//     simulation.run(Millis(5000));
//
// Not thread-safe.
#pragma once

#include "eventqueue.h"

#include "base/hash.h"
#include "connection/gateway.h"
#include "process/groupmonitor.h"
#include "request/requestflow.h"
#include "standin_core/targetinstance.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// A caller's request to a host.
struct TestRequest
{
    FlowRequest flow;
    std::string operations;
    std::string transaction;
};

class ClusterSimulation
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        Millis localDelay = Millis(1);   // One way, inside a data centre.
        Millis remoteDelay = Millis(12); // One way, between data centres.
        Millis replicationInterval
            = Millis(2);                // Between checks whether there is something to send.
        Millis serviceTime = Millis(1); // Of a statement at an instance.
        bool watch = true;              // Whether the hosts' group monitors act.
    };

    using Done = std::function<void(const GatewayReply &)>;

    explicit ClusterSimulation(Options options);
    ~ClusterSimulation();
    ClusterSimulation(const ClusterSimulation &) = delete;
    ClusterSimulation &operator=(const ClusterSimulation &) = delete;

    // Runs until every host knows a primary, at most 20 s.
    void start();
    void run(Millis duration);
    // Runs until `condition` holds; false if it does not hold after `limit`.
    bool runUntil(const std::function<bool()> &condition, Millis limit);
    Millis now() const { return m_now; }
    // Schedules `function`.
    void after(Millis delay, std::function<void()> function);

    // Instances are named "t1" to "t3", hosts "h1" to "h3", data centres "d1" to "d3"; equal
    // numbers belong together.
    //
    // `done` is called exactly once: with NotRun if the host is down, and with MayHaveRun if it has
    // not replied shortly after the deadline.
    void request(const std::string &host, const TestRequest &request, const Done &done);
    GatewayReply requestAndWait(const std::string &host, const TestRequest &request);

    void killInstance(const std::string &name);
    void restartInstance(const std::string &name);
    void killHost(const std::string &name);
    void restartHost(const std::string &name);
    // Suspends a process (host or instance) and continues it.
    void freeze(const std::string &process);
    void thaw(const std::string &process);
    // Cuts the link between two data centres.
    void cut(const std::string &left, const std::string &right);
    // Cuts the data centre's links to both others.
    void isolate(const std::string &dataCentre);
    // Restores all links.
    void heal();
    void delayReplication(const std::string &instance, Millis delay);
    // The answers to the next `count` writes are lost.
    void loseAnswers(const std::string &instance, int count);
    // Statements on the connections that are open now get no answer and do not run.
    void silence(const std::string &instance);
    void setLeaving(const std::string &instance, bool leaving);

    // The primary with the highest term; empty if there is none.
    std::string primary() const;
    TargetInstance &instance(const std::string &name);
    const GroupView &view(const std::string &host) const;
    Gateway *gateway(const std::string &host, const std::string &instance);
    // The number of changes of primary that were announced so far.
    int changes() const { return m_changes; }
    // The events for the golden files, one line each.
    const std::vector<std::string> &trace() const { return m_trace; }
    // Adds a line to the trace.
    void note(const std::string &line);

private:
    struct Process;
    struct Host;
    struct Node;
    struct Call;
    // A call from one process to another: the receiver handles the body and replies; the sender
    // gets the reply, or nothing and whether the call was sent.
    using Reply = std::function<void(const std::string &)>;
    using Handler = std::function<void(const std::string &body, const Reply &reply)>;
    using Result = std::function<void(const std::optional<std::string> &, bool sent)>;

    Process &process(const std::string &name);
    bool connected(const std::string &from, const std::string &to);
    Millis delay(const std::string &from, const std::string &to);
    void deliver(const std::string &from, const std::string &to, std::function<void()> function);
    void runInProcess(const std::string &name, const std::function<void()> &function);
    void call(const std::string &from, const std::string &to, const std::string &body,
              Millis timeout, const Handler &handler, const Result &result);
    void failCallOnSilence(std::uint64_t id, const std::string &from, const std::string &to,
                           Millis lastReceivedAt, const Result &finish);
    void failCallsTo(const std::string &process);
    void scheduleTicks(const std::string &name, Millis period,
                       const std::function<void()> &function);

    void startHost(Host *host);
    void buildGateways(Host *host);
    void applyAnnouncement(Host *host, std::uint64_t term, const std::string &primary);
    void carryOutActions(Host *host, const std::string &instance, const GatewayActions &actions);
    void callTarget(Host *host, const std::string &instance, const TargetCall &call);
    void submit(Host *host, const std::string &instance, GatewayRequest work, const Done &done);
    void carryOutMonitorActions(Host *host, const std::vector<MonitorAction> &actions);
    void announce(Host *host, std::uint64_t term, const std::string &primary);
    void replicate(Node *node, const std::string &member);
    std::string statusOf(const Node &node) const;
    void execute(Node *node, std::uint64_t connection, const TargetCall &call,
                 const std::string &body, const Reply &reply);

    struct RunningFlow;
    void act(const std::shared_ptr<RunningFlow> &flow, const FlowAction &action);
    void onReply(const std::shared_ptr<RunningFlow> &flow, const GatewayReply &reply);

    Options m_options;
    Random m_random;
    Millis m_now = Millis(1000);
    EventQueue m_events;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::uint64_t, std::shared_ptr<Call>> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastConnection = 0;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::uint64_t m_highestAnnouncedTerm = 0;
    int m_changes = 0;
    std::vector<std::string> m_trace;
};

// Operations as JSON text.
std::string appendOperation(const std::string &key, const std::string &value);
std::string readOperation(const std::string &key);
// The values in the JSON text of a single read's results.
std::vector<std::string> valuesIn(const std::string &results);

} // namespace cicadagap
