// Small fakes at the interfaces, in virtual time: three data centres with one host and one instance
// each, joined by a network that can be cut, slowed and frozen. The decisions are the product's own
// (RequestFlow, Gateway, GroupMonitor, the codecs); only sockets and clocks are replaced.
//
//     ClusterSimulation world({.seed = 7});
//     world.start();
//     world.request("h1", write, [](const GatewayReply &reply) { ... });
//     world.killInstance("t1");
//     world.run(Millis(5000));
#pragma once

#include "base/hash.h"
#include "connection/gateway.h"
#include "process/groupmonitor.h"
#include "request/requestflow.h"
#include "standin_core/targetinstance.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// What a caller asks of a host.
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
        Millis replicationInterval = Millis(2);
        Millis serviceTime = Millis(1);
        bool watch = true; // Whether the stewards act.
    };

    using Done = std::function<void(const GatewayReply &)>;

    explicit ClusterSimulation(Options options);
    ~ClusterSimulation();
    ClusterSimulation(const ClusterSimulation &) = delete;
    ClusterSimulation &operator=(const ClusterSimulation &) = delete;

    // Runs until every host knows a primary.
    void start();
    void run(Millis duration);
    // Runs until `condition` holds; false after `limit`.
    bool runUntil(const std::function<bool()> &condition, Millis limit);
    Millis now() const { return m_now; }
    void after(Millis delay, std::function<void()> function);

    // Instances are "t1" to "t3", hosts "h1" to "h3", data centres "d1" to "d3".
    void request(const std::string &host, const TestRequest &request, const Done &done);
    GatewayReply requestAndWait(const std::string &host, const TestRequest &request);

    void killInstance(const std::string &name);
    void restartInstance(const std::string &name);
    void killHost(const std::string &name);
    void restartHost(const std::string &name);
    void freeze(const std::string &process);
    void thaw(const std::string &process);
    void cut(const std::string &left, const std::string &right); // Two data centres.
    void isolate(const std::string &dataCentre);
    void heal(); // All cuts.
    void delayReplication(const std::string &instance, Millis delay);
    void loseAnswers(const std::string &instance, int count); // Of writes.
    void silence(const std::string &instance);                // Connections open now.
    void setLeaving(const std::string &instance, bool leaving);

    // The primary of the highest term any instance leads; empty if none.
    std::string primary() const;
    TargetInstance &instance(const std::string &name);
    const GroupView &view(const std::string &host) const;
    Gateway *gateway(const std::string &host, const std::string &instance);
    // Changes of primary announced so far.
    int changes() const { return m_changes; }
    // One line for each thing worth reading in a golden file.
    const std::vector<std::string> &trace() const { return m_trace; }
    void note(const std::string &line);

private:
    struct Process;
    struct Host;
    struct Node;
    struct Call;
    struct Event
    {
        Millis at;
        std::uint64_t order;
        std::function<void()> function;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    using Reply = std::function<void(const std::string &)>;
    using Handler = std::function<void(const std::string &body, const Reply &reply)>;
    using Result = std::function<void(const std::optional<std::string> &, bool sent)>;

    Process &process(const std::string &name);
    bool connected(const std::string &from, const std::string &to);
    Millis delay(const std::string &from, const std::string &to);
    void deliver(const std::string &from, const std::string &to, std::function<void()> function);
    void runIn(const std::string &name, const std::function<void()> &function);
    void call(const std::string &from, const std::string &to, const std::string &body,
              Millis timeout, const Handler &handler, const Result &result);
    void watchSilence(std::uint64_t id, const std::string &from, const std::string &to,
                      Millis heardAt, const Result &finish);
    void breakCalls(const std::string &process);
    void everyTick(const std::string &name, Millis period, const std::function<void()> &function);

    void startHost(Host *host);
    void buildGateways(Host *host);
    void learn(Host *host, std::uint64_t term, const std::string &primary);
    void carryOut(Host *host, const std::string &instance, const GatewayActions &actions);
    void callTarget(Host *host, const std::string &instance, const TargetCall &call);
    void submit(Host *host, const std::string &instance, GatewayRequest work, const Done &done);
    void runWatch(Host *host, const std::vector<MonitorAction> &actions);
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
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::uint64_t, std::shared_ptr<Call>> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastConnection = 0;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::uint64_t m_announced = 0;
    int m_changes = 0;
    std::vector<std::string> m_trace;
};

// Operations as JSON text.
std::string appendOperation(const std::string &key, const std::string &value);
std::string readOperation(const std::string &key);
// The values in the results of a single read.
std::vector<std::string> valuesIn(const std::string &results);

} // namespace cicadagap
