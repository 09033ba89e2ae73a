#include "clustersimulation.h"

#include "connection/wire.h"
#include "standin_core/targetcodec.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr Millis TickPeriod(10);
constexpr Millis StatusTimeout(700);
constexpr Millis ConnectTimeout(500);
constexpr Millis Heartbeat(50);
constexpr Millis ReannounceInterval(300);
constexpr Millis PingInterval(250);
constexpr Millis SilenceLimit(1000);

std::string dataCentreOf(const std::string &process)
{
    return "d" + process.substr(1);
}

} // namespace

struct ClusterSimulation::Process
{
    bool down = false;
    bool frozen = false;
    std::uint64_t epoch = 0;                     // Increases when the process is killed.
    std::vector<std::function<void()>> deferred; // What arrived while it was suspended.
};

struct ClusterSimulation::Host
{
    std::string name;
    GroupView view;
    std::map<std::string, std::unique_ptr<Gateway>> gateways;
    // By instance, the instance's id of each connection by the gateway's id of it.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> connections;
    std::unique_ptr<RouteHistory> memory;
    std::vector<std::weak_ptr<RunningFlow>> flows;
    std::unique_ptr<RetryBudget> budget;
    std::unique_ptr<GroupMonitor> monitor;
    std::map<std::uint64_t, Done> waiting;
    std::uint64_t lastWork = 0;
    Millis nextReannounce;
};

struct ClusterSimulation::Node
{
    std::string name;
    std::unique_ptr<TargetInstance> instance;
    std::set<std::uint64_t> openConnections;
    std::set<std::uint64_t> silencedConnections;
    std::map<std::string, bool> inFlight;
    // By member, the log length that was sent last, and when.
    std::map<std::string, std::pair<std::uint64_t, Millis>> sent;
    Millis replicationDelay;
    int loseAnswers = 0;
    bool leaving = false;
};

struct ClusterSimulation::Call
{
    std::string to;
    Result result;
};

struct ClusterSimulation::RunningFlow
{
    std::string host;
    std::uint64_t epoch = 0;
    TestRequest request;
    std::unique_ptr<RequestFlow> flow;
    Done done;
};

ClusterSimulation::ClusterSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        m_processes["t" + number] = std::make_unique<Process>();
        m_processes["h" + number] = std::make_unique<Process>();
        auto node = std::make_unique<Node>();
        node->name = "t" + number;
        node->instance = std::make_unique<TargetInstance>(TargetInstance::Options{node->name});
        m_nodes[node->name] = std::move(node);
        auto host = std::make_unique<Host>();
        host->name = "h" + number;
        m_hosts[host->name] = std::move(host);
    }
    for (const auto &node : m_nodes) {
        scheduleTicks(node.first, m_options.replicationInterval, [this, node = node.second.get()] {
            for (const auto &other : m_nodes) {
                if (other.first != node->name)
                    replicate(node, other.first);
            }
        });
    }
    for (const auto &host : m_hosts)
        startHost(host.second.get());
}

ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::start()
{
    runUntil(
        [this] {
            return std::all_of(m_hosts.begin(), m_hosts.end(),
                               [](const auto &host) { return !host.second->view.primary.empty(); });
        },
        Millis(20'000));
}

void ClusterSimulation::run(Millis duration)
{
    runUntil([] { return false; }, duration);
}

bool ClusterSimulation::runUntil(const std::function<bool()> &condition, Millis limit)
{
    const Millis end = m_now + limit;
    while (!condition()) {
        const std::optional<EventQueue::Event> event = m_events.takeUntil(end);
        if (!event) {
            m_now = end;
            return condition();
        }
        m_now = std::max(m_now, event->when);
        event->function();
    }
    return true;
}

void ClusterSimulation::after(Millis delay, std::function<void()> function)
{
    m_events.at(m_now + delay, std::move(function));
}

void ClusterSimulation::request(const std::string &host, const TestRequest &request,
                                const Done &done)
{
    Process &target = process(host);
    if (target.down) {
        after(Millis(1), [done] { done({Verdict::NotRun, Cause::Unreachable}); });
        return;
    }
    auto running = std::make_shared<RunningFlow>();
    running->host = host;
    running->epoch = target.epoch;
    running->request = request;
    running->done = done;
    // The host that serves the caller may be killed. Then the caller does not know the outcome.
    after(request.flow.deadline - m_now + Millis(200), [running] {
        if (const Done pending = std::exchange(running->done, nullptr))
            pending({Verdict::MayHaveRun, Cause::ConnectionLost});
    });
    runInProcess(host, [this, running] {
        Host &entry = *m_hosts.at(running->host);
        running->flow = std::make_unique<RequestFlow>(running->request.flow,
                                                      dataCentreOf(running->host), m_random.next());
        entry.budget->onFirstAttempt();
        entry.flows.push_back(running);
        act(running, running->flow->start(m_now, entry.view, *entry.memory));
    });
}

GatewayReply ClusterSimulation::requestAndWait(const std::string &host, const TestRequest &request)
{
    std::optional<GatewayReply> answer;
    this->request(host, request, [&answer](const GatewayReply &reply) { answer = reply; });
    runUntil([&answer] { return answer.has_value(); }, Millis(60'000));
    return answer.value_or(GatewayReply{Verdict::MayHaveRun, Cause::Timeout});
}

void ClusterSimulation::killInstance(const std::string &name)
{
    note("kill " + name);
    process(name).down = true;
    ++process(name).epoch;
    process(name).deferred.clear();
    failCallsTo(name);
}

void ClusterSimulation::restartInstance(const std::string &name)
{
    note("restart " + name);
    Node &node = *m_nodes.at(name);
    const std::uint64_t term = node.instance->term();
    const std::vector<LogEntry> log = node.instance->log();
    node.instance = std::make_unique<TargetInstance>(TargetInstance::Options{name});
    node.instance->restore(term, log);
    node.openConnections.clear();
    node.silencedConnections.clear();
    node.inFlight.clear();
    process(name).down = false;
    process(name).frozen = false;
}

void ClusterSimulation::killHost(const std::string &name)
{
    note("kill " + name);
    process(name).down = true;
    ++process(name).epoch;
    process(name).deferred.clear();
    failCallsTo(name);
    // The instances notice that the host's connections were closed.
    for (const auto &instance : m_hosts.at(name)->connections) {
        for (const auto &connection : instance.second) {
            m_nodes.at(instance.first)->openConnections.erase(connection.second);
            m_nodes.at(instance.first)->instance->onClosed(connection.second);
        }
    }
}

void ClusterSimulation::restartHost(const std::string &name)
{
    note("restart " + name);
    process(name).down = false;
    process(name).frozen = false;
    startHost(m_hosts.at(name).get());
}

void ClusterSimulation::freeze(const std::string &process)
{
    note("freeze " + process);
    this->process(process).frozen = true;
}

void ClusterSimulation::thaw(const std::string &process)
{
    note("thaw " + process);
    Process &target = this->process(process);
    target.frozen = false;
    const auto deferred = std::exchange(target.deferred, {});
    for (const auto &function : deferred)
        function();
}

void ClusterSimulation::cut(const std::string &left, const std::string &right)
{
    note("cut " + left + " " + right);
    m_cutLinks.insert(std::minmax(left, right));
}

void ClusterSimulation::isolate(const std::string &dataCentre)
{
    for (const std::string other : {"d1", "d2", "d3"}) {
        if (other != dataCentre)
            cut(dataCentre, other);
    }
}

void ClusterSimulation::heal()
{
    note("heal");
    m_cutLinks.clear();
}

void ClusterSimulation::delayReplication(const std::string &instance, Millis delay)
{
    m_nodes.at(instance)->replicationDelay = delay;
}

void ClusterSimulation::loseAnswers(const std::string &instance, int count)
{
    m_nodes.at(instance)->loseAnswers = count;
}

void ClusterSimulation::silence(const std::string &instance)
{
    Node &node = *m_nodes.at(instance);
    node.silencedConnections = node.openConnections;
}

void ClusterSimulation::setLeaving(const std::string &instance, bool leaving)
{
    m_nodes.at(instance)->leaving = leaving;
}

std::string ClusterSimulation::primary() const
{
    std::string name;
    std::uint64_t term = 0;
    for (const auto &node : m_nodes) {
        const TargetInstanceStatus status = node.second->instance->status();
        if (status.primary && status.term > term) {
            term = status.term;
            name = status.name;
        }
    }
    return name;
}

TargetInstance &ClusterSimulation::instance(const std::string &name)
{
    return *m_nodes.at(name)->instance;
}

const GroupView &ClusterSimulation::view(const std::string &host) const
{
    return m_hosts.at(host)->view;
}

Gateway *ClusterSimulation::gateway(const std::string &host, const std::string &instance)
{
    return m_hosts.at(host)->gateways.at(instance).get();
}

void ClusterSimulation::note(const std::string &line)
{
    m_trace.push_back(line);
}

ClusterSimulation::Process &ClusterSimulation::process(const std::string &name)
{
    return *m_processes.at(name);
}

bool ClusterSimulation::connected(const std::string &from, const std::string &to)
{
    return !m_cutLinks.contains(std::minmax(dataCentreOf(from), dataCentreOf(to)));
}

Millis ClusterSimulation::delay(const std::string &from, const std::string &to)
{
    const bool sameDataCentre = dataCentreOf(from) == dataCentreOf(to);
    const Millis base = sameDataCentre ? m_options.localDelay : m_options.remoteDelay;
    return base + Millis(static_cast<std::int64_t>(m_random.below(2)));
}

void ClusterSimulation::deliver(const std::string &from, const std::string &to,
                                std::function<void()> function)
{
    if (!connected(from, to))
        return;
    const std::uint64_t epoch = process(to).epoch;
    after(delay(from, to), [this, from, to, epoch, function = std::move(function)] {
        if (connected(from, to) && process(to).epoch == epoch)
            runInProcess(to, function);
    });
}

void ClusterSimulation::runInProcess(const std::string &name, const std::function<void()> &function)
{
    Process &target = process(name);
    if (target.down)
        return;
    if (target.frozen)
        target.deferred.push_back(function);
    else
        function();
}

void ClusterSimulation::call(const std::string &from, const std::string &to,
                             const std::string &body, Millis timeout, const Handler &handler,
                             const Result &result)
{
    const std::uint64_t id = ++m_lastCall;
    const std::uint64_t epoch = process(from).epoch;
    m_calls[id] = std::make_shared<Call>(Call{to, result});
    const auto finish
        = [this, id, from, epoch](const std::optional<std::string> &answer, bool sent) {
              const auto found = m_calls.find(id);
              if (found == m_calls.end())
                  return;
              const auto call = found->second;
              m_calls.erase(found);
              if (process(from).epoch == epoch)
                  call->result(answer, sent);
          };
    after(timeout,
          [this, from, finish] { runInProcess(from, [finish] { finish(std::nullopt, true); }); });
    if (to.front() == 'h')
        failCallOnSilence(id, from, to, m_now, finish);
    if (process(to).down && connected(from, to)) {
        after(delay(from, to), [this, from, finish] {
            runInProcess(from, [finish] { finish(std::nullopt, false); });
        });
        return;
    }
    deliver(from, to, [this, from, to, body, handler, finish] {
        handler(body, [this, from, to, finish](const std::string &answer) {
            deliver(to, from, [finish, answer] { finish(answer, true); });
        });
    });
}

// Fails a call between hosts once the other side has been silent for SilenceLimit, as PeerClient
// does.
void ClusterSimulation::failCallOnSilence(std::uint64_t id, const std::string &from,
                                          const std::string &to, Millis lastReceivedAt,
                                          const Result &finish)
{
    after(PingInterval, [this, id, from, to, lastReceivedAt, finish] {
        if (!m_calls.contains(id))
            return;
        const Process &other = process(to);
        const bool alive = connected(from, to) && !other.frozen && !other.down;
        const Millis lastReceived = alive ? m_now : lastReceivedAt;
        if (m_now - lastReceived >= SilenceLimit)
            runInProcess(from, [finish] { finish(std::nullopt, true); });
        else
            failCallOnSilence(id, from, to, lastReceived, finish);
    });
}

void ClusterSimulation::failCallsTo(const std::string &process)
{
    std::vector<std::shared_ptr<Call>> broken;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        if (it->second->to == process) {
            broken.push_back(it->second);
            it = m_calls.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &call : broken)
        after(Millis(1), [call] { call->result(std::nullopt, true); });
}

void ClusterSimulation::scheduleTicks(const std::string &name, Millis period,
                                      const std::function<void()> &function)
{
    after(period, [this, name, period, function] {
        const Process &target = process(name);
        if (!target.down && !target.frozen)
            function();
        scheduleTicks(name, period, function);
    });
}

void ClusterSimulation::startHost(Host *host)
{
    host->view = GroupView{};
    for (const auto &node : m_nodes) {
        const std::string local = "h" + node.first.substr(1);
        std::vector<std::string> gateways{local};
        for (const auto &other : m_hosts) {
            if (other.first != local)
                gateways.push_back(other.first);
        }
        host->view.instances.push_back({node.first, dataCentreOf(node.first), false, gateways});
    }
    host->waiting.clear();
    host->connections.clear();
    host->memory = std::make_unique<RouteHistory>();
    host->flows.clear();
    host->budget = std::make_unique<RetryBudget>(10, 100);
    GroupMonitor::Options options;
    options.group = "team/group";
    options.dataCentre = dataCentreOf(host->name);
    for (const auto &node : m_nodes)
        options.instances[node.first] = dataCentreOf(node.first);
    options.rank = host->name.back() - '1';
    options.monitorDataCentres = m_hosts.size();
    host->monitor = std::make_unique<GroupMonitor>(options);
    buildGateways(host);
    const std::uint64_t epoch = process(host->name).epoch;
    scheduleTicks(host->name, TickPeriod, [this, host, epoch] {
        if (process(host->name).epoch != epoch)
            return;
        for (const auto &gateway : host->gateways)
            carryOutActions(host, gateway.first, gateway.second->onTick(m_now));
        if (m_options.watch)
            carryOutMonitorActions(host, host->monitor->onTick(m_now));
        if (!host->view.primary.empty() && m_now >= host->nextReannounce) {
            host->nextReannounce = m_now + ReannounceInterval;
            announce(host, host->view.term, host->view.primary);
        }
    });
}

void ClusterSimulation::buildGateways(Host *host)
{
    host->gateways.clear();
    for (const auto &node : m_nodes) {
        Gateway::Options options;
        options.instance = node.first;
        options.queue.classes = {{"top", true, 1}, {"default", false, 1}};
        options.reservedSlots = 1;
        options.transactionPrefix
            = host->name + "~" + node.first + "~" + std::to_string(process(host->name).epoch) + ".";
        host->gateways[node.first] = std::make_unique<Gateway>(options);
    }
}

void ClusterSimulation::applyAnnouncement(Host *host, std::uint64_t term,
                                          const std::string &primary)
{
    if (term <= host->view.term)
        return;
    host->view.term = term;
    host->view.primary = primary;
    host->monitor->onAnnounced(m_now, term, primary);
    for (const auto &gateway : host->gateways)
        carryOutActions(host, gateway.first,
                        gateway.second->setRole(m_now, term, gateway.first == primary, false));
    const auto flows = std::exchange(host->flows, {});
    for (const auto &weak : flows) {
        const auto flow = weak.lock();
        if (!flow || !flow->done)
            continue;
        host->flows.push_back(flow);
        const auto action
            = flow->flow->onViewChanged(m_now, host->view, host->budget.get(), *host->memory);
        if (action)
            act(flow, *action);
    }
}

void ClusterSimulation::carryOutActions(Host *host, const std::string &instance,
                                        const GatewayActions &actions)
{
    const std::string &name = host->name;
    for (const GatewayAction &action : actions) {
        if (const auto *opening = std::get_if<OpenConnection>(&action)) {
            const std::uint64_t gatewayConnection = opening->connection;
            const std::uint64_t instanceConnection = ++m_lastConnection;
            call(
                name, instance, "", ConnectTimeout,
                [this, instance, instanceConnection](const std::string &, const Reply &reply) {
                    m_nodes.at(instance)->openConnections.insert(instanceConnection);
                    reply("");
                },
                [this, host, instance, gatewayConnection,
                 instanceConnection](const std::optional<std::string> &answer, bool) {
                    Gateway &gateway = *host->gateways.at(instance);
                    if (!answer) {
                        carryOutActions(host, instance,
                                        gateway.onOpenFailed(m_now, gatewayConnection));
                        return;
                    }
                    host->connections[instance][gatewayConnection] = instanceConnection;
                    carryOutActions(host, instance, gateway.onOpened(m_now, gatewayConnection));
                });
        } else if (const auto *closing = std::get_if<CloseConnection>(&action)) {
            const std::uint64_t instanceConnection
                = host->connections[instance][closing->connection];
            host->connections[instance].erase(closing->connection);
            deliver(name, instance, [this, instance, instanceConnection] {
                m_nodes.at(instance)->openConnections.erase(instanceConnection);
                m_nodes.at(instance)->instance->onClosed(instanceConnection);
            });
        } else if (const auto *targetCall = std::get_if<TargetCall>(&action)) {
            callTarget(host, instance, *targetCall);
        } else if (const auto *send = std::get_if<SendReply>(&action)) {
            const auto found = host->waiting.find(send->work);
            if (found == host->waiting.end())
                continue;
            const Done done = std::move(found->second);
            host->waiting.erase(found);
            after(Millis(), [done, reply = send->reply] { done(reply); });
        } else if (const auto *poll = std::get_if<PollStatus>(&action)) {
            after(poll->delay, [this, host, instance, epoch = process(name).epoch] {
                if (process(host->name).epoch != epoch)
                    return;
                const Millis sentAt = m_now;
                call(
                    host->name, instance, "", StatusTimeout,
                    [this, instance](const std::string &, const Reply &reply) {
                        reply(statusOf(*m_nodes.at(instance)));
                    },
                    [this, host, instance, sentAt](const std::optional<std::string> &answer, bool) {
                        Gateway &gateway = *host->gateways.at(instance);
                        const auto report = answer ? decodeReport(*answer, nullptr) : std::nullopt;
                        carryOutActions(host, instance,
                                        report ? gateway.onStatus(m_now, sentAt, *report)
                                               : gateway.onStatusFailed(m_now));
                    });
            });
        } else if (std::holds_alternative<FetchPositionSample>(action)) {
            const std::string primary = host->view.primary;
            const std::string holder = "h" + primary.substr(primary.empty() ? 0 : 1);
            if (primary.empty())
                continue;
            const Millis sentAt = m_now;
            call(
                name, holder, "", StatusTimeout,
                [this, holder, primary](const std::string &, const Reply &reply) {
                    Host *other = m_hosts.at(holder).get();
                    Gateway &gateway = *other->gateways.at(primary);
                    carryOutActions(other, primary, gateway.onPositionSampleRequested(m_now));
                    const auto newest = gateway.replicaAge().newestSample();
                    if (!newest)
                        return;
                    reply(json::serialize(json::object{
                        {"last", encodePosition(gateway.replicaAge().newestPosition())},
                        {"ageMs", (m_now - *newest).count()}}));
                },
                [this, host, instance, sentAt](const std::optional<std::string> &answer, bool) {
                    const auto object = answer ? parseObject(*answer, nullptr) : std::nullopt;
                    if (!object)
                        return;
                    const Millis age(numberMember(*object, "ageMs"));
                    carryOutActions(host, instance,
                                    host->gateways.at(instance)->onPositionSample(
                                        m_now, sentAt - age, decodePosition(*object, "last")));
                });
        } else if (m_options.watch) {
            carryOutMonitorActions(host, host->monitor->onFailureReport(m_now, instance));
        }
    }
}

void ClusterSimulation::callTarget(Host *host, const std::string &instance,
                                   const TargetCall &targetCall)
{
    const auto connection = host->connections[instance].find(targetCall.connection);
    if (connection == host->connections[instance].end())
        return;
    const std::uint64_t instanceConnection = connection->second;
    call(
        host->name, instance, encodeTargetCall(targetCall, Millis(1'000'000'000)),
        targetCall.timeout,
        [this, instance, instanceConnection, targetCall](const std::string &body,
                                                         const Reply &reply) {
            Node *node = m_nodes.at(instance).get();
            // On a silenced connection, or one that the instance lost by a restart, nothing runs
            // and no answer is sent.
            if (node->silencedConnections.contains(instanceConnection)
                || !node->openConnections.contains(instanceConnection))
                return;
            after(m_options.serviceTime,
                  [this, node, instanceConnection, targetCall, body, reply,
                   epoch = process(instance).epoch] {
                      if (process(node->name).epoch != epoch)
                          return;
                      runInProcess(node->name,
                                   [this, node, instanceConnection, targetCall, body, reply] {
                                       execute(node, instanceConnection, targetCall, body, reply);
                                   });
                  });
        },
        [this, host, instance, targetCall](const std::optional<std::string> &answer, bool sent) {
            Gateway &gateway = *host->gateways.at(instance);
            const auto decoded
                = answer ? decodeTargetAnswer(targetCall, *answer, nullptr) : std::nullopt;
            if (decoded) {
                carryOutActions(host, instance,
                                gateway.onAnswer(m_now, targetCall.connection, *decoded));
                return;
            }
            const std::uint64_t instanceConnection
                = host->connections[instance][targetCall.connection];
            host->connections[instance].erase(targetCall.connection);
            deliver(host->name, instance, [this, instance, instanceConnection] {
                m_nodes.at(instance)->openConnections.erase(instanceConnection);
                m_nodes.at(instance)->instance->onClosed(instanceConnection);
            });
            carryOutActions(host, instance,
                            gateway.onConnectionLost(m_now, targetCall.connection, sent));
        });
}

void ClusterSimulation::execute(Node *node, std::uint64_t connection, const TargetCall &targetCall,
                                const std::string &body, const Reply &reply)
{
    const auto request = decodeExecute(body, nullptr);
    const Position before = node->instance->last();
    ExecuteAnswer answer;
    switch (targetCall.kind) {
    case TargetCallKind::Begin:
        answer = node->instance->begin(connection, request->term);
        break;
    case TargetCallKind::Commit:
        answer = node->instance->commit(connection, request->operations);
        break;
    case TargetCallKind::Rollback:
        answer = node->instance->rollback(connection);
        break;
    case TargetCallKind::Ping:
        answer.position = before;
        break;
    case TargetCallKind::Execute:
    case TargetCallKind::ReadLedger:
        answer = node->instance->execute(connection, *request);
        break;
    }
    if (node->instance->last() != before && node->loseAnswers > 0) {
        --node->loseAnswers;
        return;
    }
    reply(encodeExecuteAnswer(answer));
}

void ClusterSimulation::submit(Host *host, const std::string &instance, GatewayRequest work,
                               const Done &done)
{
    work.id = ++host->lastWork;
    host->waiting[work.id] = done;
    Gateway &gateway = *host->gateways.at(instance);
    carryOutActions(host, instance, gateway.submit(m_now, std::move(work)));
}

void ClusterSimulation::carryOutMonitorActions(Host *host,
                                               const std::vector<MonitorAction> &actions)
{
    const std::string name = host->name;
    for (const MonitorAction &action : actions) {
        const std::string instance = action.instance;
        const auto continueMonitor = [this, host](const std::vector<MonitorAction> &next) {
            carryOutMonitorActions(host, next);
        };
        switch (action.step) {
        case MonitorStep::Probe:
            call(
                name, instance, "", StatusTimeout,
                [this, instance](const std::string &, const Reply &reply) {
                    reply(statusOf(*m_nodes.at(instance)));
                },
                [this, host, instance, continueMonitor, newConnection = action.newConnection](
                    const std::optional<std::string> &answer, bool) {
                    const auto report = answer ? decodeReport(*answer, nullptr) : std::nullopt;
                    continueMonitor(
                        host->monitor->onProbed(m_now, instance, newConnection, report));
                });
            break;
        case MonitorStep::SuspicionVote:
            for (const auto &other : m_hosts) {
                if (other.first == name)
                    continue;
                deliver(name, other.first, [this, to = other.second.get(), name, action] {
                    carryOutMonitorActions(to,
                                           to->monitor->onSuspicionVote(m_now, dataCentreOf(name),
                                                                        action.term,
                                                                        action.suspect));
                });
            }
            break;
        case MonitorStep::Seal:
        case MonitorStep::Follow: {
            const bool seal = action.step == MonitorStep::Seal;
            call(
                name, instance, "", StatusTimeout,
                [this, instance, action, seal](const std::string &, const Reply &reply) {
                    const auto follows
                        = seal ? std::nullopt : std::optional<std::string>(action.primary);
                    const FollowAnswer answer
                        = m_nodes.at(instance)->instance->follow(action.term, follows);
                    reply(json::serialize(json::object{{"accepted", answer.accepted},
                                                       {"term", answer.term},
                                                       {"last", encodePosition(answer.last)}}));
                },
                [this, host, instance, continueMonitor,
                 seal](const std::optional<std::string> &answer, bool) {
                    const auto object = answer ? parseObject(*answer, nullptr) : std::nullopt;
                    if (!seal || !object)
                        return;
                    continueMonitor(host->monitor->onSealed(
                        m_now, instance, flagMember(*object, "accepted"),
                        static_cast<std::uint64_t>(numberMember(*object, "term")),
                        decodePosition(*object, "last")));
                });
            break;
        }
        case MonitorStep::Promote:
            call(
                name, instance, "", StatusTimeout,
                [this, instance, term = action.term](const std::string &, const Reply &reply) {
                    std::vector<std::string> members;
                    for (const auto &node : m_nodes)
                        members.push_back(node.first);
                    const bool accepted = m_nodes.at(instance)->instance->promote(term, members);
                    reply(accepted ? "yes" : "no");
                },
                [this, host, instance, continueMonitor](const std::optional<std::string> &answer,
                                                        bool) {
                    if (answer)
                        continueMonitor(
                            host->monitor->onPromoted(m_now, instance, *answer == "yes"));
                });
            break;
        case MonitorStep::Announce:
            if (action.term > m_highestAnnouncedTerm) {
                m_highestAnnouncedTerm = action.term;
                ++m_changes;
                note("primary " + action.primary + " in term " + std::to_string(action.term));
            }
            applyAnnouncement(host, action.term, action.primary);
            announce(host, action.term, action.primary);
            break;
        }
    }
}

void ClusterSimulation::announce(Host *host, std::uint64_t term, const std::string &primary)
{
    for (const auto &other : m_hosts) {
        if (other.first == host->name)
            continue;
        deliver(host->name, other.first, [this, to = other.second.get(), term, primary] {
            applyAnnouncement(to, term, primary);
        });
    }
}

void ClusterSimulation::replicate(Node *node, const std::string &member)
{
    auto &sent = node->sent[member];
    const bool due = m_now - sent.second >= Heartbeat || sent.first != node->instance->log().size();
    if (node->inFlight[member] || !due)
        return;
    const auto request = node->instance->replicationFor(member);
    if (!request)
        return;
    node->inFlight[member] = true;
    sent = {request->previous.index + request->entries.size(), m_now};
    const std::uint64_t epoch = process(node->name).epoch;
    after(node->replicationDelay, [this, node, member, request = *request, epoch] {
        if (process(node->name).epoch != epoch)
            return;
        call(
            node->name, member, encodeReplicate(request), Millis(1000),
            [this, member](const std::string &body, const Reply &reply) {
                const auto decoded = decodeReplicate(body, nullptr);
                reply(encodeReplicateAnswer(m_nodes.at(member)->instance->onReplicate(*decoded)));
            },
            [this, node, member](const std::optional<std::string> &answer, bool) {
                node->inFlight[member] = false;
                const auto decoded
                    = answer ? decodeReplicateAnswer(*answer, nullptr) : std::nullopt;
                if (!decoded || !decoded->accepted)
                    node->sent[member].first = 0;
                if (decoded)
                    node->instance->onReplicateAnswer(member, *decoded, m_now);
            });
    });
}

std::string ClusterSimulation::statusOf(const Node &node) const
{
    const TargetInstanceStatus status = node.instance->status();
    InstanceReport report;
    report.name = status.name;
    report.primary = status.primary;
    report.leaving = node.leaving;
    report.term = status.term;
    report.following = status.following;
    report.last = status.last;
    for (const ReplicaReport &replica : status.replicas)
        report.replicas.push_back(
            {replica.name, replica.term, replica.last, m_now - replica.lastContactAt});
    return encodeReport(report);
}

void ClusterSimulation::act(const std::shared_ptr<RunningFlow> &flow, const FlowAction &action)
{
    const std::string host = flow->host;
    if (process(host).epoch != flow->epoch)
        return;
    if (action.step == FlowStep::Finish) {
        if (const Done done = std::exchange(flow->done, nullptr))
            done(action.reply);
        return;
    }
    if (action.step == FlowStep::Wait) {
        after(std::max(Millis(1), action.wakeAt - m_now),
              [this, flow, host, attempt = flow->flow->attempts()] {
                  runInProcess(host, [this, flow, host, attempt] {
                      const Host &entry = *m_hosts.at(host);
                      if (flow->flow->attempts() == attempt)
                          act(flow, flow->flow->onWake(m_now, entry.view, *entry.memory));
                  });
              });
        return;
    }
    GatewayRequest work;
    work.kind = action.kind;
    work.write = flow->request.flow.write;
    work.replicaAllowed = action.replica;
    work.operations = flow->request.operations;
    work.requestId = flow->request.flow.requestId;
    work.requiredPosition = flow->request.flow.token.value_or(Position{});
    work.maxAge = flow->request.flow.maxAge;
    work.transaction = flow->request.transaction;
    if (action.kind == RequestKind::OutcomeQuery) {
        work.transaction.clear();
        work.operations.clear();
    }
    const Millis budget = std::max(Millis(1), flow->request.flow.deadline - m_now);
    call(
        host, action.host, "", budget + Millis(50),
        [this, to = action.host, instance = action.instance, work, budget](const std::string &,
                                                                           const Reply &reply) {
            GatewayRequest local = work;
            local.deadline = m_now + budget;
            submit(m_hosts.at(to).get(), instance, local,
                   [reply](const GatewayReply &answer) { reply(encodeReply(answer)); });
        },
        [this, flow, attempt = flow->flow->attempts()](const std::optional<std::string> &answer,
                                                       bool sent) {
            if (!flow->done || flow->flow->attempts() != attempt)
                return;
            const auto reply = answer ? decodeReply(*answer, nullptr) : std::nullopt;
            if (reply)
                onReply(flow, *reply);
            else if (!sent)
                onReply(flow, {Verdict::NotRun, Cause::Unreachable});
            else
                onReply(flow, {Verdict::MayHaveRun, Cause::ConnectionLost});
        });
}

void ClusterSimulation::onReply(const std::shared_ptr<RunningFlow> &flow, const GatewayReply &reply)
{
    Host &entry = *m_hosts.at(flow->host);
    act(flow,
        flow->flow->onReply(m_now, entry.view, reply, entry.budget.get(), entry.memory.get()));
}

std::string appendOperation(const std::string &key, const std::string &value)
{
    return json::serialize(
        json::array{encodeOperation({OperationKind::Append, "rows", key, value})});
}

std::string readOperation(const std::string &key)
{
    return json::serialize(json::array{encodeOperation({OperationKind::Get, "rows", key, ""})});
}

std::vector<std::string> valuesIn(const std::string &results)
{
    std::vector<std::string> values;
    json::error_code error;
    const json::value parsed = json::parse(results, error);
    if (error || !parsed.is_array() || parsed.get_array().empty())
        return values;
    for (const json::value &value : parsed.get_array()[0].as_object().at("values").as_array())
        values.emplace_back(value.as_string().c_str());
    return values;
}

} // namespace cicadagap
