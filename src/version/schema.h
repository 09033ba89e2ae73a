// The schema of the settings files: the tables of permitted keys. The same tables are used to
// validate a file and to print the reference in docs/OPERATIONS.md, so that the two agree.
#pragma once

#include "base/names.h"
#include "version/locatedjson.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// The type of the value of a key.
enum class KeyType {
    Object,
    Map,     // A non-empty object whose keys are names that the operator chooses.
    Array,   // An array of non-empty strings.
    String,  // Not empty.
    Address, // "IP:PORT"
    Integer,
    Number,
    Boolean,
};

inline constexpr NameTable<KeyType, 8> KeyTypeNames{{{
    {KeyType::Object, "object"},
    {KeyType::Map, "map"},
    {KeyType::Array, "array of strings"},
    {KeyType::String, "string"},
    {KeyType::Address, "IP:PORT"},
    {KeyType::Integer, "integer"},
    {KeyType::Number, "number"},
    {KeyType::Boolean, "boolean"},
}}};

// The rule for one permitted key.
struct KeyRule
{
    std::string_view path; // Dotted path; "*" stands for a name that the operator chooses.
    KeyType type = KeyType::Object;
    bool required = false;
    double minimum = 0; // Of integers and numbers, inclusive.
    double maximum = 0;
    std::string_view choices;           // Permitted strings, separated by '|'; any if empty.
    std::string_view documentedDefault; // Only printed; settings.h has the default itself.
    std::string_view meaning;           // One sentence for the reference.
};

// The rules for the settings of a team.
std::span<const KeyRule> teamRules();
// The rules for the settings of a host.
std::span<const KeyRule> hostRules();

// Checks `root` against `rules` and adds every problem to `problems`: unknown and repeated keys,
// wrong types, values that are out of range or not permitted, and missing keys. `file` is only used
// in the problems.
void checkAgainst(std::span<const KeyRule> rules, const LocatedValue &root, const std::string &file,
                  Problems *problems);

// The reference of the keys as a Markdown table.
std::string markdownReference(std::span<const KeyRule> rules);

} // namespace cicadagap
