#include "session/tenant.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadagap {

namespace {

// Keeps digests of keys apart from other signatures. All hosts must use the same text.
constexpr std::string_view DigestContext = "cicadagap api key";
constexpr std::size_t DigestCharacters = 32;

} // namespace

ApiKey ApiKey::fromText(std::string_view key)
{
    return ApiKey(signature(DigestContext, key));
}

std::optional<ApiKey> ApiKey::fromDigest(std::string_view digest)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    if (digest.size() != DigestCharacters
        || digest.find_first_not_of(Digits) != std::string_view::npos)
        return std::nullopt;
    return ApiKey(std::string(digest));
}

} // namespace cicadagap
