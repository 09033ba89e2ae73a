// Hashes, keyed signatures, rendezvous hashing, and a deterministic random number generator.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// The 64-bit xxHash of `text`. The result is the same on every host.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// The hash64() of `text` as 16 hexadecimal digits.
std::string hash64Digits(std::string_view text, std::uint64_t seed = 0);

// The HMAC-SHA-256 of `text` under `key` in hexadecimal, truncated to 32 characters (128 bits).
std::string signature(std::string_view key, std::string_view text);

// Whether two strings are equal. The time taken depends on their lengths only, not on where they
// differ, so that comparing a signature reveals nothing about the expected one.
bool equalConstantTime(std::string_view left, std::string_view right);

// Orders `candidates` by their rendezvous weight for `key`, highest first. Every host that has the
// same candidates computes the same order, and removing one candidate does not reorder the others.
// See Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

// The first `count` entries of rendezvousOrder(), or all if there are fewer. For a small `count` it
// takes time proportional to the number of candidates.
std::vector<std::string>
rendezvousTop(std::string_view key, const std::vector<std::string> &candidates, std::size_t count);

// A small deterministic random number generator (SplitMix64), for jitter and for choosing random
// peers. Equal seeds give equal sequences. Not suitable for secrets. Not thread-safe.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    // A uniformly distributed 64-bit number.
    std::uint64_t next();
    // A number in [0, bound). `bound` must be at least 1.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

private:
    std::uint64_t m_state;
};

} // namespace cicadagap
