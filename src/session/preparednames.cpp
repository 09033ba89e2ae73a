#include "session/preparednames.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::size_t MaxPlainWordBytes = 64;

bool isPlainWord(const std::string &text)
{
    const auto isPlain = [](char c) { return c > ' ' && c <= '~'; };
    return text.size() <= MaxPlainWordBytes && std::all_of(text.begin(), text.end(), isPlain);
}

} // namespace

std::optional<std::string> PreparedNames::use(const PreparedStatement &statement)
{
    const auto found = m_entries.find(statement);
    if (found == m_entries.end())
        return std::nullopt;
    m_uses.splice(m_uses.end(), m_uses, found->second.use);
    return found->second.name;
}

PreparedNames::Allotment PreparedNames::allot(const PreparedStatement &statement)
{
    Allotment allotment{.name = nextName(statement)};
    m_shapeBytes += statement.shape.size();
    while (!m_uses.empty()
           && (m_entries.size() >= m_options.maxNames || m_shapeBytes > m_options.maxShapeBytes)) {
        const auto oldest = m_entries.find(*m_uses.front());
        m_shapeBytes -= oldest->first.shape.size();
        allotment.removed.push_back(std::move(oldest->second.name));
        m_uses.pop_front();
        m_entries.erase(oldest);
    }
    const auto entry = m_entries.emplace(statement, Entry{.name = allotment.name}).first;
    entry->second.use = m_uses.insert(m_uses.end(), &entry->first);
    return allotment;
}

void PreparedNames::clear()
{
    m_entries.clear();
    m_uses.clear();
    m_shapeBytes = 0;
}

std::string PreparedNames::nextName(const PreparedStatement &statement)
{
    if (m_options.form == Form::Compatible && isPlainWord(statement.shape))
        return (statement.writes ? "w" : "r") + statement.shape;
    return "p" + std::to_string(++m_lastNumber);
}

} // namespace cicadagap
