// What one host knows of the system for routing requests: the teams' settings, the hosts, and the
// primary of each database group. It is built from versioned records, which the host's steward (its
// control process) passes on.
//
//     SystemView view("cali-1", "cali");
//     view.merge(record);
//     std::shared_ptr<const GroupView> group = view.group("valle", "tensile");
//
// Thread-safe. The objects that it returns are immutable and stay valid after later changes.
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

// A team's settings and the version of the record that they came in.
struct VersionedTeamSettings
{
    TeamSettings settings;
    std::uint64_t version = 0;
};

class SystemView
{
public:
    // `host` and `dataCentre` are the names of this host and of its data centre.
    SystemView(std::string host, std::string dataCentre);

    // Stores a record if it is newer than the known one. Returns whether anything changed.
    bool merge(const Record &record);
    // Returns one hash over all records. It equals the steward's if both hold the same records.
    std::uint64_t hash() const;

    // Returns the team's settings in force, or null if none are known yet.
    std::shared_ptr<const VersionedTeamSettings> team(const std::string &team) const;
    std::vector<std::string> teams() const;
    // Returns the routes to a group, or null if the team or the group is unknown.
    std::shared_ptr<const GroupView> group(const std::string &team, const std::string &group) const;
    std::optional<HostInfo> host(const std::string &name) const;
    std::vector<HostInfo> hosts() const;
    // Returns the number of changes so far, from which a user of this class sees whether to read
    // again.
    std::uint64_t generation() const;

    const std::string &self() const { return m_host; }
    const std::string &dataCentre() const { return m_dataCentre; }

private:
    using GroupKey = std::pair<std::string, std::string>; // The names of team and group.

    // Updates m_hosts or m_teams from a record that m_records has taken.
    void apply(const Record &record) CICADAGAP_REQUIRES(m_mutex);
    void rebuildAliveHosts() CICADAGAP_REQUIRES(m_mutex);
    // Drops the group views that a record with this key may change.
    void dropGroupViews(const std::string &key) CICADAGAP_REQUIRES(m_mutex);
    std::shared_ptr<const GroupView> buildGroupView(const GroupKey &name) const
        CICADAGAP_REQUIRES(m_mutex);
    // Returns the hosts whose gateways serve `instance` ("<team>/<instance>"), the preferred one
    // first. `dataCentre` is the instance's.
    std::vector<std::string> rankGateways(const std::string &instance,
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
        m_aliveHosts CICADAGAP_GUARDED_BY(m_mutex); // Names of alive hosts by data centre.
    mutable std::map<GroupKey, std::shared_ptr<const GroupView>>
        m_groupViews CICADAGAP_GUARDED_BY(m_mutex); // Built on demand, dropped on a change.
    std::uint64_t m_generation CICADAGAP_GUARDED_BY(m_mutex) = 0;
};

} // namespace cicadagap
