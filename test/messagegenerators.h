// Generators (RapidCheck) of texts that callers, instances, the operator and the store may choose,
// and of damaged encodings.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadagap {

// Any bytes: often delimiters, NUL and bytes that are not UTF-8, sometimes nothing, and sometimes a
// text that is longer than the buffers on its way.
inline rc::Gen<std::string> anyText()
{
    const auto delimiter = rc::gen::elementOf(std::string("\0\r\n\t \"/:\xC3\xFF", 10));
    const auto byte = rc::gen::map(rc::gen::inRange(0, 256),
                                   [](int value) { return static_cast<char>(value); });
    const auto shortText = rc::gen::container<std::string>(rc::gen::oneOf(delimiter, byte));
    const auto longText = rc::gen::map(byte, [](char c) { return std::string(70'000, c); });
    const auto word = rc::gen::elementOf(
        std::vector<std::string>{"", "-", "READ", "WRITE as", "q 16", "\xC0\x80", "\r\n"});
    return rc::gen::weightedOneOf<std::string>({{20, shortText}, {6, word}, {1, longText}});
}

// A valid encoding after some damage: bits flipped, the end cut off, or bytes inserted or removed.
inline rc::Gen<std::string> damaged(std::string bytes)
{
    return rc::gen::exec([bytes = std::move(bytes)] {
        std::string result = bytes;
        const int changes = *rc::gen::inRange(1, 5);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, result.size() + 1);
            const auto value = static_cast<char>(*rc::gen::inRange(0, 256));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (at < result.size())
                    result[at] = static_cast<char>(result[at] ^ (1 << (value & 7)));
                break;
            case 1:
                result.resize(at);
                break;
            case 2:
                result.insert(at, 1, value);
                break;
            default:
                if (at < result.size())
                    result.erase(at, 1);
                break;
            }
        }
        return result;
    });
}

} // namespace cicadagap
