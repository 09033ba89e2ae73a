#include "base/utf8.h"

#include <algorithm>
#include <cstddef>

namespace cicadagap {

namespace {

// The lead bytes of one kind of character, the number of bytes that follow, and the range of the
// first of them. The bytes after that one are from 0x80 to 0xBF.
struct CharacterForm
{
    unsigned char firstLead;
    unsigned char lastLead;
    std::size_t following;
    unsigned char least = 0x80;
    unsigned char most = 0xBF;
};

constexpr CharacterForm Forms[] = {
    {0x00, 0x7F, 0},
    {0xC2, 0xDF, 1},
    {0xE0, 0xE0, 2, 0xA0, 0xBF},
    {0xE1, 0xEC, 2},
    {0xED, 0xED, 2, 0x80, 0x9F},
    {0xEE, 0xEF, 2},
    {0xF0, 0xF0, 3, 0x90, 0xBF},
    {0xF1, 0xF3, 3},
    {0xF4, 0xF4, 3, 0x80, 0x8F},
};

// The number of bytes of the character at the start of a text that is not empty; 0 if invalid.
std::size_t characterLength(std::string_view text)
{
    const auto byteAt
        = [text](std::size_t index) { return static_cast<unsigned char>(text[index]); };
    const auto *const form
        = std::find_if(std::begin(Forms), std::end(Forms), [&byteAt](const CharacterForm &each) {
              return byteAt(0) >= each.firstLead && byteAt(0) <= each.lastLead;
          });
    if (form == std::end(Forms) || text.size() <= form->following)
        return 0;
    if (form->following > 0 && (byteAt(1) < form->least || byteAt(1) > form->most))
        return 0;
    for (std::size_t index = 2; index <= form->following; ++index) {
        if (byteAt(index) < 0x80 || byteAt(index) > 0xBF)
            return 0;
    }
    return form->following + 1;
}

} // namespace

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

} // namespace cicadagap
