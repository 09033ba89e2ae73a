#include "request/systemview.h"

#include "base/hash.h"
#include "connection/wire.h"
#include "version/settingsreader.h"

#include <utility>

namespace cicadagap {

namespace {

// Each instance has a preferred gateway and fallback gateways for when it fails: the first
// LocalGateways in the instance's own data centre, the last one in another data centre.
constexpr std::size_t LocalGateways = 2;
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
    apply(record);
    dropGroupViews(record.key);
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
    const GroupKey name{team, group};
    const auto found = m_groupViews.find(name);
    if (found != m_groupViews.end())
        return found->second;
    auto built = buildGroupView(name);
    if (built)
        m_groupViews[name] = built;
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

void SystemView::apply(const Record &record)
{
    if (record.key.starts_with("host/")) {
        if (auto host = decodeHost(record.body, nullptr))
            m_hosts[host->name] = std::move(*host);
        rebuildAliveHosts();
    } else if (record.key.starts_with("settings/")) {
        Problems problems;
        auto settings = readTeamSettings(record.body, record.key, &problems);
        // `cicadagap apply` checks settings before it writes them, so invalid settings were written
        // by other means. The previous version stays in force.
        if (!settings)
            return;
        auto versioned = std::make_shared<VersionedTeamSettings>();
        versioned->settings = std::move(*settings);
        versioned->version = record.version;
        m_teams[record.key.substr(record.key.find('/') + 1)] = std::move(versioned);
    }
}

std::shared_ptr<const GroupView> SystemView::buildGroupView(const GroupKey &name) const
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
        route.gateways = rankGateways(name.first + "/" + instance.first, route.dataCentre);
        view->instances.push_back(std::move(route));
    }
    return view;
}

std::vector<std::string> SystemView::rankGateways(const std::string &instance,
                                                  const std::string &dataCentre) const
{
    std::vector<std::string> gateways;
    std::vector<std::string> otherDataCentres;
    for (const auto &entry : m_aliveHosts) {
        if (entry.first == dataCentre)
            gateways = rendezvousTop(instance, entry.second, LocalGateways);
        else
            otherDataCentres.push_back(entry.first);
    }
    // Hosts of other data centres follow as fallbacks, one from each data centre.
    for (const std::string &otherDataCentre :
         rendezvousOrder(instance, std::move(otherDataCentres))) {
        if (gateways.size() >= GatewaysPerInstance)
            break;
        gateways.push_back(rendezvousTop(instance, m_aliveHosts.at(otherDataCentre), 1).front());
    }
    return gateways;
}

void SystemView::rebuildAliveHosts()
{
    m_aliveHosts.clear();
    for (const auto &host : m_hosts) {
        if (host.second.state == HostState::Alive)
            m_aliveHosts[host.second.dataCentre].push_back(host.first);
    }
}

void SystemView::dropGroupViews(const std::string &key)
{
    // Keys are "<kind>/<team>[/<group or instance>]" or "host/<name>". A host's record may change
    // the gateways of every group.
    if (key.starts_with("host/")) {
        m_groupViews.clear();
        return;
    }
    const std::size_t start = key.find('/') + 1;
    const std::string team = key.substr(start, key.find('/', start) - start);
    std::erase_if(m_groupViews, [&team](const auto &entry) { return entry.first.first == team; });
}

} // namespace cicadagap
