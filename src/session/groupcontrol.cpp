#include "session/groupcontrol.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// How long a probe or command may wait for a connection.
constexpr Millis ConnectionWait(1000);
// If a request has been unanswered for longer and no connection is idle, the instance is probed by
// opening a new connection.
constexpr Millis NewConnectionAfter(300);

// A command without an answer for longer no longer holds a later one back.
constexpr Millis CommandAnswerLimit(1000);

// Whether the two are commands of which the instance must not get the first after the second.
bool undoes(StatementKind first, StatementKind second)
{
    return (first == StatementKind::Pause && second == StatementKind::Resume)
        || (first == StatementKind::Resume && second == StatementKind::Pause);
}

} // namespace

GroupControl::GroupControl(GroupControlOutput *output, std::function<WorkId()> nextWork,
                           bool fencedPromotions)
    : m_output(output)
    , m_nextWork(std::move(nextWork))
    , m_fencedPromotions(fencedPromotions)
{
}

void GroupControl::setInstances(Millis now, const ListedInstances &listed,
                                const RoutingTable &routing, const std::set<std::string> &probed)
{
    m_now = now;
    std::map<std::string, ListedInstances, std::less<>> byGroup;
    m_instances.clear();
    for (const RegisteredInstance &instance : listed.instances) {
        ListedInstances &group = byGroup[instance.group];
        group.instances.push_back(instance);
        if (const std::optional<Millis> end = listed.endOf(instance.id))
            group.runsUntil[instance.id] = *end;
        m_instances[instance.id] = instance;
    }
    for (const auto &[name, settings] : routing.groups) {
        Group &group = m_groups[name];
        if (!group.change) {
            group.tracker = PrimaryTracker({.needsReadLease = !m_fencedPromotions});
            group.change = std::make_unique<PrimaryChange>(
                name, static_cast<PrimaryChangeOutput *>(this),
                PrimaryChange::Options{.fencedPromotions = m_fencedPromotions});
        }
        group.syncReplicas = settings.syncReplicas;
        group.listed = byGroup[name];
        group.listed.readAt = listed.readAt;
        group.tracker.setProbing(probed.contains(name));
        group.tracker.setInstances(now, group.listed.instances, group.syncReplicas);
        reportPrimary(name, &group);
    }
    std::erase_if(m_groups,
                  [&routing](const auto &row) { return !routing.groups.contains(row.first); });
}

void GroupControl::onReportedPrimary(Millis now, const std::string &instance)
{
    if (Group *group = groupOf(instance))
        group->tracker.onReportedPrimary(now, instance);
}

void GroupControl::excuseSilence(Millis now)
{
    for (auto &row : m_groups)
        row.second.tracker.excuseSilence(now);
}

void GroupControl::onTick(Millis now)
{
    m_now = now;
    std::erase_if(m_lostResumes, [now](const auto &row) { return row.second <= now; });
    const std::set<std::string> unanswered = unansweredResumes();
    for (auto &[name, group] : m_groups) {
        group.tracker.onTick(now);
        for (const std::string &id : group.tracker.instancesToProbe(now))
            probe(now, id);
        for (const std::string &id : group.tracker.instancesToLocate(now))
            locate(id, id == group.tracker.primary());
        for (const std::string &id : group.tracker.instancesToQuery(now))
            submit(id, {.kind = StatementKind::Status});
        reportPrimary(name, &group);
        const GroupState state{.listed = group.listed,
                               .primary = group.tracker.lastPrimary(),
                               .term = group.tracker.term(),
                               .syncReplicas = group.syncReplicas,
                               .unansweredResumes = unanswered};
        group.change->onTick(now, group.tracker.cause(now), state);
    }
}

void GroupControl::onLeaseResult(Millis now, const std::string &group, const LeaseResult &result)
{
    m_now = now;
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        found->second.change->onLeaseResult(now, result);
}

void GroupControl::onPromotion(Millis now, const std::string &group, PromotionResult result)
{
    m_now = now;
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        found->second.change->onPromotion(now, result);
}

void GroupControl::onCandidateRecorded(Millis now, const std::string &group,
                                       const std::string &candidate, bool recorded)
{
    m_now = now;
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        found->second.change->onCandidateRecorded(now, candidate, recorded);
}

void GroupControl::onResumesRecorded(const std::string &group,
                                     const std::set<std::string> &instances,
                                     std::uint64_t fencingToken, bool recorded)
{
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        found->second.change->onResumesRecorded(instances, fencingToken, recorded);
}

void GroupControl::onCommitAcknowledged(const std::string &instance, Millis sentAt)
{
    Group *group = groupOf(instance);
    if (!group)
        return;
    group->tracker.onCommitAcknowledged(instance, sentAt);
    group->change->onCommitAcknowledged(instance, sentAt);
}

void GroupControl::onPosition(Millis now, const std::string &instance, Millis sentAt, Position end)
{
    Group *group = groupOf(instance);
    if (!group)
        return;
    group->tracker.onPosition(now, instance, sentAt, end);
    group->change->onPosition(instance, sentAt, end);
}

bool GroupControl::mayServe(Millis now, const std::string &instance, Millis instant,
                            bool onlyWrites)
{
    Group *group = groupOf(instance);
    if (!group)
        return false;
    PrimaryTracker &tracker = group->tracker;
    if (tracker.primary() == instance && !tracker.wasPrimaryAt(instance, instant))
        tracker.onWaitForReadLease(now, instant);
    return tracker.mayServe(now, instance, instant, onlyWrites);
}

void GroupControl::onProvenPrimary(Millis now, const std::string &instance, Millis sentAt,
                                   Position position)
{
    m_now = now;
    Group *group = groupOf(instance);
    if (!group)
        return;
    group->tracker.onProvenPrimary(now, instance, sentAt, position);
    if (group->tracker.primary() == instance)
        group->change->onPrimary(now, instance, position.term);
}

void GroupControl::onNotPrimary(Millis now, const std::string &instance, Millis sentAt)
{
    if (Group *group = groupOf(instance))
        group->tracker.onNotPrimary(now, instance, sentAt);
}

void GroupControl::onRequestSent(Millis now, const std::string &instance)
{
    if (Group *group = groupOf(instance))
        group->tracker.onRequestSent(now, instance);
}

void GroupControl::onReceived(Millis now, const std::string &instance)
{
    static_cast<void>(now);
    if (Group *group = groupOf(instance))
        group->tracker.onReceived(instance);
}

void GroupControl::onConnectionFailed(Millis now, const std::string &instance)
{
    Group *group = groupOf(instance);
    if (!group)
        return;
    group->tracker.onConnectionFailed(now, instance);
    group->change->onConnectionLost(now, instance);
}

void GroupControl::setOldestWrites(const std::map<std::string, Millis> &byGroup)
{
    for (auto &[name, group] : m_groups) {
        const auto found = byGroup.find(name);
        group.tracker.setOldestWrite(found == byGroup.end() ? std::nullopt
                                                            : std::optional<Millis>(found->second));
    }
}

bool GroupControl::onWorkStarted(Millis now, WorkId work, ConnectionId connection)
{
    const auto found = m_pendingByWork.find(work);
    if (found == m_pendingByWork.end())
        return false;
    PendingStatement &pending = found->second;
    pending.sentAt = now;
    const bool opens = pending.statement.kind == StatementKind::Begin
        || pending.statement.kind == StatementKind::BeginReadOnly;
    if (opens) {
        m_pool->send(now, connection, SendPurpose::OpenTransaction, pending.statement);
        m_pool->send(now, connection, SendPurpose::CloseTransaction,
                     {.kind = StatementKind::Rollback});
    } else {
        m_pool->send(now, connection, SendPurpose::Work, pending.statement);
    }
    onRequestSent(now, pending.instance);
    return true;
}

bool GroupControl::onWorkEnded(WorkId work)
{
    const auto found = m_pendingByWork.extract(work);
    if (found.empty())
        return false;
    noteLostResume(found.mapped());
    sendHeldCommand(found.mapped().instance);
    return true;
}

bool GroupControl::onWorkAnswer(Millis now, WorkId work, ConnectionId connection,
                                StatementKind kind, Millis sentAt, const StatementAnswer &answer)
{
    const auto found = m_pendingByWork.find(work);
    if (found == m_pendingByWork.end())
        return false;
    const PendingStatement pending = std::move(found->second);
    m_pendingByWork.erase(found);
    m_pool->release(now, connection);
    if (kind == StatementKind::Begin) {
        if (answer.succeeded() && answer.position)
            onProvenPrimary(now, pending.instance, sentAt, *answer.position);
        else if (answer.cause == Cause::NotPrimary)
            onNotPrimary(now, pending.instance, sentAt);
        return true;
    }
    if (kind == StatementKind::BeginReadOnly)
        return true; // Its position was recorded as evidence.
    if (!answer.status)
        noteLostResume(pending);
    sendHeldCommand(pending.instance);
    Group *group = groupOf(pending.instance);
    if (group && answer.status) {
        group->tracker.onStatus(now, pending.instance, sentAt, *answer.status);
        group->change->onStatus(now, pending.instance, kind, *answer.status);
    }
    return true;
}

std::optional<Position> GroupControl::positionCovering(const std::string &instance,
                                                       Millis since) const
{
    const Group *group = groupOf(instance);
    return group ? group->tracker.replicaAge().coveringSince(since) : std::nullopt;
}

bool GroupControl::anotherIsPrimary(const std::string &instance) const
{
    const Group *group = groupOf(instance);
    const std::string primary = group ? group->tracker.primary() : std::string();
    return !primary.empty() && primary != instance;
}

bool GroupControl::concernsPrimary(const std::string &instance, Millis sentAt) const
{
    const Group *group = groupOf(instance);
    return group && group->tracker.concernsPrimary(instance, sentAt);
}

std::string GroupControl::primary(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? std::string() : found->second.tracker.primary();
}

const PrimaryTracker *GroupControl::tracker(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : &found->second.tracker;
}

std::vector<RegisteredInstance> GroupControl::members(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? std::vector<RegisteredInstance>()
                                   : found->second.listed.instances;
}

const RegisteredInstance *GroupControl::instance(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

void GroupControl::acquireLease(const std::string &group)
{
    m_output->acquireLease(group);
}

// Commands to an instance may go over different connections. A later one is held back while an
// earlier one is on its way, so that a resume of one attempt cannot undo a pause of the next.
void GroupControl::sendCommand(const std::string &instance, const Statement &statement)
{
    if (oppositeIsOnItsWay(instance, statement.kind))
        m_heldCommands[instance] = statement;
    else
        submit(instance, statement);
}

int GroupControl::relayCommand(const std::string &instance, const Statement &statement)
{
    const auto found = m_instances.find(instance);
    if (!m_relay || found == m_instances.end())
        return 0;
    return m_relay->relayCommand(m_now, found->second, statement);
}

void GroupControl::onRelayedCommand(Millis now, const std::string &instance, StatementKind kind,
                                    Millis sentAt, const std::optional<InstanceStatus> &status)
{
    m_now = now;
    Group *group = groupOf(instance);
    if (!group)
        return;
    if (!status) {
        group->change->onRelayFailed(now);
        return;
    }
    group->tracker.onStatus(now, instance, sentAt, *status);
    group->change->onStatus(now, instance, kind, *status);
}

// Withdraws opposite commands to the instance that were not sent yet. Returns whether one was sent
// and may still be answered.
bool GroupControl::oppositeIsOnItsWay(const std::string &instance, StatementKind kind)
{
    const auto held = m_heldCommands.find(instance);
    if (held != m_heldCommands.end() && undoes(held->second.kind, kind))
        m_heldCommands.erase(held);
    bool onItsWay = false;
    for (auto it = m_pendingByWork.begin(); it != m_pendingByWork.end();) {
        const auto &[work, pending] = *it;
        const bool opposite = pending.instance == instance && undoes(pending.statement.kind, kind);
        if (opposite && !pending.sentAt) {
            m_pool->cancel(work);
            it = m_pendingByWork.erase(it);
            continue;
        }
        onItsWay = onItsWay || (opposite && m_now - *pending.sentAt < CommandAnswerLimit);
        ++it;
    }
    return onItsWay;
}

// Sends the command that is held back, unless another opposite one is still on its way.
void GroupControl::sendHeldCommand(const std::string &instance)
{
    const auto held = m_heldCommands.extract(instance);
    if (!held.empty())
        sendCommand(instance, held.mapped());
}

// A command that was sent and whose answer is lost may still be carried out.
void GroupControl::noteLostResume(const PendingStatement &pending)
{
    if (pending.statement.kind != StatementKind::Resume || !pending.sentAt)
        return;
    Millis &until = m_lostResumes[pending.instance];
    until = std::max(until, *pending.sentAt + LateCommandLimit);
}

// The instances with a resume that was sent, or will be, and is not answered.
std::set<std::string> GroupControl::unansweredResumes() const
{
    std::set<std::string> ids;
    for (const auto &row : m_pendingByWork) {
        if (row.second.statement.kind == StatementKind::Resume)
            ids.insert(row.second.instance);
    }
    for (const auto &row : m_lostResumes)
        ids.insert(row.first);
    for (const auto &[id, statement] : m_heldCommands) {
        if (statement.kind == StatementKind::Resume)
            ids.insert(id);
    }
    return ids;
}

void GroupControl::promote(const std::string &group, const std::string &instance,
                           std::uint64_t fencingToken)
{
    m_output->requestPromotion(group, instance, fencingToken);
}

void GroupControl::recordCandidate(const std::string &group, const std::string &candidate,
                                   std::uint64_t fencingToken)
{
    m_output->recordCandidate(group, candidate, fencingToken);
}

void GroupControl::recordResumes(const std::string &group, const std::set<std::string> &instances,
                                 std::uint64_t fencingToken)
{
    m_output->recordResumes(group, instances, fencingToken);
}

void GroupControl::stageChanged(const std::string &group, PrimaryChangeStage stage,
                                PrimaryChangeCause cause, const std::string &detail)
{
    m_output->logGroupEvent(group,
                            "primary.change." + std::string(PrimaryChangeStageNames.name(stage)),
                            std::string(PrimaryChangeCauseNames.name(cause)), 0, detail);
}

// Probes whether an instance is primary: on an idle connection, by opening a transaction that may
// write, or else by opening a new connection if the instance's state is in doubt.
void GroupControl::probe(Millis now, const std::string &instance)
{
    const Group *group = groupOf(instance);
    const bool unanswered = group && group->tracker.silentFor(now, instance, NewConnectionAfter);
    if (m_pool->hasIdle(instance)) {
        submit(instance, {.kind = StatementKind::Begin});
    } else if (unanswered || m_pool->connections(instance) == 0
               || (group && !group->tracker.confirmed(now))) {
        m_pool->openNewConnection(now, instance);
    }
}

// Asks an instance where its log ends: by opening a transaction, which takes no slot.
void GroupControl::locate(const std::string &instance, bool primary)
{
    if (m_pool->hasIdle(instance))
        submit(instance, {.kind = primary ? StatementKind::Begin : StatementKind::BeginReadOnly});
}

void GroupControl::submit(const std::string &instance, const Statement &statement)
{
    const WorkId id = m_nextWork();
    m_pendingByWork[id] = {.instance = instance, .statement = statement};
    const TargetWork work{.id = id, .deadline = m_now + ConnectionWait, .needsSlot = false};
    if (!m_pool->submit(m_now, instance, work))
        m_pendingByWork.erase(id);
}

// Logs the group's primary if it has changed.
void GroupControl::reportPrimary(const std::string &name, Group *group)
{
    if (group->tracker.primary() == group->reportedPrimary)
        return;
    group->reportedPrimary = group->tracker.primary();
    reportHandover(name, group);
    m_output->logGroupEvent(name, "primary.believed", group->reportedPrimary, group->tracker.term(),
                            group->tracker.confirmed(m_now) ? "confirmed" : "unconfirmed");
}

// Logs how much of its time a primary that left had, when its successor became known.
void GroupControl::reportHandover(const std::string &name, Group *group)
{
    if (group->reportedPrimary.empty())
        return;
    const std::string former = std::exchange(group->formerPrimary, group->reportedPrimary);
    const std::optional<Millis> end = group->listed.endOf(former);
    if (former == group->formerPrimary || !end)
        return;
    const Millis left = *end - m_now;
    m_output->logGroupEvent(
        name, "primary.handed-over", group->reportedPrimary, group->tracker.term(),
        former + " had " + std::to_string(left.count()) + " ms left for new work");
}

GroupControl::Group *GroupControl::groupOf(const std::string &instance)
{
    return const_cast<Group *>(std::as_const(*this).groupOf(instance));
}

const GroupControl::Group *GroupControl::groupOf(const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return nullptr;
    const auto group = m_groups.find(found->second.group);
    return group == m_groups.end() ? nullptr : &group->second;
}

} // namespace cicadagap
