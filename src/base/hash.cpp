#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cicadagap {

namespace {

// Hexadecimal digits of a signature: the first 128 bits of the HMAC.
constexpr std::size_t SignatureCharacters = 32;

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string hash64Digits(std::string_view text, std::uint64_t seed)
{
    constexpr std::size_t Length = 16;
    std::array<char, Length> digits;
    const auto result
        = std::to_chars(digits.data(), digits.data() + Length, hash64(text, seed), /*base=*/16);
    const std::string hex(digits.data(), result.ptr);
    return std::string(Length - hex.size(), '0') + hex;
}

std::string signature(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &length);
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (std::size_t i = 0; i < SignatureCharacters / 2; ++i) {
        hex.push_back(Digits[digest.at(i) >> 4U]);
        hex.push_back(Digits[digest.at(i) & 15U]);
    }
    return hex;
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates)
{
    return rendezvousTop(key, candidates, candidates.size());
}

std::vector<std::string>
rendezvousTop(std::string_view key, const std::vector<std::string> &candidates, std::size_t count)
{
    struct Weighted
    {
        std::uint64_t weight;
        const std::string *name;
    };
    const std::uint64_t seed = hash64(key);
    std::vector<Weighted> weighted;
    weighted.reserve(candidates.size());
    for (const std::string &candidate : candidates)
        weighted.push_back({hash64(candidate, seed), &candidate});
    count = std::min(count, weighted.size());
    const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(weighted.begin(), middle, weighted.end(),
                      [](const Weighted &left, const Weighted &right) {
                          return left.weight != right.weight ? left.weight > right.weight
                                                             : *left.name < *right.name;
                      });
    std::vector<std::string> top;
    top.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        top.push_back(*weighted[i].name);
    return top;
}

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace cicadagap
