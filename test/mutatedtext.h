// Generators of texts for tests of codecs: valid UTF-8, and valid messages that were damaged.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadagap {

// Appends the UTF-8 form of a code point.
inline void appendUtf8(char32_t point, std::string *text)
{
    const auto follow = [point, text](unsigned shift) {
        text->push_back(static_cast<char>(0x80U | ((point >> shift) & 0x3FU)));
    };
    if (point < 0x80) {
        text->push_back(static_cast<char>(point));
    } else if (point < 0x800) {
        text->push_back(static_cast<char>(0xC0U | (point >> 6U)));
        follow(0);
    } else if (point < 0x10000) {
        text->push_back(static_cast<char>(0xE0U | (point >> 12U)));
        follow(6);
        follow(0);
    } else {
        text->push_back(static_cast<char>(0xF0U | (point >> 18U)));
        follow(12);
        follow(6);
        follow(0);
    }
}

// Valid UTF-8 in which control characters, blanks and delimiters are frequent.
inline rc::Gen<std::string> anyUtf8()
{
    const auto point = rc::gen::weightedOneOf<std::uint32_t>(
        {{4, rc::gen::inRange<std::uint32_t>(0, 0x80)},
         {4,
          rc::gen::element<std::uint32_t>(' ', '\r', '\n', '\t', 0, '%', '/', '"', ';', ',', ':',
                                          '.', '\\', '&', '=')},
         {1, rc::gen::inRange<std::uint32_t>(0x80, 0xD800)},
         {1, rc::gen::inRange<std::uint32_t>(0xE000, 0x110000)}});
    return rc::gen::map(rc::gen::container<std::vector<std::uint32_t>>(point),
                        [](const std::vector<std::uint32_t> &points) {
                            std::string text;
                            for (const std::uint32_t each : points)
                                appendUtf8(each, &text);
                            return text;
                        });
}

// The text with some of these changes: a bit flipped, cut off, bytes inserted, a part doubled, and
// brackets nested.
inline std::string mutated(std::string text)
{
    const int changes = *rc::gen::inRange(1, 5);
    for (int change = 0; change < changes; ++change) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        const std::size_t end = *rc::gen::inRange<std::size_t>(at, text.size() + 1);
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(text[at] ^ (1 << *rc::gen::inRange(0, 8)));
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.insert(at, *rc::gen::arbitrary<std::string>());
            break;
        case 3:
            text.insert(end, text.substr(at, end - at));
            break;
        default:
            text.insert(at, std::string(*rc::gen::inRange<std::size_t>(1, 300), '['));
            break;
        }
    }
    return text;
}

} // namespace cicadagap
