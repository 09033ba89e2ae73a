// The state of the stand-in for the platform's table service: rows with versions, and transactions
// that check the versions of some rows and write others atomically. It can return to an earlier
// copy of itself; a new epoch begins then, in which versions are given out again.
//
// Performs no I/O and reads no clock. Not thread-safe.
//
//     PlatformTable table;
//     table.transact({{"a", 0}}, {{"a", "first"}});   // Creates row "a" at version 1.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// A row of the table.
struct PlatformRow
{
    std::uint64_t version = 0; // The number of writes to this row.
    std::string value;
    std::uint64_t epoch = 0; // In which it was written.
};

// A condition of a transaction: the row must be at `version`, or must not exist if that is 0.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;
};

// A write of a transaction.
struct RowWrite
{
    std::string key;
    std::string value;
};

class PlatformTable
{
public:
    // Returns the row, or std::nullopt if there is none.
    std::optional<PlatformRow> row(const std::string &key) const;
    // Returns up to `limit` rows whose key starts with `prefix` and is greater than `after`, in key
    // order.
    std::vector<std::pair<std::string, PlatformRow>>
    scan(const std::string &prefix, const std::string &after, std::size_t limit) const;
    // Applies all writes if all checks hold, and, unless it is 0, `epoch` is the present one.
    // Otherwise changes nothing and returns false.
    bool transact(const std::vector<RowCheck> &checks, const std::vector<RowWrite> &writes,
                  std::uint64_t epoch = 0);
    std::uint64_t epoch() const { return m_epoch; }
    // Keeps a copy of the rows, and returns to it.
    void keepCopy() { m_copy = m_rows; }
    void putBack();

private:
    std::map<std::string, PlatformRow> m_rows;
    std::map<std::string, PlatformRow> m_copy;
    std::uint64_t m_epoch = 1;
};

} // namespace cicadagap
