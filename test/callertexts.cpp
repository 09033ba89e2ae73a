#include "callertexts.h"

#include <array>
#include <string_view>

namespace cicadagap {

namespace {

using namespace std::string_view_literals;

// Each group of pools begins with its ordinary texts. Those that are not UTF-8 are drawn rarely,
// so that what depends on the others is not hidden where a message refuses them.
constexpr std::array ValueNames{"v0"sv, "v1"sv, "\tv"sv, "RESET"sv, "v\rx"sv, "v\nx"sv, "v\0x"sv};
constexpr std::array PreparedNames{"s1"sv,   "s2"sv,   "s3"sv,   "p1"sv,    "p2"sv,
                                   "r1"sv,   "w1"sv,   "-"sv,    "RESET"sv, "EXECUTE"sv,
                                   "s\t1"sv, "s\r1"sv, "s\n1"sv, "s\0"sv};
constexpr std::array OddItems{"#f5"sv,  "-"sv,   "READ"sv, "AFTER"sv,
                              "i\t1"sv, "i\r"sv, "\ni"sv,  "i\0"sv};
constexpr std::array IdSuffixes{"#"sv, "\t"sv, "\r"sv, "\n"sv, "\0"sv, "-"sv, "\u00e9"sv};
constexpr std::array PlainShapes{"q16"sv, "q2f"sv, "qb"sv, "1"sv, "shape"sv, "lw"sv};
constexpr std::array OddTexts{"q16 READ lw"sv,
                              "q16 WRITE lw"sv,
                              "q16 READ lw READ q16"sv,
                              "q2f WRITE brosu"sv,
                              "qb WRITE as"sv,
                              "q16 "sv,
                              " q16"sv,
                              " "sv,
                              "  "sv,
                              "a b"sv,
                              "a  b"sv,
                              "a b "sv,
                              "\t"sv,
                              "q16\tREAD\tlw"sv,
                              "\r"sv,
                              "\n"sv,
                              "q16\rREAD lw"sv,
                              "q16\nREAD lw"sv,
                              "q16\n\rREAD lw"sv,
                              "q16\0READ lw"sv,
                              "\0"sv,
                              "x READ y\rQUERY - RESET"sv,
                              "x\nQUERY - RESET"sv,
                              "RESET"sv,
                              "-"sv,
                              "AFTER 1.1 READ 1"sv,
                              "COMMIT"sv,
                              "p1"sv,
                              "p2 READ q16"sv,
                              "\u00e9 \u00e9"sv};
constexpr std::array NotUtf8{"\xff"sv, "q16\xff READ\xc0 lw"sv, "\xc3"sv, "q16 \x80"sv};

constexpr std::size_t LongBytes = 3000;
// More than all shapes on a connection may have together.
constexpr std::size_t VeryLongBytes = 70'000;

template <std::size_t Size>
std::string oneOf(const std::array<std::string_view, Size> &pool, Random *random)
{
    return std::string(pool[random->below(Size)]);
}

} // namespace

std::string CallerTexts::valueName()
{
    return oneIn(60) ? "v\xff" : oneOf(ValueNames, &m_random);
}

std::string CallerTexts::preparedName()
{
    return oneIn(60) ? "s\xff" : oneOf(PreparedNames, &m_random);
}

std::string CallerTexts::item()
{
    if (oneIn(80))
        return "i\xff";
    return oneIn(4) ? oneOf(OddItems, &m_random) : std::to_string(m_random.below(20));
}

std::string CallerTexts::idSuffix()
{
    if (oneIn(100))
        return "\xff";
    return oneIn(12) ? oneOf(IdSuffixes, &m_random) : std::string();
}

std::string CallerTexts::shape()
{
    return oneIn(2) ? oneOf(PlainShapes, &m_random) : text();
}

std::string CallerTexts::text()
{
    if (oneIn(300))
        return std::string(VeryLongBytes, 'x') + " " + std::to_string(m_random.below(3));
    if (oneIn(40))
        return std::string(LongBytes, 'y') + " " + std::to_string(m_random.below(100));
    if (oneIn(40))
        return oneOf(NotUtf8, &m_random);
    return oneOf(OddTexts, &m_random);
}

} // namespace cicadagap
