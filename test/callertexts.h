// Draws the texts that callers put into their statements: ordinary ones, and ones that end a field
// early, continue another text or cannot be decoded if they are put into a message without care.
//
// Deterministic for a seed. Performs no I/O; not thread-safe.
#pragma once

#include "base/hash.h"

#include <cstdint>
#include <string>

namespace cicadagap {

class CallerTexts
{
public:
    explicit CallerTexts(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Texts that contain no blank and no line end. The names collide between callers.
    std::string valueName();
    std::string preparedName();
    std::string item();
    // What follows a number to make up a statement's id; mostly empty.
    std::string idSuffix();

    // Texts that may contain blanks, but no line end.
    std::string shape();
    std::string text();

    // True once in so many calls, on average.
    bool oneIn(std::uint64_t calls) { return m_random.below(calls) == 0; }

private:
    Random m_random;
};

} // namespace cicadagap
