#include "session/hostdirectory.h"

#include "base/hash.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

// The share of an instance's connections that stays unused, for hosts that see another list of
// hosts.
constexpr double SpareShare = 0.1;

// Hosts with the highest scores become the instance's gateways. The share of instances for which a
// host is chosen is proportional to its weight.
double score(const std::string &instance, const HostRecord &host)
{
    constexpr double Range = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(hash64(host.host + "/" + instance)) + 0.5) / Range;
    return -std::max(host.weight, MinHostWeight) / std::log(uniform);
}

} // namespace

std::string hostRecordText(const HostRecord &record)
{
    return json::serialize(json::object{{"host", record.host},
                                        {"dataCentre", record.dataCentre},
                                        {"peers", record.peerEndpoint.text()},
                                        {"weight", record.weight},
                                        {"beat", record.heartbeat},
                                        {"leaving", record.leaving}});
}

std::optional<HostRecord> parseHostRecord(std::string_view text, Reason *reason)
{
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    const json::object *object = error ? nullptr : value.if_object();
    const auto member
        = [object](json::string_view name) { return object ? object->if_contains(name) : nullptr; };
    const json::value *host = member("host");
    const json::value *dataCentre = member("dataCentre");
    const json::value *peers = member("peers");
    const json::value *weight = member("weight");
    const json::value *beat = member("beat");
    const json::value *leaving = member("leaving");
    const bool complete = host && host->is_string() && dataCentre && dataCentre->is_string()
        && peers && peers->is_string() && weight && weight->is_number() && beat && beat->is_number()
        && leaving && leaving->is_bool();
    if (!complete) {
        setReason(reason, "a member of the host's record is missing or has the wrong type");
        return std::nullopt;
    }
    const auto endpoint = parseRemoteEndpoint(std::string(peers->get_string()), reason);
    if (!endpoint)
        return std::nullopt;
    HostRecord record{.host = std::string(host->get_string()),
                      .dataCentre = std::string(dataCentre->get_string()),
                      .peerEndpoint = *endpoint,
                      .weight = weight->to_number<double>(error),
                      .leaving = leaving->get_bool()};
    if (!error)
        record.heartbeat = beat->to_number<std::uint64_t>(error);
    if (!error && isUsable(record))
        return record;
    setReason(reason, "the host's record has no name, or a number that is out of range");
    return std::nullopt;
}

bool isUsable(const HostRecord &record)
{
    return !record.host.empty() && std::isfinite(record.weight) && record.weight > 0;
}

HostDirectory::HostDirectory(Options options)
    : m_options(std::move(options))
{
}

void HostDirectory::setRecords(Millis now, const std::vector<HostRecord> &records)
{
    std::map<std::string, Renewal> renewals;
    std::map<std::string, KnownHost> hosts;
    for (const HostRecord &record : records) {
        const auto seen = m_renewals.find(record.host);
        const bool renewed = seen == m_renewals.end() || seen->second.heartbeat != record.heartbeat;
        const Millis at = renewed ? now : seen->second.at;
        renewals[record.host] = {.heartbeat = record.heartbeat, .at = at};
        if (now - at > m_options.expiry || record.leaving)
            continue;
        const auto known = m_hosts.find(record.host);
        hosts[record.host] = known == m_hosts.end() ? KnownHost{} : known->second;
        hosts[record.host].record = record;
    }
    const auto sameHost = [](const auto &left, const auto &right) {
        return left.first == right.first
            && left.second.record.peerEndpoint == right.second.record.peerEndpoint;
    };
    m_changed = m_changed || !m_listKnown || hosts.size() != m_hosts.size()
        || !std::equal(hosts.begin(), hosts.end(), m_hosts.begin(), sameHost);
    m_listKnown = true;
    m_hosts = std::move(hosts);
    m_renewals = std::move(renewals);
}

void HostDirectory::onGatewayFailed(Millis now, const std::string &host)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        found->second.gatewayBackoffUntil = now + m_options.gatewayBackoff;
}

void HostDirectory::onPlatformReaderFailed(Millis now, const std::string &host)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        found->second.readerBackoffUntil = now + m_options.readerBackoff;
}

std::string HostDirectory::platformReader(Millis now) const
{
    const HostRecord *self = find(m_options.self);
    if (!self)
        return {};
    std::vector<std::string> eligible;
    for (const KnownHost *host : candidates(self->dataCentre)) {
        if (now >= host->readerBackoffUntil || host->record.host == m_options.self)
            eligible.push_back(host->record.host);
    }
    return rendezvousTop("reader/" + self->dataCentre, eligible, 1).front();
}

bool HostDirectory::takeChanged()
{
    return std::exchange(m_changed, false);
}

std::vector<std::string> HostDirectory::othersThatReach(const RegisteredInstance &instance,
                                                        int maxConnections) const
{
    std::vector<const KnownHost *> reaching;
    if (allConnectDirectly(maxConnections)) {
        for (const auto &row : m_hosts)
            reaching.push_back(&row.second);
    } else {
        reaching = highestScores(instance, candidates(instance.dataCentre), m_options.gateways);
    }
    std::erase_if(reaching,
                  [this](const KnownHost *host) { return host->record.host == m_options.self; });
    std::vector<std::string> names;
    for (const KnownHost *host :
         highestScores(instance, std::move(reaching), m_options.relayingHosts))
        names.push_back(host->record.host);
    return names;
}

// How many connections each host may hold to an instance if all connect to it directly.
int HostDirectory::directShare(int maxConnections) const
{
    const std::size_t hosts = std::max<std::size_t>(1, m_hosts.size());
    return static_cast<int>(maxConnections * (1 - SpareShare) / static_cast<double>(hosts));
}

bool HostDirectory::allConnectDirectly(int maxConnections) const
{
    return directShare(maxConnections) >= m_options.directShare;
}

InstanceAccess HostDirectory::access(const RegisteredInstance &instance, int maxConnections) const
{
    if (!m_listKnown)
        return {.direct = false};
    const double usable = maxConnections * (1 - SpareShare);
    if (allConnectDirectly(maxConnections) || !m_hosts.contains(m_options.self))
        return {.direct = true,
                .connections = std::max(directShare(maxConnections), m_options.directShare)};
    const std::vector<const KnownHost *> chosen
        = highestScores(instance, candidates(instance.dataCentre), m_options.gateways);
    InstanceAccess access{.direct = false};
    for (const KnownHost *host : chosen) {
        if (host->record.host == m_options.self) {
            const double gateways = static_cast<double>(chosen.size());
            return {.direct = true,
                    .connections = std::max(1, static_cast<int>(usable / gateways))};
        }
        access.gateways.push_back(host->record.host);
    }
    // The order depends on this host, so that the hosts spread their work over the gateways.
    access.gateways = rendezvousOrder(m_options.self, access.gateways);
    return access;
}

std::string HostDirectory::chooseGateway(Millis now, const InstanceAccess &access,
                                         const std::string &tenant) const
{
    std::vector<std::string> usable;
    for (const std::string &host : access.gateways) {
        const auto found = m_hosts.find(host);
        if (found != m_hosts.end() && now >= found->second.gatewayBackoffUntil)
            usable.push_back(host);
    }
    if (usable.empty())
        return {};
    return tenant.empty() ? usable.front() : rendezvousTop(tenant, usable, 1).front();
}

const HostRecord *HostDirectory::find(const std::string &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second.record;
}

// The hosts with the highest scores for the instance, the highest first.
std::vector<const HostDirectory::KnownHost *>
HostDirectory::highestScores(const RegisteredInstance &instance,
                             std::vector<const KnownHost *> hosts, std::size_t count)
{
    std::sort(hosts.begin(), hosts.end(),
              [&instance](const KnownHost *left, const KnownHost *right) {
                  return score(instance.id, left->record) > score(instance.id, right->record);
              });
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

// The hosts of the data centre, or all hosts if there are none in it.
std::vector<const HostDirectory::KnownHost *>
HostDirectory::candidates(const std::string &dataCentre) const
{
    std::vector<const KnownHost *> local;
    std::vector<const KnownHost *> all;
    for (const auto &row : m_hosts) {
        all.push_back(&row.second);
        if (row.second.record.dataCentre == dataCentre)
            local.push_back(&row.second);
    }
    return local.empty() ? all : local;
}

} // namespace cicadagap
