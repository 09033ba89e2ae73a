#include "session/groupcontrol.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr Millis OrderPatience(1000); // For a connection to send an order on.
// A question that is open for this long is asked again on a fresh connection.
constexpr Millis FreshAfter(300);

} // namespace

GroupControl::GroupControl(ControlOutput *output, std::function<WorkId()> nextWork)
    : m_output(output)
    , m_nextWork(std::move(nextWork))
{
}

void GroupControl::setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                                const RoutingTable &routing, const std::set<std::string> &watched)
{
    m_now = now;
    std::map<std::string, std::vector<RegisteredInstance>, std::less<>> byGroup;
    m_instances.clear();
    for (const RegisteredInstance &instance : instances) {
        byGroup[instance.group].push_back(instance);
        m_instances[instance.id] = instance;
    }
    for (const auto &[name, settings] : routing.groups) {
        Group &group = m_groups[name];
        if (!group.change)
            group.change = std::make_unique<PrimaryChange>(name, static_cast<ChangeOutput *>(this));
        group.syncReplicas = settings.syncReplicas;
        group.members = byGroup[name];
        group.belief.setWatching(watched.contains(name));
        group.belief.setInstances(now, group.members);
        reportLeader(name, &group);
    }
    std::erase_if(m_groups,
                  [&routing](const auto &row) { return !routing.groups.contains(row.first); });
}

void GroupControl::onTold(const std::string &instance)
{
    if (Group *group = groupOf(instance))
        group->belief.onTold(instance);
}

void GroupControl::onTick(Millis now)
{
    m_now = now;
    for (auto &[name, group] : m_groups) {
        group.belief.onTick(now);
        for (const std::string &id : group.belief.toAsk(now))
            ask(now, id);
        reportLeader(name, &group);
        const GroupKnowledge knowledge{.instances = group.members,
                                       .primary = group.belief.lastLeader(),
                                       .term = group.belief.term(),
                                       .syncReplicas = group.syncReplicas};
        group.change->onTick(now, group.belief.cause(now), knowledge);
    }
}

void GroupControl::onClaim(Millis now, const std::string &group, const ClaimResult &result)
{
    m_now = now;
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        found->second.change->onClaim(now, result);
}

void GroupControl::onPromotion(Millis now, const std::string &group, PromotionVerdict verdict)
{
    m_now = now;
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        found->second.change->onPromotion(now, verdict);
}

void GroupControl::onLeads(Millis now, const std::string &instance, Millis askedAt,
                           Position position)
{
    m_now = now;
    Group *group = groupOf(instance);
    if (!group)
        return;
    group->belief.onLeads(now, instance, askedAt, position);
    if (group->belief.leader() == instance)
        group->change->onLeader(now, instance, position.term);
}

void GroupControl::onDoesNotLead(Millis now, const std::string &instance, Millis askedAt)
{
    if (Group *group = groupOf(instance))
        group->belief.onDoesNotLead(now, instance, askedAt);
}

void GroupControl::onAsked(Millis now, const std::string &instance)
{
    if (Group *group = groupOf(instance))
        group->belief.onAsked(now, instance);
}

void GroupControl::onHeard(Millis now, const std::string &instance)
{
    static_cast<void>(now);
    if (Group *group = groupOf(instance))
        group->belief.onHeard(instance);
}

void GroupControl::onRefused(Millis now, const std::string &instance)
{
    Group *group = groupOf(instance);
    if (!group)
        return;
    group->belief.onRefused(now, instance);
    group->change->onConnectionLost(now, instance);
}

void GroupControl::setOldestWrites(const std::map<std::string, Millis> &byGroup)
{
    for (auto &[name, group] : m_groups) {
        const auto found = byGroup.find(name);
        group.belief.setOldestWrite(found == byGroup.end() ? std::nullopt
                                                           : std::optional<Millis>(found->second));
    }
}

bool GroupControl::onWorkStarted(Millis now, WorkId work, ConnectionId connection)
{
    const auto found = m_works.find(work);
    if (found == m_works.end())
        return false;
    const ControlWork &control = found->second;
    if (control.statement.kind == StatementKind::Begin) {
        m_fleet->send(now, connection, SendPurpose::OpenTransaction, control.statement);
        m_fleet->send(now, connection, SendPurpose::CloseTransaction,
                      {.kind = StatementKind::Rollback});
    } else {
        m_fleet->send(now, connection, SendPurpose::Work, control.statement);
    }
    onAsked(now, control.instance);
    return true;
}

bool GroupControl::onWorkEnded(WorkId work)
{
    return m_works.erase(work) > 0;
}

bool GroupControl::onWorkAnswer(Millis now, WorkId work, ConnectionId connection,
                                StatementKind kind, Millis sentAt, const StatementAnswer &answer)
{
    const auto found = m_works.find(work);
    if (found == m_works.end())
        return false;
    const ControlWork control = std::move(found->second);
    m_works.erase(found);
    m_fleet->release(now, connection);
    if (kind == StatementKind::Begin) {
        if (answer.succeeded() && answer.position)
            onLeads(now, control.instance, sentAt, *answer.position);
        else if (answer.cause == Cause::NotPrimary)
            onDoesNotLead(now, control.instance, sentAt);
        return true;
    }
    Group *group = groupOf(control.instance);
    if (group && answer.status)
        group->change->onStatus(now, control.instance, kind, *answer.status);
    return true;
}

std::string GroupControl::leader(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? std::string() : found->second.belief.leader();
}

const LeaderBelief *GroupControl::belief(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : &found->second.belief;
}

std::vector<RegisteredInstance> GroupControl::members(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? std::vector<RegisteredInstance>() : found->second.members;
}

const RegisteredInstance *GroupControl::instance(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

void GroupControl::claim(const std::string &group)
{
    m_output->claimDuty(group);
}

void GroupControl::order(const std::string &instance, const Statement &statement)
{
    submit(instance, statement);
}

void GroupControl::promote(const std::string &group, const std::string &instance,
                           std::uint64_t fencingToken)
{
    m_output->orderPromotion(group, instance, fencingToken);
}

void GroupControl::stageChanged(const std::string &group, ChangeStage stage, ChangeCause cause,
                                const std::string &detail)
{
    m_output->groupChanged(group, "primary.change." + std::string(ChangeStageNames.name(stage)),
                           std::string(ChangeCauseNames.name(cause)), 0, detail);
}

// Asks an instance whether it leads, on an idle connection or else on a fresh one.
void GroupControl::ask(Millis now, const std::string &instance)
{
    const Group *group = groupOf(instance);
    const bool doubtful = group && group->belief.silentFor(now, instance, FreshAfter);
    if (m_fleet->hasIdle(instance)) {
        submit(instance, {.kind = StatementKind::Begin});
    } else if (doubtful || m_fleet->connections(instance) == 0
               || (group && !group->belief.confirmed(now))) {
        m_fleet->openFresh(now, instance);
    }
}

void GroupControl::submit(const std::string &instance, const Statement &statement)
{
    const WorkId id = m_nextWork();
    m_works[id] = {.instance = instance, .statement = statement};
    const TargetWork work{.id = id, .giveUpAt = m_now + OrderPatience, .needsSlot = false};
    if (!m_fleet->submit(m_now, instance, work))
        m_works.erase(id);
}

void GroupControl::reportLeader(const std::string &name, Group *group)
{
    if (group->belief.leader() == group->reportedLeader)
        return;
    group->reportedLeader = group->belief.leader();
    m_output->groupChanged(name, "primary.believed", group->reportedLeader, group->belief.term(),
                           group->belief.confirmed(m_now) ? "confirmed" : "unconfirmed");
}

GroupControl::Group *GroupControl::groupOf(const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found != m_instances.end()) {
        const auto group = m_groups.find(found->second.group);
        return group == m_groups.end() ? nullptr : &group->second;
    }
    return nullptr;
}

} // namespace cicadagap
