// Hashes, keyed signatures and the deterministic random numbers that decisions use.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// The 64-bit xxHash of `text`. Equal on every host.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// The hexadecimal HMAC-SHA-256 of `text` under `key`, cut to 32 characters (128 bits).
std::string signature(std::string_view key, std::string_view text);

// Whether two strings are equal, in time that does not depend on where they differ.
bool equalConstantTime(std::string_view left, std::string_view right);

// Orders `candidates` by rendezvous weight for `key`, highest first. Each host that sees the same
// candidates computes the same order, and removing one candidate does not reorder the others.
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.)
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

// The first `count` of rendezvousOrder(), in time proportional to the number of candidates.
std::vector<std::string>
rendezvousTop(std::string_view key, const std::vector<std::string> &candidates, std::size_t count);

// A small deterministic generator (SplitMix64) for jitter and random peers. Not for secrets.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    // A uniform 64-bit number.
    std::uint64_t next();
    // A number in [0, bound). `bound` must be at least 1.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

private:
    std::uint64_t m_state;
};

} // namespace cicadagap
