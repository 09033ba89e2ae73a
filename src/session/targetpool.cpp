#include "session/targetpool.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Weight of a new measurement in the moving average of an instance's service time.
constexpr double ServiceWeight = 0.1;
// The shortest answer time grows by this factor with each answer, so that an old one loses its
// influence.
constexpr double ShortestGrowth = 1.002;

// After an instance refused a statement because its own queue was full, this host sends it one
// statement at a time for this long.
constexpr Millis OverloadMemory(60);
// An instance that had no connection left is assumed to have none for this long.
constexpr Millis NoConnectionMemory(300);

} // namespace

TargetPool::TargetPool(Options options, TargetOutput *output, TargetListener *listener,
                       ChooseGateway chooseGateway)
    : m_options(options)
    , m_output(output)
    , m_listener(listener)
    , m_chooseGateway(std::move(chooseGateway))
{
}

void TargetPool::setInstance(Millis now, const RegisteredInstance &instance,
                             const InstanceAccess &access, bool keepOpen)
{
    const auto [found, isNew] = m_instances.try_emplace(instance.id);
    Instance &entry = found->second;
    if (isNew)
        entry.queue = WorkQueue({.capacity = m_options.queueCapacity});
    const bool wasDirect = entry.direct;
    entry.registered = instance;
    entry.removed = false;
    entry.direct = access.direct;
    entry.keepOpen = keepOpen && access.direct;
    entry.maxConnections = std::max(1, access.connections);
    if (wasDirect && !access.direct)
        refuseQueued(now, instance.id, Cause::Unreachable);
    startWork(now, instance.id);
}

void TargetPool::removeInstance(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.removed = true;
    refuseQueued(now, instance, Cause::Leaving);
    const std::set<ConnectionId> connections = found->second.connections;
    for (const ConnectionId id : connections) {
        const Connection *connection = find(id);
        if (connection && (connection->state == State::Idle || connection->state == State::Opening))
            closeConnection(now, id);
    }
}

void TargetPool::setNewWorkUntil(Millis now, const std::string &instance,
                                 std::optional<Millis> until)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.newWorkUntil = until;
    startWork(now, instance);
}

bool TargetPool::takesNewWork(Millis now, const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && takesNewWork(now, found->second);
}

bool TargetPool::takesNewWork(Millis now, const Instance &instance)
{
    return !instance.newWorkUntil || now < *instance.newWorkUntil;
}

// Refuses all queued work, so that its owner finds another instance or gateway for it.
void TargetPool::refuseQueued(Millis now, const std::string &instance, Cause cause)
{
    Instance &entry = m_instances.at(instance);
    const std::vector<WorkId> urgent(entry.urgent.begin(), entry.urgent.end());
    entry.urgent.clear();
    refuseAll(now, urgent, cause);
    refuseNewWork(now, &entry, cause);
}

// Refuses queued work that needs a slot.
void TargetPool::refuseNewWork(Millis now, Instance *instance, Cause cause)
{
    std::vector<WorkId> refused;
    for (const QueuedEntry &waiting : instance->queue.takeAll())
        refused.push_back(waiting.id);
    refuseAll(now, refused, cause);
}

void TargetPool::refuseAll(Millis now, const std::vector<WorkId> &works, Cause cause)
{
    for (const WorkId id : works) {
        if (m_queued.erase(id) > 0)
            m_listener->onWorkRefused(now, id, cause);
    }
}

bool TargetPool::isDirect(const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && found->second.direct;
}

std::vector<std::string> TargetPool::instances() const
{
    std::vector<std::string> ids;
    for (const auto &row : m_instances) {
        if (!row.second.removed)
            ids.push_back(row.first);
    }
    return ids;
}

bool TargetPool::submit(Millis now, const std::string &instance, TargetWork work)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || found->second.removed)
        return false;
    if (work.needsSlot && !takesNewWork(now, found->second))
        return false;
    const WorkId id = work.id;
    if (!found->second.direct)
        return startRelayed(now, &found->second, std::move(work));
    if (!work.needsSlot) {
        found->second.urgent.push_back(id);
        m_queued[id] = {.work = std::move(work), .instance = instance};
        startWork(now, instance);
        return true;
    }
    WorkQueue &queue = found->second.queue;
    if (!queue.push({.id = id,
                     .priority = work.priority,
                     .tenant = work.tenant,
                     .deadline = work.deadline}))
        return false;
    m_queued[id] = {.work = std::move(work), .instance = instance};
    for (const QueuedEntry &displaced : queue.takeDisplaced())
        refuseAll(now, {displaced.id}, Cause::Overloaded);
    startWork(now, instance);
    return true;
}

void TargetPool::cancel(WorkId work)
{
    const auto found = m_queued.find(work);
    if (found == m_queued.end())
        return;
    const TargetWork &queued = found->second.work;
    if (const auto instance = m_instances.find(found->second.instance);
        instance != m_instances.end()) {
        instance->second.queue.remove(work, queued.priority, queued.tenant);
        std::erase(instance->second.urgent, work);
    }
    m_queued.erase(found);
}

std::string TargetPool::restore(Millis now, ConnectionId connection, const SessionValues &values,
                                const PreparedStatement *prepared)
{
    Connection *found = find(connection);
    if (!found)
        return {};
    ConnectionSessionState::Restoration restoration = found->sessionState.restore(values, prepared);
    std::size_t removedNames = 0;
    for (Statement &step : restoration.statements) {
        removedNames += step.kind == StatementKind::Deallocate ? 1 : 0;
        send(now, connection, SendPurpose::Restore, std::move(step));
    }
    if (restoration.isNewName && !found->relayed)
        m_listener->onNamePrepared({.connection = connection,
                                    .instance = found->instance,
                                    .name = restoration.preparedName,
                                    .shape = prepared->shape,
                                    .writes = prepared->writes,
                                    .removedNames = removedNames});
    return std::move(restoration.preparedName);
}

void TargetPool::send(Millis now, ConnectionId connection, SendPurpose purpose, Statement statement)
{
    Connection *found = find(connection);
    if (!found)
        return;
    Instance &instance = m_instances.at(found->instance);
    RelayedStatement entry{.statement = std::move(statement), .purpose = purpose};
    // A gateway waits by itself for the confirmation of what it restores.
    const bool restores = purpose == SendPurpose::Restore && !found->relayed;
    // A transaction's opening relies on nothing of the session's state.
    const bool waitsForRestores
        = found->unconfirmedRestores > 0 && !restores && purpose != SendPurpose::OpenTransaction;
    if (!found->afterRestore.empty() || waitsForRestores) {
        found->afterRestore.push_back(std::move(entry));
        return;
    }
    found->unconfirmedRestores += restores ? 1 : 0;
    // Relayed statements wait for a slot at the gateway.
    const bool waits = !found->relayed && !found->reserved && needsSlot(entry.statement.kind)
        && !slotFree(now, instance);
    if (!waits && found->held.empty()) {
        sendNow(now, connection, found, std::move(entry));
        return;
    }
    if (found->held.empty())
        instance.slotWaiters.push_back(connection);
    found->held.push_back(std::move(entry));
}

// Sends what has waited for the confirmation of the session's state.
// The instance's time for new work may have ended meanwhile.
void TargetPool::sendAfterRestore(Millis now, ConnectionId connection)
{
    Connection *found = find(connection);
    const bool startsWork
        = found->state == State::Owned && !found->workSent && found->phase == SessionPhase::Idle;
    if (startsWork && !found->afterRestore.empty()
        && !takesNewWork(now, m_instances.at(found->instance))) {
        found->afterRestore.clear();
        const WorkId owner = found->owner;
        release(now, connection);
        m_listener->onWorkRefused(now, owner, Cause::Leaving);
        return;
    }
    for (RelayedStatement &entry : std::exchange(found->afterRestore, {}))
        send(now, connection, entry.purpose, std::move(entry.statement));
}

void TargetPool::sendNow(Millis now, ConnectionId id, Connection *connection,
                         RelayedStatement entry)
{
    Instance &instance = m_instances.at(connection->instance);
    const StatementKind kind = entry.statement.kind;
    if (needsSlot(kind) && !std::exchange(connection->reserved, false))
        ++instance.slotsInUse;
    // A gateway restores the session's state by itself and does not return those answers.
    if (!connection->relayed || entry.purpose != SendPurpose::Restore)
        connection->awaited.push_back({.purpose = entry.purpose, .kind = kind, .at = now});
    connection->workSent = connection->workSent || entry.purpose == SendPurpose::Work;
    connection->unsent.push_back(std::move(entry));
    m_toFlush.insert(id);
}

// Sends held statements of open transactions, as far as slots are free.
void TargetPool::sendHeld(Millis now, Instance *instance)
{
    while (!instance->slotWaiters.empty() && slotFree(now, *instance)) {
        const ConnectionId id = instance->slotWaiters.front();
        instance->slotWaiters.pop_front();
        Connection *connection = find(id);
        if (!connection)
            continue; // It was closed meanwhile.
        for (RelayedStatement &entry : std::exchange(connection->held, {}))
            sendNow(now, id, connection, std::move(entry));
    }
}

void TargetPool::flush(Millis now)
{
    for (const ConnectionId id : std::exchange(m_toFlush, {})) {
        Connection *found = find(id);
        if (!found || found->unsent.empty())
            continue;
        std::vector<RelayedStatement> unsent = std::exchange(found->unsent, {});
        if (found->relayed) {
            m_output->relayToGateway(id, found->gateway,
                                     makeBatch(now, id, *found, std::move(unsent)));
            continue;
        }
        std::vector<Statement> statements;
        statements.reserve(unsent.size());
        for (RelayedStatement &entry : unsent)
            statements.push_back(std::move(entry.statement));
        m_output->sendToTarget(id, statements);
    }
}

RelayBatch TargetPool::makeBatch(Millis now, ConnectionId id, const Connection &connection,
                                 std::vector<RelayedStatement> statements)
{
    const TargetWork &work = *connection.relayed;
    RelayBatch batch{.channel = id,
                     .instance = connection.instance,
                     .continues = connection.answered,
                     .priority = work.priority,
                     .tenant = work.tenant,
                     .needsSlot = work.needsSlot,
                     .maxWait = std::max(Millis(1), work.deadline - now),
                     .statements = std::move(statements)};
    if (work.freshAsOf && !connection.answered)
        batch.maxAge = now - *work.freshAsOf;
    if (work.primaryAsOf && !connection.answered)
        batch.primaryAge = std::max(Millis(0), now - *work.primaryAsOf);
    return batch;
}

void TargetPool::release(Millis now, ConnectionId connection)
{
    Connection *found = find(connection);
    if (!found)
        return;
    found->state = State::Draining;
    found->owner = 0;
    found->workSent = false;
    freeReservedSlot(found);
    makeIdleIfDone(now, connection);
}

void TargetPool::discard(Millis now, ConnectionId connection)
{
    closeConnection(now, connection);
}

void TargetPool::breakConnections(Millis now, const std::string &instance,
                                  const std::function<bool(WorkId)> &condition)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    const std::set<ConnectionId> connections = found->second.connections;
    for (const ConnectionId id : connections) {
        const Connection *connection = find(id);
        if (!connection || connection->state == State::Opening)
            continue;
        const bool owned = connection->state == State::Owned;
        if (owned && !condition(connection->owner))
            continue;
        const WorkId owner = connection->owner;
        const bool sent = connection->workSent;
        closeConnection(now, id);
        if (owned)
            m_listener->onWorkConnectionLost(now, owner, id, sent);
    }
}

void TargetPool::onOpened(Millis now, ConnectionId connection)
{
    Connection *found = find(connection);
    if (!found)
        return;
    const std::string name = found->instance;
    Instance &instance = m_instances.at(name);
    --instance.opening;
    found->state = State::Idle;
    found->openedAt = now;
    found->since = now;
    m_listener->onTargetReceived(now, name);
    startWork(now, name);
}

void TargetPool::onOpenFailed(Millis now, ConnectionId connection, bool full)
{
    Connection *found = find(connection);
    if (!found)
        return;
    const std::string name = found->instance;
    Instance &instance = m_instances.at(name);
    instance.openAfter = now + (full ? m_options.fullBackoff : m_options.refusedBackoff);
    if (full)
        instance.noConnectionUntil = now + NoConnectionMemory;
    closeConnection(now, connection);
    if (full)
        m_listener->onTargetReceived(now, name);
    else
        m_listener->onTargetConnectionFailed(now, name);
}

void TargetPool::onAnswer(Millis now, ConnectionId connection, const StatementAnswer &answer)
{
    Connection *found = find(connection);
    if (!found)
        return;
    const std::string name = found->instance;
    m_listener->onTargetReceived(now, name);
    if (found->awaited.empty()) {
        // An answer without a statement: the two sides disagree about what was sent.
        onClosed(now, connection);
        return;
    }
    const Sent sent = found->awaited.front();
    found->awaited.pop_front();
    found->phase = answer.phase;
    // The instance lacks a statement that was prepared on this connection.
    found->stateUnknown = found->stateUnknown || answer.cause == Cause::UnknownName;
    if (answer.cause == Cause::Overloaded)
        m_instances.at(name).overloadedUntil = now + OverloadMemory;
    recordAnswer(now, &m_instances.at(name), sent);
    if (sent.purpose == SendPurpose::Restore) {
        if (!answer.succeeded()) {
            onClosed(now, connection);
            return;
        }
        if (--found->unconfirmedRestores == 0)
            sendAfterRestore(now, connection);
        found = find(connection);
    }
    if (found && found->state == State::Owned)
        m_listener->onWorkAnswer(now, found->owner, connection, sent.purpose, sent.kind, sent.at,
                                 answer);
    found = find(connection);
    if (found && found->state == State::Draining) {
        const bool clean = answer.phase == SessionPhase::Idle;
        if (found->awaited.empty() && found->held.empty() && found->afterRestore.empty() && !clean)
            closeConnection(now, connection);
        else
            makeIdleIfDone(now, connection);
    }
    startWork(now, name);
}

void TargetPool::onClosed(Millis now, ConnectionId connection)
{
    Connection *found = find(connection);
    if (!found)
        return;
    const std::string name = found->instance;
    const State state = found->state;
    const WorkId owner = found->owner;
    const bool sent = found->workSent;
    if (state == State::Opening) {
        onOpenFailed(now, connection, /*full=*/false);
        return;
    }
    closeConnection(now, connection);
    m_listener->onTargetConnectionFailed(now, name);
    if (state == State::Owned)
        m_listener->onWorkConnectionLost(now, owner, connection, sent);
    startWork(now, name);
}

void TargetPool::onRelayReply(Millis now, ConnectionId connection, const RelayReply &reply)
{
    const Connection *awaiting = find(connection);
    if (!awaiting)
        return;
    if (reply.answers.size() > awaiting->awaited.size()) {
        // The surplus would become the answers of statements that have not run.
        const bool owned = awaiting->state == State::Owned;
        const bool sent = awaiting->workSent;
        const WorkId owner = awaiting->owner;
        closeConnection(now, connection);
        if (owned)
            m_listener->onWorkConnectionLost(now, owner, connection, sent);
        return;
    }
    for (const StatementAnswer &answer : reply.answers) {
        if (Connection *found = find(connection))
            found->answered = true;
        onAnswer(now, connection, answer);
    }
    Connection *found = find(connection);
    if (!found || !reply.ended)
        return;
    const bool owned = found->state == State::Owned;
    const bool refused = !reply.sent && !found->answered;
    const WorkId owner = found->owner;
    // A gateway knows no channel of a batch that it cannot read or has not received, so that the
    // channel's transaction may be open there.
    found->endedAtGateway = reply.cause != Cause::Invalid && reply.cause != Cause::TooLong;
    closeConnection(now, connection);
    if (owned && refused)
        m_listener->onWorkRefused(now, owner, reply.cause);
    else if (owned)
        m_listener->onWorkConnectionLost(now, owner, connection, reply.sent);
}

void TargetPool::onTick(Millis now)
{
    std::vector<std::string> names;
    std::vector<ConnectionId> stale;
    for (const auto &[id, connection] : m_connections) {
        const Instance &instance = m_instances.at(connection.instance);
        const bool spare
            = instance.connections.size() > 1 || !instance.keepOpen || instance.removed;
        if (connection.state == State::Idle && spare
            && now - connection.since > idleLimit(connection))
            stale.push_back(id);
        if (connection.state == State::Opening && now - connection.since > m_options.openTimeout)
            stale.push_back(id);
    }
    for (const ConnectionId id : stale) {
        const Connection *found = find(id);
        if (found->state == State::Opening)
            onOpenFailed(now, id, /*full=*/false);
        else if (m_instances.at(found->instance).connections.size() > 1
                 || !m_instances.at(found->instance).keepOpen)
            closeConnection(now, id);
    }
    for (const auto &row : m_instances)
        names.push_back(row.first);
    for (const std::string &name : names) {
        Instance &instance = m_instances.at(name);
        std::vector<WorkId> expired = takeExpiredUrgent(now, &instance);
        for (const QueuedEntry &entry : instance.queue.takeExpired(now))
            expired.push_back(entry.id);
        for (const WorkId id : expired) {
            if (m_queued.erase(id) > 0)
                m_listener->onWorkRefused(now, id, Cause::Overloaded);
        }
        startWork(now, name);
    }
    std::erase_if(m_instances, [](const auto &row) {
        return row.second.removed && row.second.connections.empty();
    });
}

std::vector<WorkId> TargetPool::takeExpiredUrgent(Millis now, Instance *instance) const
{
    std::vector<WorkId> expired;
    std::erase_if(instance->urgent, [&](WorkId id) {
        const auto waiting = m_queued.find(id);
        if (waiting != m_queued.end() && now < waiting->second.work.deadline)
            return false;
        expired.push_back(id);
        return true;
    });
    return expired;
}

Millis TargetPool::expectedWait(const std::string &instance, int priority,
                                const std::string &tenant) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return Millis(0);
    const Instance &entry = found->second;
    const auto slots = static_cast<double>(std::max(1, entry.registered.slots));
    const double ahead = static_cast<double>(entry.queue.entriesAhead(priority, tenant))
        + static_cast<double>(entry.slotsInUse + entry.slotWaiters.size());
    return Millis(static_cast<std::int64_t>(entry.serviceMs * (ahead / slots)));
}

Millis TargetPool::roundTrip(const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || found->second.shortestMs > 1e8)
        return Millis(0);
    return Millis(static_cast<std::int64_t>(found->second.shortestMs));
}

std::optional<InstanceLoad> TargetPool::load(const std::string &instance, int priority,
                                             const std::string &tenant) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || found->second.removed || !found->second.direct)
        return std::nullopt;
    const Instance &entry = found->second;
    const std::size_t queued = entry.queue.size() + entry.slotWaiters.size();
    return InstanceLoad{.instance = instance,
                        .wait = expectedWait(instance, priority, tenant),
                        .queued = static_cast<std::uint32_t>(queued),
                        .running = static_cast<std::uint32_t>(entry.slotsInUse),
                        .serviceTime = Millis(static_cast<std::int64_t>(entry.serviceMs))};
}

Millis TargetPool::waitForSentSince(const std::string &instance, Millis since,
                                    Millis serviceTime) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return Millis(0);
    std::int64_t statements = 0;
    for (const ConnectionId id : found->second.connections) {
        for (const Sent &sent : m_connections.at(id).awaited)
            statements += needsSlot(sent.kind) && sent.at > since ? 1 : 0;
    }
    return serviceTime * statements / std::max(1, found->second.registered.slots);
}

bool TargetPool::noConnectionAvailable(Millis now, const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && found->second.direct
        && now < found->second.noConnectionUntil
        && found->second.connections.size() == found->second.opening;
}

bool TargetPool::hasIdle(const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return false;
    if (!found->second.direct)
        return true;
    const auto &ids = found->second.connections;
    return std::any_of(ids.begin(), ids.end(), [this](ConnectionId id) {
        return m_connections.at(id).state == State::Idle;
    });
}

std::size_t TargetPool::connections(const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    return found == m_instances.end() ? 0 : found->second.connections.size();
}

const std::string &TargetPool::instanceOf(ConnectionId connection) const
{
    static const std::string none;
    const auto found = m_connections.find(connection);
    return found == m_connections.end() ? none : found->second.instance;
}

const std::string &TargetPool::gatewayOf(ConnectionId connection) const
{
    static const std::string none;
    const auto found = m_connections.find(connection);
    return found == m_connections.end() ? none : found->second.gateway;
}

void TargetPool::openNewConnection(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || found->second.removed || !found->second.direct
        || found->second.opening > 0 || now < found->second.openAfter)
        return;
    open(now, &found->second, /*tenant=*/{});
}

// Starts queued work as far as connections and slots allow, and opens a connection if one is
// needed.
void TargetPool::startWork(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || found->second.removed || !found->second.direct)
        return;
    sendHeld(now, &found->second);
    if (!takesNewWork(now, found->second))
        refuseNewWork(now, &found->second, Cause::Leaving);
    while (startNext(now, &found->second)) { }
    openIfNeeded(now, &found->second);
    // What left a connection for the one that is being opened now.
    while (startNext(now, &found->second)) { }
}

// Starts work that goes through a gateway: at once, on a channel of its own. The queue that it
// waits in is the gateway's.
bool TargetPool::startRelayed(Millis now, Instance *instance, TargetWork work)
{
    std::string gateway = m_chooseGateway(now, instance->registered.id, work.tenant);
    if (gateway.empty())
        return false;
    const ConnectionId id = ++m_lastConnection;
    const WorkId owner = work.id;
    work.values = nullptr;
    m_connections[id]
        = {.instance = instance->registered.id,
           .state = State::Owned,
           .sessionState = ConnectionSessionState({.form = PreparedNames::Form::Compatible}),
           .owner = owner,
           .since = now,
           .gateway = std::move(gateway),
           .relayed = std::move(work)};
    instance->connections.insert(id);
    m_listener->onWorkStarted(now, owner, id);
    return true;
}

// Starts the next queued work; false if there is none or it has to wait.
bool TargetPool::startNext(Millis now, Instance *instance)
{
    if (!hasIdle(instance->registered.id))
        return false;
    const std::optional<WorkId> id = nextWork(now, instance);
    if (!id)
        return false;
    const auto waiting = m_queued.find(*id);
    if (waiting == m_queued.end())
        return true; // It was cancelled; there may be more.
    const TargetWork work = std::move(waiting->second.work);
    m_queued.erase(waiting);
    if (now >= work.deadline) {
        // Its time ended while this process was suspended, and the tick has not come yet.
        m_listener->onWorkRefused(now, work.id, Cause::Overloaded);
        return true;
    }
    const std::optional<ConnectionId> chosen = cheapestIdle(*instance, work);
    Connection &connection = m_connections.at(*chosen);
    connection.state = State::Owned;
    connection.owner = work.id;
    connection.since = now;
    connection.workSent = false;
    connection.reserved = work.needsSlot;
    instance->slotsInUse += work.needsSlot ? 1 : 0;
    m_listener->onWorkStarted(now, work.id, *chosen);
    return true;
}

// Whether this host may send the instance one more statement. An instance that was overloaded
// lately gets one at a time.
bool TargetPool::slotFree(Millis now, const Instance &instance)
{
    if (now < instance.overloadedUntil && instance.slotsInUse > 0)
        return false;
    return instance.slotsInUse < static_cast<std::size_t>(std::max(1, instance.registered.slots));
}

// Takes the next work from the queues. Urgent work waits only for a connection, other work also for
// a slot.
std::optional<WorkId> TargetPool::nextWork(Millis now, Instance *instance)
{
    if (!instance->urgent.empty()) {
        const WorkId id = instance->urgent.front();
        instance->urgent.pop_front();
        return id;
    }
    return nextQueued(now, instance);
}

// Takes the next work that needs a slot. A slot is left free for each tenant whose turn comes
// before and that can get the connection that it lacks; so is a connection to be replaced by it.
std::optional<WorkId> TargetPool::nextQueued(Millis now, Instance *instance)
{
    if (instance->queue.size() == 0 || !slotFree(now, *instance))
        return std::nullopt;
    const auto slots = static_cast<std::size_t>(std::max(1, instance->registered.slots));
    const std::size_t free = slots - std::min(slots, instance->slotsInUse);
    const std::size_t room = roomIn(*instance);
    const Shares shares = sharesOf(now, *instance);
    std::set<std::string_view> needConnection;
    bool oneHasNone = false;
    std::size_t obtainable = 0; // Connections for them.
    bool allFree = true;        // No free slot is left for them alone.
    const auto mayStart = [&](const std::string &tenant) {
        const Share share = shares.of(tenant);
        if (share.idle == 0) {
            if (now < instance->openAfter || !needConnection.insert(tenant).second)
                return false;
            const bool hasNone = share.connections == 0;
            oneHasNone = oneHasNone || hasNone;
            obtainable = std::max(obtainable,
                                  share.opening + room + shares.withoutWork
                                      + (hasNone ? shares.pastTurn : 0));
            allFree = std::min(needConnection.size(), obtainable) < free;
            return false;
        }
        // Otherwise the tenants with work would take each connection again as soon as it is idle.
        const bool kept = !oneHasNone || room > 0 || !share.isPastTurn;
        return allFree && kept;
    };
    const std::optional<QueuedEntry> entry = instance->queue.pop(mayStart);
    return entry ? std::optional(entry->id) : std::nullopt;
}

TargetPool::Share TargetPool::Shares::of(std::string_view tenant) const
{
    const auto found = byTenant.find(tenant);
    return found == byTenant.end() ? Share{} : found->second;
}

// Which tenants hold the connections to the instance, and which of these may be closed for others.
TargetPool::Shares TargetPool::sharesOf(Millis now, const Instance &instance) const
{
    Shares shares;
    for (const ConnectionId id : instance.connections) {
        const Connection &connection = m_connections.at(id);
        Share &share = shares.byTenant[connection.tenant];
        ++share.connections;
        share.opening += connection.state == State::Opening ? 1 : 0;
        if (connection.state != State::Idle)
            continue;
        ++share.idle;
        const auto keepLonger = [&](std::optional<ConnectionId> *longest) {
            if (!*longest || connection.since < m_connections.at(**longest).since)
                *longest = id;
        };
        if (!instance.queue.hasWorkOf(connection.tenant)) {
            ++shares.withoutWork;
            keepLonger(&shares.longestWithoutWork);
            keepLonger(&shares.longestReplaceable);
        } else if (now - connection.openedAt >= m_options.tenantTurn) {
            ++shares.pastTurn;
            share.isPastTurn = true;
            keepLonger(&shares.longestReplaceable);
        }
    }
    return shares;
}

// How many connections to the instance may be opened besides those that exist.
std::size_t TargetPool::roomIn(const Instance &instance)
{
    const auto limit = static_cast<std::size_t>(instance.maxConnections);
    return limit - std::min(limit, instance.connections.size());
}

// The idle connection that needs the fewest statements to fit the work's session state.
std::optional<ConnectionId> TargetPool::cheapestIdle(const Instance &instance,
                                                     const TargetWork &work) const
{
    std::optional<ConnectionId> best;
    std::size_t lowest = 0;
    for (const ConnectionId id : instance.connections) {
        const Connection &connection = m_connections.at(id);
        const bool serves = !work.needsSlot || connection.tenant == work.tenant;
        if (connection.state != State::Idle || !serves)
            continue;
        const PreparedStatement *prepared = work.prepared ? &*work.prepared : nullptr;
        const std::size_t cost
            = work.values ? connection.sessionState.restoreCost(*work.values, prepared) : 0;
        if (!best || cost < lowest) {
            best = id;
            lowest = cost;
        }
    }
    return best;
}

// Opens a connection if work waits for one, or if the instance has none and is to be kept open.
void TargetPool::openIfNeeded(Millis now, Instance *instance)
{
    if (now < instance->openAfter)
        return;
    const bool slotFree = instance->slotsInUse + instance->opening
        < static_cast<std::size_t>(std::max(1, instance->registered.slots));
    std::optional<Opening> opening;
    if (slotFree)
        opening = nextOpening(now, *instance);
    const bool none = instance->connections.empty() && instance->keepOpen;
    if (!opening && (none || instance->urgent.size() > instance->opening) && roomIn(*instance) > 0)
        opening = Opening{};
    if (!opening)
        return;
    if (opening->replaced)
        closeConnection(now, *opening->replaced);
    open(now, instance, opening->tenant);
}

// The connection to open for the first tenant, in the order of their turns, that lacks one for its
// queued work and for which there is or can be made room; nothing if there is none.
std::optional<TargetPool::Opening> TargetPool::nextOpening(Millis now,
                                                           const Instance &instance) const
{
    if (instance.queue.size() == 0)
        return std::nullopt;
    const bool hasRoom = roomIn(instance) > 0;
    const Shares shares = sharesOf(now, instance);
    if (!hasRoom && !shares.longestReplaceable)
        return std::nullopt;
    for (const WorkQueue::Turn &turn : instance.queue.turns()) {
        const Share share = shares.of(turn.tenant);
        if (share.idle > 0 || turn.entries <= share.opening)
            continue;
        if (hasRoom)
            return Opening{.tenant = turn.tenant, .replaced = {}};
        // A tenant that holds one already takes none from a tenant with work.
        const std::optional<ConnectionId> replaced
            = share.connections == 0 ? shares.longestReplaceable : shares.longestWithoutWork;
        if (replaced)
            return Opening{.tenant = turn.tenant, .replaced = replaced};
    }
    return std::nullopt;
}

Millis TargetPool::idleLimit(const Connection &connection) const
{
    return connection.tenant.empty() ? m_options.idleClose : m_options.tenantIdleClose;
}

void TargetPool::open(Millis now, Instance *instance, const std::string &tenant)
{
    const ConnectionId id = ++m_lastConnection;
    m_connections[id] = {.instance = instance->registered.id, .tenant = tenant, .since = now};
    instance->connections.insert(id);
    ++instance->opening;
    m_listener->onTargetOpening(now, instance->registered.id);
    m_output->openTarget(id, instance->registered, tenant);
}

// Closes the connection or channel, removes it, and frees its slots.
void TargetPool::closeConnection(Millis now, ConnectionId connection)
{
    static_cast<void>(now);
    Connection *found = find(connection);
    if (!found)
        return;
    Instance &instance = m_instances.at(found->instance);
    for (const Sent &sent : found->awaited) {
        if (needsSlot(sent.kind))
            --instance.slotsInUse;
    }
    if (found->state == State::Opening)
        --instance.opening;
    freeReservedSlot(found);
    const bool relayed = found->relayed.has_value();
    const std::string gateway = found->gateway;
    const bool mayBeOpen
        = !found->endedAtGateway && (!found->awaited.empty() || found->phase != SessionPhase::Idle);
    instance.connections.erase(connection);
    m_connections.erase(connection);
    if (!relayed)
        m_output->closeTarget(connection);
    else if (mayBeOpen)
        m_output->dropAtGateway(connection, gateway);
}

// Makes a released connection idle once nothing sent on it is unanswered.
void TargetPool::makeIdleIfDone(Millis now, ConnectionId connection)
{
    Connection *found = find(connection);
    if (!found || !found->awaited.empty() || !found->held.empty() || !found->afterRestore.empty())
        return;
    found->state = State::Idle;
    found->since = now;
    if (m_instances.at(found->instance).removed || found->relayed || found->stateUnknown)
        closeConnection(now, connection);
    else
        startWork(now, found->instance);
}

// Frees the slot that is still reserved if the work ended without a statement that needs it.
void TargetPool::freeReservedSlot(Connection *connection)
{
    if (std::exchange(connection->reserved, false))
        --m_instances.at(connection->instance).slotsInUse;
}

// Frees the statement's slot and takes the time of its answer into the averages.
void TargetPool::recordAnswer(Millis now, Instance *instance, const Sent &sent)
{
    const auto took = static_cast<double>((now - sent.at).count());
    if (needsSlot(sent.kind)) {
        --instance->slotsInUse;
        instance->serviceMs += ServiceWeight * (took - instance->serviceMs);
    }
    instance->shortestMs = std::min(instance->shortestMs * ShortestGrowth, std::max(took, 0.5));
}

TargetPool::Connection *TargetPool::find(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    return found == m_connections.end() ? nullptr : &found->second;
}

} // namespace cicadagap
