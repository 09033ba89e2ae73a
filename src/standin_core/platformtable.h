// The platform's table service as its stand-in keeps it: rows with versions and transactions that
// check versions and write rows together. Pure; not thread-safe.
//
//     PlatformTable table;
//     table.transact({{"a", 0}}, {{"a", "first"}});   // creates row a at version 1
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

struct PlatformRow
{
    std::uint64_t version = 0; // Counts the writes of this row, from 1.
    std::string value;
};

// A row must be at `version` for a transaction to go through; 0 means that it must not exist.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;
};

struct RowWrite
{
    std::string key;
    std::string value;
};

class PlatformTable
{
public:
    // The row, or nothing.
    std::optional<PlatformRow> row(const std::string &key) const;
    // Up to `limit` rows whose key starts with `prefix` and is greater than `after`, in order.
    std::vector<std::pair<std::string, PlatformRow>>
    scan(const std::string &prefix, const std::string &after, std::size_t limit) const;
    // Applies all writes if all checks hold. False, and no change, otherwise.
    bool transact(const std::vector<RowCheck> &checks, const std::vector<RowWrite> &writes);

private:
    std::map<std::string, PlatformRow> m_rows;
};

} // namespace cicadagap
