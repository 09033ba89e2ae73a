#include "request/systemview.h"

#include "base/hash.h"
#include "connection/wire.h"
#include "version/settingsreader.h"

#include <utility>

namespace cicadagap {

namespace {

// A preferred gateway and its standbys; the last one is in another data centre.
constexpr std::size_t NearGateways = 2;
constexpr std::size_t GatewaysPerInstance = 3;

} // namespace

SystemView::SystemView(std::string host, std::string dataCentre)
    : m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
{
}

bool SystemView::merge(const Record &record)
{
    MutexLock lock(&m_mutex);
    if (!m_records.merge(record))
        return false;
    decode(record);
    forgetGroups(record.key);
    ++m_generation;
    return true;
}

std::uint64_t SystemView::hash() const
{
    MutexLock lock(&m_mutex);
    return m_records.hash();
}

std::shared_ptr<const VersionedTeamSettings> SystemView::team(const std::string &team) const
{
    MutexLock lock(&m_mutex);
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : found->second;
}

std::vector<std::string> SystemView::teams() const
{
    MutexLock lock(&m_mutex);
    std::vector<std::string> names;
    for (const auto &team : m_teams)
        names.push_back(team.first);
    return names;
}

std::shared_ptr<const GroupView> SystemView::group(const std::string &team,
                                                   const std::string &group) const
{
    MutexLock lock(&m_mutex);
    const GroupName name{team, group};
    const auto found = m_groups.find(name);
    if (found != m_groups.end())
        return found->second;
    auto built = build(name);
    if (built)
        m_groups[name] = built;
    return built;
}

std::optional<HostInfo> SystemView::host(const std::string &name) const
{
    MutexLock lock(&m_mutex);
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end())
        return std::nullopt;
    return found->second;
}

std::vector<HostInfo> SystemView::hosts() const
{
    MutexLock lock(&m_mutex);
    std::vector<HostInfo> hosts;
    for (const auto &host : m_hosts)
        hosts.push_back(host.second);
    return hosts;
}

std::uint64_t SystemView::generation() const
{
    MutexLock lock(&m_mutex);
    return m_generation;
}

void SystemView::decode(const Record &record)
{
    if (record.key.starts_with("host/")) {
        if (auto host = decodeHost(record.body, nullptr))
            m_hosts[host->name] = std::move(*host);
        rebuildAlive();
    } else if (record.key.starts_with("settings/")) {
        Problems problems;
        auto settings = readTeamSettings(record.body, record.key, &problems);
        // The operator's command checks before it writes, so a body that does not pass was written
        // some other way; the version before it stays in force.
        if (!settings)
            return;
        auto version = std::make_shared<VersionedTeamSettings>();
        version->settings = std::move(*settings);
        version->version = record.version;
        m_teams[record.key.substr(record.key.find('/') + 1)] = std::move(version);
    }
}

std::shared_ptr<const GroupView> SystemView::build(const GroupName &name) const
{
    const auto team = m_teams.find(name.first);
    if (team == m_teams.end())
        return nullptr;
    const auto &groups = team->second->settings.groups;
    const auto group = groups.find(name.second);
    if (group == groups.end())
        return nullptr;
    auto view = std::make_shared<GroupView>();
    if (const Record *primary = m_records.find(primaryKey(name.first, name.second))) {
        view->term = primary->version;
        view->primary = decodePrimary(primary->body);
    }
    for (const auto &instance : group->second.instances) {
        InstanceRoute route;
        route.name = instance.first;
        route.dataCentre = instance.second.dataCentre;
        const Record *leaving = m_records.find(leavingKey(name.first, instance.first));
        route.leaving = leaving && decodeLeaving(leaving->body);
        route.gateways = gatewaysFor(name.first + "/" + instance.first, route.dataCentre);
        view->instances.push_back(std::move(route));
    }
    return view;
}

std::vector<std::string> SystemView::gatewaysFor(const std::string &instance,
                                                 const std::string &dataCentre) const
{
    std::vector<std::string> gateways;
    std::vector<std::string> others;
    for (const auto &entry : m_alive) {
        if (entry.first == dataCentre)
            gateways = rendezvousTop(instance, entry.second, NearGateways);
        else
            others.push_back(entry.first);
    }
    // Hosts of other data centres stand by behind the near ones, one from each.
    for (const std::string &other : rendezvousOrder(instance, std::move(others))) {
        if (gateways.size() >= GatewaysPerInstance)
            break;
        gateways.push_back(rendezvousTop(instance, m_alive.at(other), 1).front());
    }
    return gateways;
}

void SystemView::rebuildAlive()
{
    m_alive.clear();
    for (const auto &host : m_hosts) {
        if (host.second.state == HostState::Alive)
            m_alive[host.second.dataCentre].push_back(host.first);
    }
}

void SystemView::forgetGroups(const std::string &key)
{
    // "<kind>/<team>[/<group or instance>]"; a host's record may change every group's gateways.
    if (key.starts_with("host/")) {
        m_groups.clear();
        return;
    }
    const std::size_t start = key.find('/') + 1;
    const std::string team = key.substr(start, key.find('/', start) - start);
    std::erase_if(m_groups, [&team](const auto &entry) { return entry.first.first == team; });
}

} // namespace cicadagap
