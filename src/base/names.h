// Tables of names for `enum class` types, so that values are written and parsed consistently.
//
//     constexpr NameTable<Verdict, 3> VerdictNames {{{{Verdict::Ran, "ran"}, ...}}};
//     VerdictNames.name(Verdict::Ran);   // "ran"
//     VerdictNames.value("ran");         // Verdict::Ran
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace cicadagap {

// A fixed table of (value, name) pairs. Names that are sent or stored must not change, although the
// enumerators may be renamed.
template <typename Enum, std::size_t Size> struct NameTable
{
    std::array<std::pair<Enum, std::string_view>, Size> rows;

    // The name of `value`, or "unknown" if the table does not contain it.
    constexpr std::string_view name(Enum value) const
    {
        for (const auto &row : rows) {
            if (row.first == value)
                return row.second;
        }
        return "unknown";
    }

    // The value with that name, or nothing if there is none.
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const auto &row : rows) {
            if (row.second == name)
                return row.first;
        }
        return std::nullopt;
    }
};

} // namespace cicadagap
