#include "standin_core/platformtable.h"

namespace cicadagap {

std::optional<PlatformRow> PlatformTable::row(const std::string &key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return std::nullopt;
    return found->second;
}

std::vector<std::pair<std::string, PlatformRow>>
PlatformTable::scan(const std::string &prefix, const std::string &after, std::size_t limit) const
{
    std::vector<std::pair<std::string, PlatformRow>> rows;
    auto it = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    while (it != m_rows.end() && it->first.starts_with(prefix) && rows.size() < limit) {
        rows.emplace_back(*it);
        ++it;
    }
    return rows;
}

bool PlatformTable::transact(const std::vector<RowCheck> &checks,
                             const std::vector<RowWrite> &writes, std::uint64_t epoch)
{
    if (epoch > 0 && epoch != m_epoch)
        return false;
    for (const RowCheck &check : checks) {
        const auto found = m_rows.find(check.key);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != check.version)
            return false;
    }
    for (const RowWrite &write : writes) {
        PlatformRow &row = m_rows[write.key];
        ++row.version;
        row.value = write.value;
        row.epoch = m_epoch;
    }
    return true;
}

void PlatformTable::putBack()
{
    m_rows = m_copy;
    ++m_epoch;
}

} // namespace cicadagap
