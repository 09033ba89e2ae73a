// Tenants: those in whose name callers send statements. A caller shows an API key, and the routing
// table says whose key it is. Only a digest of a key is kept, sent to other hosts and logged.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// An API key, as its digest: the first 128 bits of an HMAC-SHA-256, in hexadecimal.
class ApiKey
{
public:
    // That of a caller who showed no key; no tenant holds it.
    ApiKey() = default;
    // The key that a caller showed or the operators configured. It may hold any bytes.
    static ApiKey fromText(std::string_view key);
    // The key whose digest another host sent; nothing if the text is not a digest.
    static std::optional<ApiKey> fromDigest(std::string_view digest);

    const std::string &digest() const { return m_digest; }

    auto operator<=>(const ApiKey &) const = default;

private:
    explicit ApiKey(std::string digest)
        : m_digest(std::move(digest))
    {
    }

    std::string m_digest;
};

// How many operations of a tenant may run, over all hosts together. An operation is a transaction,
// or a statement outside of transactions.
struct TenantLimits
{
    std::int64_t perSecond = 0;
    std::int64_t burst = 0; // Operations beyond the rate that may run at once.

    bool operator==(const TenantLimits &) const = default;
};

struct Tenant
{
    std::string name; // One word, which instances are told.
    std::vector<ApiKey> keys;
    std::optional<TenantLimits> limits; // Nothing if its operations are not limited.

    bool operator==(const Tenant &) const = default;
};

} // namespace cicadagap
