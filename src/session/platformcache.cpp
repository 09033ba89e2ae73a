#include "session/platformcache.h"

#include "base/hash.h"
#include "relaywire/relay.pb.h"
#include "session/relaymessage.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cicadagap {

namespace {

constexpr auto LastConsistency = static_cast<std::uint32_t>(Consistency::ReadYourWrites);

std::uint32_t milliseconds(Millis value)
{
    constexpr std::int64_t Longest = 0xFFFFFFFF;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, Longest));
}

void write(const Tenant &tenant, relaywire::Tenant *out)
{
    out->set_name(tenant.name);
    for (const ApiKey &key : tenant.keys)
        out->add_keys(key.digest());
    if (!tenant.limits)
        return;
    out->set_per_second(tenant.limits->perSecond);
    out->set_burst(tenant.limits->burst);
}

std::optional<Tenant> read(const relaywire::Tenant &in)
{
    Tenant tenant{.name = in.name()};
    for (const std::string &digest : in.keys()) {
        const std::optional<ApiKey> key = ApiKey::fromDigest(digest);
        if (!key)
            return std::nullopt;
        tenant.keys.push_back(*key);
    }
    if (in.has_per_second())
        tenant.limits = TenantLimits{.perSecond = in.per_second(), .burst = in.burst()};
    return tenant;
}

void write(const RoutingTable &routing, relaywire::Routing *out)
{
    out->set_version(routing.version);
    out->set_transaction_idle_ms(milliseconds(routing.transactionIdle));
    for (const auto &[name, route] : routing.databases) {
        relaywire::Route *entry = out->add_routes();
        entry->set_database(name);
        entry->set_group(route.group);
        entry->set_consistency(static_cast<std::uint32_t>(route.consistency));
        entry->set_max_age_ms(milliseconds(route.maxAge));
        entry->set_statement_timeout_ms(milliseconds(route.statementTimeout));
        entry->set_objective_ms(milliseconds(route.latencyObjective));
        entry->set_priority(static_cast<std::uint32_t>(route.priority));
        entry->set_public_(route.isPublic);
    }
    for (const auto &[name, group] : routing.groups) {
        relaywire::Group *entry = out->add_groups();
        entry->set_name(name);
        entry->set_max_connections(static_cast<std::uint32_t>(group.maxConnections));
        entry->set_sync_replicas(static_cast<std::uint32_t>(group.syncReplicas));
    }
    out->set_requires_keys(routing.requiresKeys);
    for (const auto &row : routing.tenants)
        write(row.second, out->add_tenants());
}

void write(const RoutingDelta &delta, relaywire::RoutingDelta *out)
{
    out->set_base(delta.base);
    write(delta.changed, out->mutable_changed());
    for (const std::string &name : delta.removedDatabases)
        out->add_removed_databases(name);
    for (const std::string &name : delta.removedGroups)
        out->add_removed_groups(name);
    for (const std::string &name : delta.removedTenants)
        out->add_removed_tenants(name);
    out->set_result_hash(delta.hash);
}

std::optional<RoutingTable> read(const relaywire::Routing &in)
{
    RoutingTable routing{.version = in.version(),
                         .transactionIdle = Millis(in.transaction_idle_ms()),
                         .requiresKeys = in.requires_keys()};
    for (const relaywire::Route &entry : in.routes()) {
        if (entry.consistency() > LastConsistency)
            return std::nullopt;
        routing.databases[entry.database()]
            = {.database = entry.database(),
               .group = entry.group(),
               .consistency = static_cast<Consistency>(entry.consistency()),
               .maxAge = Millis(entry.max_age_ms()),
               .statementTimeout = Millis(entry.statement_timeout_ms()),
               .latencyObjective = Millis(entry.objective_ms()),
               .priority = static_cast<int>(entry.priority()),
               .isPublic = entry.public_()};
    }
    for (const relaywire::Group &entry : in.groups())
        routing.groups[entry.name()] = {.name = entry.name(),
                                        .maxConnections = static_cast<int>(entry.max_connections()),
                                        .syncReplicas = static_cast<int>(entry.sync_replicas())};
    for (const relaywire::Tenant &entry : in.tenants()) {
        std::optional<Tenant> tenant = read(entry);
        if (!tenant || !routing.addTenant(std::move(*tenant), nullptr))
            return std::nullopt;
    }
    return routing;
}

std::optional<RoutingDelta> read(const relaywire::RoutingDelta &in)
{
    std::optional<RoutingTable> changed = read(in.changed());
    if (!changed)
        return std::nullopt;
    return RoutingDelta{
        .base = in.base(),
        .changed = std::move(*changed),
        .removedDatabases = {in.removed_databases().begin(), in.removed_databases().end()},
        .removedGroups = {in.removed_groups().begin(), in.removed_groups().end()},
        .removedTenants = {in.removed_tenants().begin(), in.removed_tenants().end()},
        .hash = in.result_hash()};
}

void write(const RegisteredInstance &instance, relaywire::Instance *out)
{
    out->set_id(instance.id);
    out->set_group(instance.group);
    out->set_endpoint(instance.endpoint.text());
    out->set_data_centre(instance.dataCentre);
    out->set_slots(static_cast<std::uint32_t>(instance.slots));
    out->set_leaving(instance.leaving);
    out->set_says_primary(instance.registeredAsPrimary);
    out->set_incarnation(instance.incarnation);
}

std::optional<RegisteredInstance> read(const relaywire::Instance &in, Reason *reason)
{
    const std::optional<Endpoint> endpoint = parseRemoteEndpoint(in.endpoint(), reason);
    if (!endpoint)
        return std::nullopt;
    if (in.slots() < 1 || in.slots() > std::uint32_t(std::numeric_limits<int>::max())) {
        setReason(reason, "the number of slots of " + in.id() + " is out of range");
        return std::nullopt;
    }
    return RegisteredInstance{.id = in.id(),
                              .group = in.group(),
                              .endpoint = *endpoint,
                              .dataCentre = in.data_centre(),
                              .slots = static_cast<int>(in.slots()),
                              .leaving = in.leaving(),
                              .registeredAsPrimary = in.says_primary(),
                              .incarnation = in.incarnation()};
}

void write(const HostRecord &host, relaywire::Host *out)
{
    out->set_host(host.host);
    out->set_data_centre(host.dataCentre);
    out->set_endpoint(host.peerEndpoint.text());
    out->set_weight(host.weight);
    out->set_beat(host.heartbeat);
    out->set_leaving(host.leaving);
}

std::optional<HostRecord> read(const relaywire::Host &in, Reason *reason)
{
    const std::optional<Endpoint> endpoint = parseRemoteEndpoint(in.endpoint(), reason);
    if (!endpoint)
        return std::nullopt;
    HostRecord record{.host = in.host(),
                      .dataCentre = in.data_centre(),
                      .peerEndpoint = *endpoint,
                      .weight = in.weight(),
                      .heartbeat = in.beat(),
                      .leaving = in.leaving()};
    if (isUsable(record))
        return record;
    setReason(reason, "the record of " + in.host() + " has no name or no valid weight");
    return std::nullopt;
}

void write(StorePosition position, relaywire::StorePosition *out)
{
    out->set_epoch(position.epoch);
    out->set_version(position.version);
}

StorePosition read(const relaywire::StorePosition &in)
{
    return {.epoch = in.epoch(), .version = in.version()};
}

// Decodes the entries of a list. Those that are invalid are left out; sets a reason then.
template <typename Value, typename List>
std::vector<Value> readValid(const List &list, Reason *reason)
{
    std::vector<Value> values;
    for (const auto &entry : list) {
        if (std::optional<Value> value = read(entry, reason))
            values.push_back(std::move(*value));
    }
    return values;
}

// A hash of the contents, equal on every host. Never 0, which stands for no contents.
template <typename Message, typename Value>
std::uint64_t revisionOf(const std::vector<Value> &values)
{
    std::string whole;
    for (const Value &value : values) {
        Message message;
        write(value, &message);
        whole += message.SerializeAsString();
    }
    return hash64(whole) | 1U;
}

} // namespace

std::uint64_t routingHash(const RoutingTable &routing)
{
    relaywire::Routing message;
    write(routing, &message);
    return hash64(message.SerializeAsString());
}

std::string encodePlatformUpdate(const PlatformUpdate &update)
{
    relaywire::Bulletin out;
    if (update.routing)
        write(*update.routing, out.mutable_routing());
    if (update.routingDelta)
        write(*update.routingDelta, out.mutable_routing_delta());
    out.set_has_instances(update.instances.has_value());
    if (update.instances) {
        for (const RegisteredInstance &instance : *update.instances)
            write(instance, out.add_instances());
    }
    out.set_has_hosts(update.hosts.has_value());
    if (update.hosts) {
        for (const HostRecord &host : *update.hosts)
            write(host, out.add_hosts());
    }
    out.set_instances_revision(update.instancesRevision);
    out.set_hosts_revision(update.hostsRevision);
    write(update.instancesPosition, out.mutable_instances_position());
    write(update.hostsPosition, out.mutable_hosts_position());
    out.set_store_epoch(update.storeEpoch);
    out.set_store_epoch_age_ms(milliseconds(update.storeEpochAge));
    out.set_routing_age_ms(milliseconds(update.routingAge));
    out.set_instances_age_ms(milliseconds(update.instancesAge));
    out.set_hosts_age_ms(milliseconds(update.hostsAge));
    if (update.readingTime)
        out.set_reading_ms(milliseconds(*update.readingTime));
    out.set_reaches_platform(update.reachesPlatform);
    return out.SerializeAsString();
}

std::optional<PlatformUpdate> decodePlatformUpdate(std::string_view bytes, Reason *reason)
{
    relaywire::Bulletin in;
    if (!parseRelayMessage(bytes, "platform update", &in, reason))
        return std::nullopt;
    PlatformUpdate update{.instancesRevision = in.instances_revision(),
                          .hostsRevision = in.hosts_revision(),
                          .instancesPosition = read(in.instances_position()),
                          .hostsPosition = read(in.hosts_position()),
                          .storeEpoch = in.store_epoch(),
                          .storeEpochAge = Millis(in.store_epoch_age_ms()),
                          .routingAge = Millis(in.routing_age_ms()),
                          .instancesAge = Millis(in.instances_age_ms()),
                          .hostsAge = Millis(in.hosts_age_ms()),
                          .reachesPlatform = in.reaches_platform()};
    if (in.has_reading_ms())
        update.readingTime = Millis(in.reading_ms());
    if (in.has_routing()) {
        update.routing = read(in.routing());
        if (!update.routing) {
            setReason(reason, "the consistency of a route is unknown");
            return std::nullopt;
        }
    }
    if (in.has_routing_delta()) {
        update.routingDelta = read(in.routing_delta());
        if (!update.routingDelta) {
            setReason(reason, "an entry of the difference of the routing table is invalid");
            return std::nullopt;
        }
    }
    if (in.has_instances())
        update.instances = readValid<RegisteredInstance>(in.instances(), reason);
    if (in.has_hosts())
        update.hosts = readValid<HostRecord>(in.hosts(), reason);
    return update;
}

std::string encodePlatformUpdateRequest(const PlatformUpdateRequest &request)
{
    relaywire::BulletinRequest out;
    out.set_routing_version(request.routingVersion);
    out.set_instances_revision(request.instancesRevision);
    out.set_hosts_revision(request.hostsRevision);
    out.set_wait_ms(milliseconds(request.wait));
    out.set_host(request.host);
    out.set_takes_delta(request.takesDelta);
    return out.SerializeAsString();
}

std::optional<PlatformUpdateRequest> decodePlatformUpdateRequest(std::string_view bytes,
                                                                 Reason *reason)
{
    relaywire::BulletinRequest in;
    if (!parseRelayMessage(bytes, "platform update request", &in, reason))
        return std::nullopt;
    return PlatformUpdateRequest{.routingVersion = in.routing_version(),
                                 .instancesRevision = in.instances_revision(),
                                 .hostsRevision = in.hosts_revision(),
                                 .wait = Millis(in.wait_ms()),
                                 .host = in.host(),
                                 .takesDelta = in.takes_delta()};
}

void PlatformCache::setRouting(Millis now, const RoutingTable &routing, Millis age)
{
    m_routingAt = std::max(m_routingAt, now - age);
    if (m_routing && routing.version <= m_routing->version)
        return;
    if (m_routing)
        m_history.add(*m_routing, routing);
    m_routing = routing;
    m_wantsWhole = false;
    m_delta.reset();
    answerWaiting(now, AnswerWhom::Updated);
}

// A list of an earlier epoch may show what was lost since; within an epoch the version decides. A
// host that does not say where its list stands says when it was read.
bool PlatformCache::isOlder(const Origin &origin, const Origin &than)
{
    const bool knowEpochs = origin.position.epoch > 0 && than.position.epoch > 0;
    if (knowEpochs && origin.position != than.position)
        return origin.position < than.position;
    return origin.readAt < than.readAt;
}

bool PlatformCache::setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                                 StorePosition position, Millis age)
{
    return takeInstances(now, instances, {.position = position, .readAt = now - age},
                         revisionOf<relaywire::Instance>(instances));
}

bool PlatformCache::takeInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                                  const Origin &origin, std::uint64_t revision)
{
    if (isOlder(origin, m_instancesOrigin))
        return false;
    m_instancesOrigin = origin;
    m_instances = instances;
    m_instancesRevision = revision;
    answerWaiting(now, AnswerWhom::Updated);
    return true;
}

void PlatformCache::setHosts(Millis now, const std::vector<HostRecord> &hosts,
                             StorePosition position, Millis age)
{
    takeHosts(now, hosts, {.position = position, .readAt = now - age},
              revisionOf<relaywire::Host>(hosts));
}

void PlatformCache::takeHosts(Millis now, const std::vector<HostRecord> &hosts,
                              const Origin &origin, std::uint64_t revision)
{
    if (isOlder(origin, m_hostsOrigin))
        return;
    m_hostsOrigin = origin;
    m_hosts = hosts;
    m_hostsRevision = revision;
    answerWaiting(now, AnswerWhom::Updated);
}

void PlatformCache::setReachesPlatform(Millis now, bool reaches)
{
    if (m_reachesPlatform == reaches)
        return;
    m_reachesPlatform = reaches;
    answerWaiting(now, AnswerWhom::All);
}

bool PlatformCache::resolveDelta(PlatformUpdate *update, Reason *reason)
{
    if (!update->routingDelta)
        return true;
    const bool isOlder = m_routing && m_routing->version >= update->routingDelta->changed.version;
    if (isOlder)
        return true;
    if (m_routing)
        update->routing = applyDelta(*m_routing, *update->routingDelta, reason);
    else
        setReason(reason, "there is no version that the difference could apply to");
    m_wantsWhole = !update->routing;
    return !m_wantsWhole;
}

void PlatformCache::refresh(Millis now, const PlatformUpdate &update)
{
    if (update.routing)
        setRouting(now, *update.routing, update.routingAge);
    else if (!update.routingDelta)
        m_routingAt = std::max(m_routingAt, now - update.routingAge);
    const Origin instancesOrigin{.position = update.instancesPosition,
                                 .readAt = now - update.instancesAge};
    const Origin hostsOrigin{.position = update.hostsPosition, .readAt = now - update.hostsAge};
    // The lists may lack entries that this host cannot read, so the reader's revisions count.
    if (update.instances)
        takeInstances(now, *update.instances, instancesOrigin, update.instancesRevision);
    else if (update.instancesRevision == m_instancesRevision)
        confirm(&m_instancesOrigin, instancesOrigin);
    if (update.hosts)
        takeHosts(now, *update.hosts, hostsOrigin, update.hostsRevision);
    else if (update.hostsRevision == m_hostsRevision)
        confirm(&m_hostsOrigin, hostsOrigin);
}

// The same list was read again.
void PlatformCache::confirm(Origin *origin, const Origin &again)
{
    if (!isOlder(again, *origin))
        *origin = {.position = again.position, .readAt = std::max(origin->readAt, again.readAt)};
}

PlatformUpdateRequest PlatformCache::request(Millis wait) const
{
    return {.routingVersion = m_routing ? m_routing->version : 0,
            .instancesRevision = m_instancesRevision,
            .hostsRevision = m_hostsRevision,
            .wait = wait,
            .takesDelta = m_routing && !m_wantsWhole};
}

void PlatformCache::requestUpdate(Millis now, const PlatformUpdateRequest &request, Reply reply)
{
    if (hasUpdate(request) || !m_reachesPlatform || request.wait <= Millis(0))
        reply(updateFor(now, request));
    else
        m_waiting.push_back(
            {.request = request, .until = now + request.wait, .reply = std::move(reply)});
}

void PlatformCache::onTick(Millis now)
{
    answerWaiting(now, AnswerWhom::UpdatedOrExpired);
}

bool PlatformCache::hasUpdate(const PlatformUpdateRequest &request) const
{
    return (m_routing && m_routing->version > request.routingVersion)
        || (m_instances && m_instancesRevision != request.instancesRevision);
}

PlatformUpdate PlatformCache::updateFor(Millis now, const PlatformUpdateRequest &request)
{
    PlatformUpdate update{.instancesRevision = m_instancesRevision,
                          .hostsRevision = m_hostsRevision,
                          .instancesPosition = m_instancesOrigin.position,
                          .hostsPosition = m_hostsOrigin.position,
                          .routingAge = now - m_routingAt,
                          .instancesAge = now - m_instancesOrigin.readAt,
                          .hostsAge = now - m_hostsOrigin.readAt,
                          .reachesPlatform = m_reachesPlatform};
    if (m_routing && m_routing->version > request.routingVersion)
        addRouting(request, &update);
    if (m_instances && m_instancesRevision != request.instancesRevision)
        update.instances = m_instances;
    // Hosts renew their records all the time, so that a new list of hosts alone does not count as
    // an update; it is sent along with other data.
    if (m_hosts && m_hostsRevision != request.hostsRevision)
        update.hosts = m_hosts;
    return update;
}

// Adds the difference to the version that the sender of the request has, if that is remembered and
// shorter; otherwise the whole.
void PlatformCache::addRouting(const PlatformUpdateRequest &request, PlatformUpdate *update)
{
    if (request.takesDelta) {
        if (!m_delta || m_delta->base != request.routingVersion)
            m_delta = m_history.differenceSince(request.routingVersion, *m_routing);
        if (m_delta && m_delta->size() < entriesOf(*m_routing))
            update->routingDelta = m_delta;
    }
    if (!update->routingDelta)
        update->routing = m_routing;
}

void PlatformCache::answerWaiting(Millis now, AnswerWhom which)
{
    std::vector<WaitingRequest> answered;
    std::erase_if(m_waiting, [&](WaitingRequest &waiting) {
        const bool expired = which == AnswerWhom::UpdatedOrExpired && now >= waiting.until;
        if (which != AnswerWhom::All && !expired && !hasUpdate(waiting.request))
            return false;
        answered.push_back(std::move(waiting));
        return true;
    });
    for (const WaitingRequest &waiting : answered)
        waiting.reply(updateFor(now, waiting.request));
}

} // namespace cicadagap
