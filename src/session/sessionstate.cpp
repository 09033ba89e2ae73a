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
    std::vector<Statement> steps;
    if (needsReset(values)) {
        steps.push_back({.kind = StatementKind::Reset});
        m_values.clear();
        m_prepared.clear();
    }
    for (const auto &[name, value] : values) {
        const auto held = m_values.find(name);
        if (held != m_values.end() && held->second == value)
            continue;
        steps.push_back({.kind = StatementKind::SetValue, .name = name, .argument = value});
        m_values[name] = value;
    }
    if (prepared && m_prepared.insert(prepared->sharedName()).second) {
        steps.push_back({.kind = StatementKind::Prepare,
                         .name = prepared->sharedName(),
                         .argument = prepared->shape,
                         .preparesWrite = prepared->writes});
    }
    return steps;
}

std::size_t ConnectionSessionState::restoreCost(const SessionValues &values,
                                                const PreparedStatement *prepared) const
{
    ConnectionSessionState copy = *this;
    return copy.restore(values, prepared).size();
}

// A value can be overwritten but not removed on its own.
bool ConnectionSessionState::needsReset(const SessionValues &values) const
{
    return std::any_of(m_values.begin(), m_values.end(),
                       [&values](const auto &held) { return !values.contains(held.first); });
}

} // namespace cicadagap
