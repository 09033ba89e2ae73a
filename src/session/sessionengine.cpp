// The part of SessionEngine that handles events, instances, timeouts and shutdown. The part that
// runs statements is in sessionstatements.cpp.
#include "session/sessionengine.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Reads that wait for an instance that has left a request unanswered for longer are moved to
// another instance.
constexpr Millis SilentReadLimit(500);
// How long a command that is passed on may wait for a connection at the other host.
constexpr Millis RelayedCommandWait(300);
// Tells channels of relayed commands from those of connections.
constexpr ConnectionId RelayedCommandBit = ConnectionId(1) << 63;

} // namespace

SessionEngine::SessionEngine(Options options, SessionOutput *output)
    : m_options(std::move(options))
    , m_output(output)
    , m_hosts({.self = m_options.host})
    , m_control(
          output, [this] { return nextWork(); }, m_options.fencedPromotions)
    , m_pool(m_options.pool, output, this,
             [this](Millis now, const std::string &instance, const std::string &tenant) {
                 return chooseGateway(now, instance, tenant);
             })
    , m_relayGateway(
          &m_pool, [this] { return nextWork(); }, &m_control,
          [output](const RelayedStatementEvent &event) { output->logRelayedStatement(event); })
    , m_quota({.host = m_options.host, .start = m_options.start})
    , m_instances(m_options.instances)
    , m_choice(m_options.host)
{
    m_control.setPool(&m_pool);
    m_control.setRelay(this);
}

void SessionEngine::onConfiguration(Millis now, const RoutingTable &routing)
{
    if (routing.version <= m_routing.version)
        return;
    m_routing = routing;
    m_quota.setLimits(now, tenantLimits());
    applyInstances(now);
    applyKeys(now);
    finishEvent(now);
}

// Takes queued operations out of the queues if their callers' keys were withdrawn or given to other
// tenants, and dispatches them again, which refuses those that must not run.
void SessionEngine::applyKeys(Millis now)
{
    const std::set<SessionId> active = m_active;
    for (const SessionId id : active) {
        Session *session = find(id);
        if (!session || !session->operation || session->operation->stage != Stage::Queued)
            continue;
        Operation &operation = *session->operation;
        if (tenantFor(*session) == operation.tenant)
            continue;
        m_pool.cancel(operation.work);
        m_sessionByWork.erase(operation.work);
        operation.work = 0;
        dispatch(now, id, session);
    }
}

void SessionEngine::onInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                                std::optional<Millis> readAt, bool settled)
{
    m_instancesKnown = true;
    for (const InstanceList::Departure &departure :
         m_instances.update(now, instances, readAt.value_or(now), settled))
        logDeparture(now, departure);
    applyInstances(now);
    finishEvent(now);
}

void SessionEngine::setInstanceDrainTime(Millis now, Millis drainTime)
{
    m_instances.setDrainTime(drainTime);
    applyInstances(now);
    finishEvent(now);
}

void SessionEngine::logDeparture(Millis now, const InstanceList::Departure &departure)
{
    std::string detail = departure.announced ? "announced" : "no longer registered";
    if (departure.lastReady)
        detail += ", ready " + std::to_string((now - *departure.lastReady).count()) + " ms ago";
    else
        detail += ", not seen ready";
    const Millis left = std::max(Millis(0), departure.newWorkUntil - now);
    detail += ", new work for " + std::to_string(left.count()) + " ms";
    m_output->logGroupEvent(departure.group, "instance.leaving", departure.id, 0, detail);
}

void SessionEngine::applyInstances(Millis now)
{
    // An instance that leaves runs for at least as long as it takes new work.
    ListedInstances usable{.runsUntil = m_instances.newWorkUntil(), .readAt = m_instances.readAt()};
    std::set<std::string> ids;
    for (const auto &[id, instance] : m_instances.instances()) {
        if (!m_routing.groups.contains(instance.group))
            continue;
        usable.instances.push_back(instance);
        ids.insert(id);
    }
    std::set<std::string> probed;
    m_access.clear();
    for (const RegisteredInstance &instance : usable.instances) {
        const int connections = m_routing.groups.at(instance.group).maxConnections;
        const InstanceAccess &access = m_access[instance.id]
            = m_hosts.access(instance, connections);
        if (access.direct)
            probed.insert(instance.group);
    }
    m_control.setInstances(now, usable, m_routing, probed);
    for (const RegisteredInstance &instance : usable.instances) {
        // Connections are scarce: only those that the next statement may need are kept open.
        const bool sameDataCentre = instance.dataCentre == m_options.dataCentre;
        const bool isPrimary = m_control.primary(instance.group) == instance.id;
        m_pool.setInstance(now, instance, m_access.at(instance.id),
                           /*keepOpen=*/!instance.leaving && (sameDataCentre || isPrimary));
        m_pool.setNewWorkUntil(now, instance.id, usable.endOf(instance.id));
    }
    for (const std::string &id : m_pool.instances()) {
        if (!ids.contains(id))
            m_pool.removeInstance(now, id);
    }
    m_loadReports.keepOnly(ids);
    m_lag.keepOnly(ids);
    std::map<std::string, std::set<std::string>> groups;
    for (const RegisteredInstance &instance : usable.instances) {
        if (!instance.leaving)
            groups[instance.group].insert(instance.id);
    }
    m_outliers.setGroups(groups);
}

void SessionEngine::onHosts(Millis now, const std::vector<HostRecord> &hosts)
{
    m_hosts.setRecords(now, hosts);
    if (m_hosts.takeChanged())
        applyInstances(now);
    finishEvent(now);
}

bool SessionEngine::needsInstances(Millis now) const
{
    return std::any_of(m_routing.groups.begin(), m_routing.groups.end(), [&](const auto &row) {
        const std::string primary = m_control.primary(row.first);
        return primary.empty() || !m_pool.takesNewWork(now, primary);
    });
}

std::string SessionEngine::chooseGateway(Millis now, const std::string &instance,
                                         const std::string &tenant) const
{
    const auto access = m_access.find(instance);
    return access == m_access.end() ? std::string()
                                    : m_hosts.chooseGateway(now, access->second, tenant);
}

std::map<std::string, TenantLimits> SessionEngine::tenantLimits() const
{
    std::map<std::string, TenantLimits> limits;
    for (const auto &[name, tenant] : m_routing.tenants) {
        if (tenant.limits)
            limits.emplace(name, *tenant.limits);
    }
    return limits;
}

std::optional<Endpoint> SessionEngine::peerEndpoint(const std::string &host) const
{
    const HostRecord *record = m_hosts.find(host);
    return record ? std::optional(record->peerEndpoint) : std::nullopt;
}

void SessionEngine::onRelayReply(Millis now, ConnectionId connection, const std::string &gateway,
                                 const RelayReply &reply)
{
    if (onCommandRelayed(now, connection, reply))
        return;
    const bool gatewayFailed
        = reply.ended && (reply.cause == Cause::Unreachable || reply.cause == Cause::Leaving);
    if (gatewayFailed)
        m_hosts.onGatewayFailed(now, gateway);
    for (const InstanceLoad &load : reply.loads) {
        if (!m_instances.find(load.instance))
            continue;
        m_loadReports.onReport(now, load);
        if (!m_pool.isDirect(load.instance))
            m_outliers.onServiceTime(now, load.instance, load.serviceTime);
    }
    m_pool.onRelayReply(now, connection, reply);
    if (!reply.primary.empty())
        m_control.onReportedPrimary(now, reply.primary);
    finishEvent(now);
}

// Asks the other hosts that may hold connections to the instance.
int SessionEngine::relayCommand(Millis now, const RegisteredInstance &instance,
                                const Statement &statement)
{
    const auto group = m_routing.groups.find(instance.group);
    if (group == m_routing.groups.end())
        return 0;
    int asked = 0;
    for (const std::string &host :
         m_hosts.othersThatReach(instance, group->second.maxConnections)) {
        const ConnectionId channel = RelayedCommandBit | nextWork();
        m_relayedCommands[channel]
            = {.instance = instance.id, .kind = statement.kind, .sentAt = now};
        m_output->relayToGateway(channel, host,
                                 {.channel = channel,
                                  .instance = instance.id,
                                  .needsSlot = false,
                                  .maxWait = RelayedCommandWait,
                                  .statements = {{.statement = statement}}});
        ++asked;
    }
    return asked;
}

// Whether the reply is the answer to a relayed command.
bool SessionEngine::onCommandRelayed(Millis now, ConnectionId connection, const RelayReply &reply)
{
    const auto found = m_relayedCommands.extract(connection);
    if (found.empty())
        return false;
    const RelayedCommand &command = found.mapped();
    const bool answered = !reply.answers.empty() && reply.answers.front().status;
    m_control.onRelayedCommand(now, command.instance, command.kind, command.sentAt,
                               answered ? reply.answers.front().status : std::nullopt);
    finishEvent(now);
    return true;
}

void SessionEngine::onRelayBatch(Millis now, RelayBatch batch, RelayGateway::Reply reply)
{
    const bool known = m_relayGateway.knows(batch.origin, batch.channel);
    if (m_drainingSince && !known) {
        reply({.ended = true, .cause = Cause::Leaving});
        return;
    }
    if (!known && batch.maxAge && m_lag.isBehind(now, batch.instance, *batch.maxAge)) {
        reply({.ended = true, .cause = Cause::Behind});
        return;
    }
    const RegisteredInstance *found = m_instances.find(batch.instance);
    const std::string group = found ? found->group : std::string();
    const bool all = m_loadReports.takeFullReport(now, batch.origin);
    const auto completeReply
        = [this, group, requested = batch.instance, priority = batch.priority,
           tenant = batch.tenant, all, reply = std::move(reply)](RelayReply answer) {
              const std::string primary = m_control.primary(group);
              if (primary != requested)
                  answer.primary = primary;
              answer.loads = loadsToReport(requested, all, priority, tenant);
              reply(std::move(answer));
          };
    m_relayGateway.onBatch(now, std::move(batch), completeReply);
    finishEvent(now);
}

// The loads that a reply carries: of the batch's instance, and with `all` of the other ones that
// this host is a gateway to.
std::vector<InstanceLoad> SessionEngine::loadsToReport(const std::string &instance, bool all,
                                                       int priority,
                                                       const std::string &tenant) const
{
    std::vector<InstanceLoad> loads;
    const auto add = [&](const std::string &id) {
        if (std::optional<InstanceLoad> load = m_pool.load(id, priority, tenant))
            loads.push_back(std::move(*load));
    };
    add(instance);
    if (!all)
        return loads;
    for (const std::string &other : m_pool.instances()) {
        if (other != instance && loads.size() < MaxReportedLoads)
            add(other);
    }
    return loads;
}

void SessionEngine::onRelayDropped(Millis now, const std::string &origin, std::uint64_t channel)
{
    m_relayGateway.onDropped(now, origin, channel);
    finishEvent(now);
}

Cause SessionEngine::onConnect(Millis now, SessionId session, const std::string &database,
                               const ApiKey &key)
{
    static_cast<void>(now);
    const DatabaseRoute *found = route(database);
    if (!found)
        return Cause::UnknownDatabase;
    if (!tenantFor(key, *found))
        return Cause::UnknownKey;
    Session &opened = m_sessions[session];
    opened.database = database;
    opened.key = key;
    return Cause::None;
}

void SessionEngine::onStatement(Millis now, SessionId id, Statement statement)
{
    Session *session = find(id);
    if (!session)
        return;
    if (session->operation && session->pending.size() >= m_options.maxPending) {
        logEvent(now, "session.flooding", id, *session, Cause::Overloaded);
        m_output->closeCaller(id, Cause::Overloaded);
        onCallerClosed(now, id);
        return;
    }
    if (session->operation)
        session->pending.push_back(std::move(statement));
    else if (comesTooLate(now, *session))
        answerLocally(now, id, session, Cause::Overloaded);
    else
        startStatement(now, id, session, std::move(statement));
    finishEvent(now);
}

void SessionEngine::onCallerClosed(Millis now, SessionId id)
{
    Session *session = find(id);
    if (!session)
        return;
    if (session->operation) {
        const Operation &operation = *session->operation;
        logEvent(now, "request.caller-left", id, *session, Cause::ConnectionLost);
        if (operation.connection != 0)
            m_pool.discard(now, operation.connection);
        else
            m_pool.cancel(operation.work);
        m_sessionByWork.erase(operation.work);
        if (session->transaction && session->transaction->connection == operation.connection)
            session->transaction->connection = 0;
    }
    if (session->transaction)
        endTransaction(now, session, /*rollBackFirst=*/true);
    m_active.erase(id);
    m_sessions.erase(id);
    finishEvent(now);
}

void SessionEngine::onTargetOpened(Millis now, ConnectionId connection)
{
    m_pool.onOpened(now, connection);
    finishEvent(now);
}

void SessionEngine::onTargetOpenFailed(Millis now, ConnectionId connection, bool full)
{
    m_pool.onOpenFailed(now, connection, full);
    finishEvent(now);
}

void SessionEngine::onTargetAnswer(Millis now, ConnectionId connection,
                                   const StatementAnswer &answer)
{
    m_pool.onAnswer(now, connection, answer);
    finishEvent(now);
}

void SessionEngine::onTargetClosed(Millis now, ConnectionId connection)
{
    m_pool.onClosed(now, connection);
    finishEvent(now);
}

void SessionEngine::onLeaseResult(Millis now, const std::string &group, const LeaseResult &result)
{
    m_control.onLeaseResult(now, group, result);
    finishEvent(now);
}

void SessionEngine::onPromotion(Millis now, const std::string &group, PromotionResult verdict)
{
    m_control.onPromotion(now, group, verdict);
    finishEvent(now);
}

void SessionEngine::onCandidateRecorded(Millis now, const std::string &group,
                                        const std::string &candidate, bool recorded)
{
    m_control.onCandidateRecorded(now, group, candidate, recorded);
    finishEvent(now);
}

void SessionEngine::onResumesRecorded(const std::string &group,
                                      const std::set<std::string> &instances,
                                      std::uint64_t fencingToken, bool recorded)
{
    m_control.onResumesRecorded(group, instances, fencingToken, recorded);
}

void SessionEngine::onTick(Millis now)
{
    m_pool.onTick(now);
    const std::set<SessionId> active = m_active;
    std::map<std::string, Millis> oldestWrites;
    for (const SessionId id : active) {
        Session *session = find(id);
        if (!session)
            continue;
        checkTimeouts(now, id, session);
        session = find(id);
        if (!session || !session->operation)
            continue;
        const Operation &operation = *session->operation;
        if (operation.writes && operation.stage == Stage::Running
            && m_control.concernsPrimary(operation.instance, operation.startedAt)) {
            Millis &oldest
                = oldestWrites.emplace(operation.route.group, operation.startedAt).first->second;
            oldest = std::min(oldest, operation.startedAt);
        }
    }
    m_relayGateway.onTick(now, m_routing.transactionIdle);
    for (const auto &[instance, since] : m_relayGateway.oldestWrites()) {
        const RegisteredInstance *known = m_instances.find(instance);
        if (!known)
            continue;
        Millis &oldest = oldestWrites.emplace(known->group, since).first->second;
        oldest = std::min(oldest, since);
    }
    m_control.setOldestWrites(oldestWrites);
    m_control.onTick(now);
    moveReadsFromSilentInstances(now);
    for (const OutlierEvent &event : m_outliers.takeEvents(now))
        m_output->logGroupEvent(event.group, event.event, event.instance, 0, event.detail);
    if (m_drainingSince)
        endIdleSessions(now);
    finishEvent(now);
}

void SessionEngine::drain(Millis now, const DrainTimes &times)
{
    if (!m_drainingSince)
        m_drainingSince = now;
    m_drainTimes = times;
}

// Does what an event has left to do, once nothing refers to its session any more.
void SessionEngine::finishEvent(Millis now)
{
    for (const SessionId id : std::exchange(m_answered, {})) {
        const Session *session = find(id);
        if (session && mayEndForDrain(now, *session))
            endForDrain(now, id);
    }
    m_pool.flush(now);
}

bool SessionEngine::ready() const
{
    return m_routing.version > 0 && m_instancesKnown && !m_drainingSince;
}

// Ends a transaction that is idle for too long, and gives up or retries an operation whose time is
// over. A waiting operation is dispatched again.
void SessionEngine::checkTimeouts(Millis now, SessionId id, Session *session)
{
    if (!session->operation) {
        Transaction *transaction = session->transaction ? &*session->transaction : nullptr;
        if (!transaction || transaction->connection == 0
            || now - transaction->lastUsed <= m_routing.transactionIdle)
            return;
        logEvent(now, "transaction.idle", id, *session, Cause::Aborted);
        m_pool.send(now, transaction->connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
        m_pool.release(now, transaction->connection);
        m_sessionByWork.erase(transaction->work);
        transaction->connection = 0;
        transaction->lost = true;
        return;
    }
    Operation &operation = *session->operation;
    switch (operation.stage) {
    case Stage::Waiting:
        if (now >= operation.deadline)
            refuse(now, id, session, Cause::Overloaded);
        else
            dispatch(now, id, session);
        return;
    case Stage::Queued:
        return;
    case Stage::Opening:
    case Stage::Running:
        if (now <= operation.expiresAt)
            return;
        // Behind a gateway, the gateway may be what does not answer.
        if (m_pool.isDirect(operation.instance))
            m_outliers.onAnswer(now, operation.instance, AnswerQuality::Failed);
        m_pool.discard(now, operation.connection);
        if (operation.stage == Stage::Opening
            || (operation.sentWithOpening && !operation.transactionOpened)) {
            m_sessionByWork.erase(operation.work);
            retry(now, id, session, Cause::ConnectionLost);
        } else {
            failSentOperation(now, id, session, Cause::Timeout, /*sent=*/true);
        }
        return;
    }
}

// Moves reads that wait for a silent instance to another one. A statement that may have taken
// effect goes on waiting for its answer.
void SessionEngine::moveReadsFromSilentInstances(Millis now)
{
    for (const auto &[name, settings] : m_routing.groups) {
        const PrimaryTracker *tracker = m_control.tracker(name);
        for (const RegisteredInstance &member : m_control.members(name)) {
            // For an instance that is reached through a gateway, the gateway does this.
            if (!tracker || !m_pool.isDirect(member.id)
                || !tracker->silentFor(now, member.id, SilentReadLimit))
                continue;
            m_pool.breakConnections(now, member.id, [this](WorkId work) {
                if (m_relayGateway.onlyReads(work))
                    return true;
                const auto found = m_sessionByWork.find(work);
                const Session *session
                    = found == m_sessionByWork.end() ? nullptr : find(found->second);
                return session && session->operation && !session->transaction
                    && !session->operation->writes;
            });
        }
    }
}

// In a graceful shutdown, ends idle sessions once new ones have stopped arriving.
void SessionEngine::endIdleSessions(Millis now)
{
    std::vector<SessionId> idle;
    for (auto &[id, session] : m_sessions) {
        if (mayEndForDrain(now, session))
            idle.push_back(id);
    }
    for (const SessionId id : idle)
        endForDrain(now, id);
}

// Whether the graceful shutdown has come so far that the session ends as soon as it is idle, and it
// is. One that is always in use is idle only right after an answer.
bool SessionEngine::mayEndForDrain(Millis now, const Session &session) const
{
    if (!m_drainingSince || now - *m_drainingSince < m_options.drainDelay)
        return false;
    const bool inTransaction = session.phase != SessionPhase::Idle;
    const bool mayAbort = now - *m_drainingSince > m_drainTimes.transactions;
    return !session.operation && (!inTransaction || mayAbort);
}

void SessionEngine::endForDrain(Millis now, SessionId id)
{
    m_output->closeCaller(id, Cause::None);
    onCallerClosed(now, id);
}

// Whether a statement that arrives now, outside of transactions, could be cut off by the end of the
// process.
bool SessionEngine::comesTooLate(Millis now, const Session &session) const
{
    return m_drainingSince && now - *m_drainingSince > m_drainTimes.newStatements
        && session.phase == SessionPhase::Idle;
}

void SessionEngine::logEvent(Millis now, std::string_view event, SessionId id,
                             const Session &session, Cause cause, std::string_view request)
{
    RequestEvent record{.event = event,
                        .session = id,
                        .request = request,
                        .database = session.database,
                        .cause = cause,
                        .configuration = m_routing.version};
    if (session.operation) {
        record.request = session.operation->statement.id;
        record.tenant = session.operation->tenant;
        record.instance = session.operation->instance;
        record.connection = session.operation->connection;
        record.gateway = session.operation->gateway;
        record.preparedName = session.operation->preparedName;
        record.attempts = session.operation->attempts;
        record.waited = now - session.operation->arrivedAt;
    }
    if (cause == Cause::UnknownKey)
        record.keyDigest = session.key.digest();
    m_output->logRequest(record);
}

SessionEngine::Session *SessionEngine::find(SessionId id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : &found->second;
}

const DatabaseRoute *SessionEngine::route(const std::string &database) const
{
    const auto found = m_routing.databases.find(database);
    return found == m_routing.databases.end() ? nullptr : &found->second;
}

// The tenant in whose name the holder of the key uses the database: empty if that takes no key,
// nothing if no tenant holds the key.
std::optional<std::string> SessionEngine::tenantFor(const ApiKey &key,
                                                    const DatabaseRoute &route) const
{
    if (!m_routing.requiresKeys)
        return std::string();
    if (const Tenant *tenant = m_routing.tenantOf(key))
        return tenant->name;
    return route.isPublic ? std::optional(std::string()) : std::nullopt;
}

// The same for the session's operation, by the configuration in force.
std::optional<std::string> SessionEngine::tenantFor(const Session &session) const
{
    const DatabaseRoute *current = route(session.database);
    return tenantFor(session.key, current ? *current : session.operation->route);
}

// Looks up again in whose name the session's operation runs, as its key may have been withdrawn or
// given to another tenant. Returns false if the operation must not run: a transaction stays that of
// the tenant that began it.
bool SessionEngine::updateTenant(Session *session) const
{
    Operation &operation = *session->operation;
    const std::optional<std::string> tenant = tenantFor(*session);
    if (!tenant || (session->transaction && *tenant != session->transaction->tenant))
        return false;
    operation.tenant = *tenant;
    return true;
}

} // namespace cicadagap
