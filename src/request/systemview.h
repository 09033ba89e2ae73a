// What one host knows of the world, for routing requests: teams' settings, hosts and primaries, all
// built from the records that its steward hands over.
//
//     SystemView view("cali-1", "cali");
//     view.merge(record);
//     std::shared_ptr<const GroupView> group = view.group("valle", "tensile");
//
// Thread-safe. What it returns is immutable and stays valid.
#pragma once

#include "base/mutex.h"
#include "process/membership.h"
#include "process/recordstore.h"
#include "request/requestflow.h"
#include "version/settings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

struct VersionedTeamSettings
{
    TeamSettings settings;
    std::uint64_t version = 0;
};

class SystemView
{
public:
    SystemView(std::string host, std::string dataCentre);

    // Takes a record if it is newer than what is known. Returns whether anything changed.
    bool merge(const Record &record);
    // One hash over all records, to compare with the steward's.
    std::uint64_t hash() const;

    // A team's settings in force; null before they are known.
    std::shared_ptr<const VersionedTeamSettings> team(const std::string &team) const;
    std::vector<std::string> teams() const;
    // The routes of a group; null if the team or the group is unknown.
    std::shared_ptr<const GroupView> group(const std::string &team, const std::string &group) const;
    std::optional<HostInfo> host(const std::string &name) const;
    std::vector<HostInfo> hosts() const;
    // Counts the changes, so that others can tell when to look again.
    std::uint64_t generation() const;

    const std::string &self() const { return m_host; }
    const std::string &dataCentre() const { return m_dataCentre; }

private:
    using GroupName = std::pair<std::string, std::string>; // Team and group.

    void decode(const Record &record) CICADAGAP_REQUIRES(m_mutex);
    void rebuildAlive() CICADAGAP_REQUIRES(m_mutex);
    // Drops the routes that a record with this key may change.
    void forgetGroups(const std::string &key) CICADAGAP_REQUIRES(m_mutex);
    std::shared_ptr<const GroupView> build(const GroupName &name) const CICADAGAP_REQUIRES(m_mutex);
    std::vector<std::string> gatewaysFor(const std::string &instance,
                                         const std::string &dataCentre) const
        CICADAGAP_REQUIRES(m_mutex);

    std::string m_host;
    std::string m_dataCentre;
    mutable Mutex m_mutex;
    RecordStore m_records CICADAGAP_GUARDED_BY(m_mutex);
    std::map<std::string, std::shared_ptr<const VersionedTeamSettings>>
        m_teams CICADAGAP_GUARDED_BY(m_mutex);
    std::map<std::string, HostInfo> m_hosts CICADAGAP_GUARDED_BY(m_mutex);
    std::map<std::string, std::vector<std::string>>
        m_alive CICADAGAP_GUARDED_BY(m_mutex); // Host names by data centre.
    mutable std::map<GroupName, std::shared_ptr<const GroupView>>
        m_groups CICADAGAP_GUARDED_BY(m_mutex); // Built on demand, cleared on change.
    std::uint64_t m_generation CICADAGAP_GUARDED_BY(m_mutex) = 0;
};

} // namespace cicadagap
