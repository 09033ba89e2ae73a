#include "session/sessionstate.h"

#include <algorithm>

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

std::vector<Statement> ConnectionSessionState::restore(const SessionValues &values,
                                                       const PreparedStatement *prepared)
{
    std::vector<Statement> statements;
    if (needsReset(values)) {
        statements.push_back({.kind = StatementKind::Reset});
        m_values.clear();
        m_prepared.clear();
    }
    for (const auto &[name, value] : values) {
        const auto current = m_values.find(name);
        if (current != m_values.end() && current->second == value)
            continue;
        statements.push_back({.kind = StatementKind::SetValue, .name = name, .argument = value});
        m_values[name] = value;
    }
    if (prepared && m_prepared.insert(prepared->sharedName()).second) {
        statements.push_back({.kind = StatementKind::Prepare,
                              .name = prepared->sharedName(),
                              .argument = prepared->shape,
                              .preparesWrite = prepared->writes});
    }
    return statements;
}

std::size_t ConnectionSessionState::restoreCost(const SessionValues &values,
                                                const PreparedStatement *prepared) const
{
    ConnectionSessionState copy = *this;
    return copy.restore(values, prepared).size();
}

// Whether the connection holds a value that the session has not set. A single value can be
// overwritten but not removed; only a reset of the whole connection does that.
bool ConnectionSessionState::needsReset(const SessionValues &values) const
{
    return std::any_of(m_values.begin(), m_values.end(),
                       [&values](const auto &current) { return !values.contains(current.first); });
}

} // namespace cicadagap
