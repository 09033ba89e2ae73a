// A JSON parser that records the line of each value. It permits comments and trailing commas.
//
// Boost.JSON does the parsing. It reports no line numbers, so its event parser is fed one line at a
// time.
//
//     Problems problems;
//     std::optional<LocatedValue> root = parseLocated(text, "team.json", &problems);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadagap {

// One error in a file.
struct Problem
{
    std::string file;
    int line = 0;    // Counted from 1; 0 if the error concerns the whole file.
    std::string key; // Dotted path of the value; may be empty.
    std::string message;

    // "FILE:LINE: KEY: MESSAGE", the format of compiler messages.
    std::string text() const;
};

using Problems = std::vector<Problem>;

struct LocatedValue;

// A member of an object, with the line of its key.
struct LocatedMember
{
    std::string key;
    std::vector<LocatedValue> value; // Exactly one element: LocatedValue is incomplete here.
    int line = 0;
};

// A JSON value, with the line on which it begins or, for objects and arrays, on which it was
// opened.
struct LocatedValue
{
    using Object = std::vector<LocatedMember>;
    using Array = std::vector<LocatedValue>;

    std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, Array, Object> data;
    int line = 0;

    // The first member with that key. Null if there is none, or if this is not an object.
    const LocatedValue *member(std::string_view key) const;
};

// Parses `text`. If it is not valid JSON, adds one problem and returns nothing. `file` is only used
// in the problem.
std::optional<LocatedValue> parseLocated(std::string_view text, const std::string &file,
                                         Problems *problems);

} // namespace cicadagap
