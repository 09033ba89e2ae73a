#include "session/routing.h"

#include <utility>

namespace cicadagap {

bool RoutingTable::addTenant(Tenant tenant, Reason *reason)
{
    if (tenants.contains(tenant.name)) {
        setReason(reason, "tenant " + tenant.name + " is listed twice");
        return false;
    }
    for (const ApiKey &key : tenant.keys) {
        const auto holder = keyHolders.find(key);
        if (holder != keyHolders.end()) {
            setReason(reason,
                      "tenant " + tenant.name + ": key " + key.digest() + " belongs to "
                          + holder->second + " already");
            return false;
        }
    }
    for (const ApiKey &key : tenant.keys)
        keyHolders.emplace(key, tenant.name);
    std::string name = tenant.name;
    tenants.emplace(std::move(name), std::move(tenant));
    return true;
}

const Tenant *RoutingTable::tenantOf(const ApiKey &key) const
{
    const auto holder = keyHolders.find(key);
    if (holder == keyHolders.end())
        return nullptr;
    const auto tenant = tenants.find(holder->second);
    return tenant == tenants.end() ? nullptr : &tenant->second;
}

} // namespace cicadagap
