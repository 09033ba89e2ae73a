#include "session/sessionstate.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

Cause SessionState::apply(const Statement &statement)
{
    const std::size_t size = statement.name.size() + statement.argument.size();
    switch (statement.kind) {
    case StatementKind::SetValue: {
        const auto current = values.find(statement.name);
        const bool isNew = current == values.end();
        if (!reserve(size, isNew ? 0 : current->first.size() + current->second.size()))
            return Cause::TooLong;
        values[statement.name] = statement.argument;
        return Cause::None;
    }
    case StatementKind::Prepare: {
        const auto current = prepared.find(statement.name);
        const bool isNew = current == prepared.end();
        if (!reserve(size, isNew ? 0 : current->first.size() + current->second.shape.size()))
            return Cause::TooLong;
        prepared[statement.name] = {.shape = statement.argument, .writes = statement.preparesWrite};
        return Cause::None;
    }
    case StatementKind::Deallocate: {
        const auto current = prepared.find(statement.name);
        if (current == prepared.end())
            return Cause::UnknownName;
        m_bytes -= current->first.size() + current->second.shape.size();
        prepared.erase(current);
        return Cause::None;
    }
    default:
        return Cause::Invalid;
    }
}

bool SessionState::reserve(std::size_t added, std::size_t removed)
{
    const std::size_t bytes = m_bytes - removed + added;
    if (bytes > MaxBytes)
        return false;
    m_bytes = bytes;
    return true;
}

ConnectionSessionState::Restoration
ConnectionSessionState::restore(const SessionValues &values, const PreparedStatement *prepared)
{
    Restoration restoration;
    std::vector<Statement> &statements = restoration.statements;
    if (needsReset(values)) {
        statements.push_back({.kind = StatementKind::Reset});
        m_values.clear();
        m_names.clear();
    }
    for (const auto &[name, value] : values) {
        const auto current = m_values.find(name);
        if (current != m_values.end() && current->second == value)
            continue;
        statements.push_back({.kind = StatementKind::SetValue, .name = name, .argument = value});
        m_values[name] = value;
    }
    if (!prepared)
        return restoration;
    if (std::optional<std::string> name = m_names.use(*prepared)) {
        restoration.preparedName = std::move(*name);
        return restoration;
    }
    PreparedNames::Allotment allotment = m_names.allot(*prepared);
    for (std::string &name : allotment.removed)
        statements.push_back({.kind = StatementKind::Deallocate, .name = std::move(name)});
    statements.push_back({.kind = StatementKind::Prepare,
                          .name = allotment.name,
                          .argument = prepared->shape,
                          .preparesWrite = prepared->writes});
    restoration.preparedName = std::move(allotment.name);
    restoration.isNewName = true;
    return restoration;
}

std::size_t ConnectionSessionState::restoreCost(const SessionValues &values,
                                                const PreparedStatement *prepared) const
{
    if (needsReset(values))
        return 1 + values.size() + (prepared ? 1 : 0);
    const auto differs = [this](const auto &wanted) {
        const auto current = m_values.find(wanted.first);
        return current == m_values.end() || current->second != wanted.second;
    };
    const auto different = std::count_if(values.begin(), values.end(), differs);
    const bool prepares = prepared && !m_names.contains(*prepared);
    return static_cast<std::size_t>(different) + (prepares ? 1 : 0);
}

// Whether the connection holds a value that the session has not set. A single value can be
// overwritten but not removed; only a reset of the whole connection does that.
bool ConnectionSessionState::needsReset(const SessionValues &values) const
{
    return std::any_of(m_values.begin(), m_values.end(),
                       [&values](const auto &current) { return !values.contains(current.first); });
}

} // namespace cicadagap
