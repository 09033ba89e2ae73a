#include "session/sessionstate.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

Cause SessionState::apply(const Statement &statement)
{
    switch (statement.kind) {
    case StatementKind::SetValue:
        values[statement.name] = statement.argument;
        return Cause::None;
    case StatementKind::Prepare:
        prepared[statement.name] = {.shape = statement.argument, .writes = statement.preparesWrite};
        return Cause::None;
    case StatementKind::Deallocate:
        return prepared.erase(statement.name) > 0 ? Cause::None : Cause::UnknownName;
    default:
        return Cause::Invalid;
    }
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
