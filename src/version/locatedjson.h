// JSON with comments, read together with the line on which each value stands.
//
// Boost.JSON parses; this adds the lines by feeding its event parser one line at a time.
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

// One thing wrong with a file, in the form that compilers print.
struct Problem
{
    std::string file;
    int line = 0;    // From 1; 0 if the whole file is meant.
    std::string key; // Dotted path, or empty.
    std::string message;

    // "FILE:LINE: KEY: MESSAGE"
    std::string text() const;
};

using Problems = std::vector<Problem>;

struct LocatedValue;

// An object's member with the line of its key.
struct LocatedMember
{
    std::string key;
    std::vector<LocatedValue> value; // Exactly one.
    int line = 0;
};

struct LocatedValue
{
    using Object = std::vector<LocatedMember>;
    using Array = std::vector<LocatedValue>;

    std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, Array, Object> data;
    int line = 0;

    // The member with that key, or null. Null too if this is no object.
    const LocatedValue *member(std::string_view key) const;
};

// Parses `text`. Adds one problem and returns nothing if it is not JSON.
std::optional<LocatedValue> parseLocated(std::string_view text, const std::string &file,
                                         Problems *problems);

} // namespace cicadagap
