// The tables of keys that settings files may contain. One table checks a file, supplies defaults
// and prints the reference in docs/OPERATIONS.md, so that the three agree.
#pragma once

#include "base/names.h"
#include "version/locatedjson.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

enum class KeyType {
    Object,
    Map,   // An object whose keys are names chosen by the operator.
    Array, // Of non-empty strings.
    String,
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

// One permitted key.
struct KeyRule
{
    std::string_view path; // Dotted; "*" stands for a name that the operator chooses.
    KeyType type = KeyType::Object;
    bool required = false;
    double minimum = 0; // Of integers and numbers.
    double maximum = 0;
    std::string_view choices;  // Of strings, separated by '|'; empty: any.
    std::string_view fallback; // The default, as documentation.
    std::string_view meaning;
};

std::span<const KeyRule> teamRules();
std::span<const KeyRule> hostRules();

// Checks `root` against `rules` and adds every problem found: unknown keys, wrong types, values out
// of range, missing keys.
void checkAgainst(std::span<const KeyRule> rules, const LocatedValue &root, const std::string &file,
                  Problems *problems);

// The reference as a Markdown table.
std::string markdownReference(std::span<const KeyRule> rules);

} // namespace cicadagap
