#include "process/jsonline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::string_view Replacement = "\xef\xbf\xbd"; // U+FFFD in UTF-8.
constexpr std::size_t MaxNameBytes = 32;
// Of the line, for the member "cut".
constexpr std::size_t CutBytes = 1024;
constexpr std::string_view CutStart = ",\"cut\":{";
constexpr std::string_view CutEnd = "}}";
// The longest number, with its sign.
constexpr std::size_t MaxNumberBytes = 20;
// Quotes, colon and comma of a member with a text.
constexpr std::size_t MemberBytes = 6;
// The members that every line has.
constexpr std::size_t CommonBytes = 512;

static_assert(CommonBytes + MaxWholeFields * (MaxNameBytes + MemberBytes + MaxLogFieldBytes)
                  + CutBytes
              <= MaxLogLineBytes);

bool isContinuation(char c)
{
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

// The length of the UTF-8 character that the text begins with; 0 if it begins with none. The ranges
// of the second byte exclude overlong forms, surrogates and what lies beyond U+10FFFF.
std::size_t characterLength(std::string_view text)
{
    const auto byte = [&text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char first = byte(0);
    if (first < 0x80)
        return 1;
    const std::size_t length = first < 0xE0 ? 2 : first < 0xF0 ? 3 : 4;
    if (first < 0xC2 || first > 0xF4 || text.size() < length)
        return 0;
    const unsigned char lowest = first == 0xE0 ? 0xA0 : first == 0xF0 ? 0x90 : 0x80;
    const unsigned char highest = first == 0xED ? 0x9F : first == 0xF4 ? 0x8F : 0xBF;
    if (byte(1) < lowest || byte(1) > highest)
        return 0;
    const std::string_view rest = text.substr(2, length - 2);
    return std::all_of(rest.begin(), rest.end(), isContinuation) ? length : 0;
}

bool isPlain(char c)
{
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
}

// The escape sequence of an ASCII character that JSON does not permit as it is.
std::string_view escapeOf(char c, std::array<char, 6> *buffer)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    switch (c) {
    case '"':
        return "\\\"";
    case '\\':
        return "\\\\";
    case '\n':
        return "\\n";
    case '\r':
        return "\\r";
    case '\t':
        return "\\t";
    default:
        const auto code = static_cast<unsigned char>(c);
        *buffer = {'\\', 'u', '0', '0', Digits[code >> 4U], Digits[code & 0xFU]};
        return {buffer->data(), buffer->size()};
    }
}

void appendNumber(std::int64_t number, std::string *out)
{
    std::array<char, MaxNumberBytes> digits;
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    out->append(digits.data(), result.ptr);
}

} // namespace

bool appendJsonText(std::string_view text, std::size_t limit, std::string *out)
{
    const std::size_t end = out->size() + limit;
    std::array<char, 6> buffer;
    while (!text.empty()) {
        const std::string_view fitting = text.substr(0, end - out->size());
        const auto special = std::find_if_not(fitting.begin(), fitting.end(), isPlain);
        const auto plain = static_cast<std::size_t>(special - fitting.begin());
        out->append(fitting.substr(0, plain));
        text.remove_prefix(plain);
        if (text.empty())
            return true;
        const std::size_t length = characterLength(text);
        std::string_view unit = length == 0 ? Replacement : text.substr(0, length);
        if (length == 1 && !isPlain(text[0]) && text[0] != '\x7f')
            unit = escapeOf(text[0], &buffer);
        if (unit.size() > end - out->size())
            return false;
        out->append(unit);
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return true;
}

JsonLine::JsonLine(std::size_t limit)
    : m_limit(limit)
{
}

void JsonLine::add(const LogField &field, std::size_t maxTextBytes)
{
    if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
        if (startMember(field.name))
            appendNumber(*number, &m_text);
        else
            noteCut(field.name, MaxNumberBytes);
        return;
    }
    const std::string_view text = std::get<std::string_view>(field.value);
    if (!startMember(field.name)) {
        noteCut(field.name, text.size());
        return;
    }
    m_text += '"';
    if (!appendJsonText(text, std::min(room(), maxTextBytes), &m_text))
        noteCut(field.name, text.size());
    m_text += '"';
}

std::string JsonLine::finish()
{
    if (m_cuts.empty()) {
        m_text += '}';
    } else {
        m_text += CutStart;
        m_text += m_cuts;
        m_text += CutEnd;
    }
    return std::move(m_text);
}

// Appends a member's name. Returns false if there is no room for it and a value.
bool JsonLine::startMember(std::string_view name)
{
    if (room() < MaxNameBytes + MemberBytes + MaxNumberBytes)
        return false;
    if (m_text.size() > 1)
        m_text += ',';
    m_text += '"';
    appendJsonText(name, MaxNameBytes, &m_text);
    m_text += "\":";
    return true;
}

void JsonLine::noteCut(std::string_view name, std::size_t bytes)
{
    constexpr std::size_t Margin = MaxNameBytes + MemberBytes + MaxNumberBytes;
    if (m_cuts.size() + Margin > CutBytes - CutStart.size() - CutEnd.size())
        return;
    if (!m_cuts.empty())
        m_cuts += ',';
    m_cuts += '"';
    appendJsonText(name, MaxNameBytes, &m_cuts);
    m_cuts += "\":";
    appendNumber(static_cast<std::int64_t>(bytes), &m_cuts);
}

// How many bytes the line has left for members, without the one that says what was cut.
std::size_t JsonLine::room() const
{
    const std::size_t used = m_text.size() + CutBytes + MemberBytes;
    return used < m_limit ? m_limit - used : 0;
}

} // namespace cicadagap
