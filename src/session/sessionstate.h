// The state of a caller's session, the part of it that a connection to an instance holds, and the
// statements that make the connection hold what the session needs.
//
// On connections to instances, prepared statements have other names than in sessions: see
// PreparedNames.
//
// The types perform no I/O and read no clock. They are not thread-safe.
#pragma once

#include "base/millis.h"
#include "session/preparednames.h"
#include "session/statement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// The values that a session has set, by name.
using SessionValues = std::map<std::string, std::string, std::less<>>;

// The state of a caller's session. Lives as long as the caller's connection.
//
// Expected load: callers that set values and prepare statements without end. A session keeps as
// much as MaxBytes; what would exceed it is refused, and what it has stays.
struct SessionState
{
    // Of all names, values and shapes together.
    static constexpr std::size_t MaxBytes = 2UL * 1024 * 1024;

    SessionValues values;
    std::map<std::string, PreparedStatement, std::less<>> prepared;
    Position lastCommit; // The newest commit that was acknowledged to this session.

    // Applies a statement that the system answers itself. Returns None if it was applied.
    Cause apply(const Statement &statement);

private:
    // Whether there is room for an entry of `added` bytes in place of one of `removed` bytes; takes
    // it if so.
    bool reserve(std::size_t added, std::size_t removed);

    std::size_t m_bytes = 0;
};

// The session state that a connection to an instance holds. Lives as long as the connection.
class ConnectionSessionState
{
public:
    // What makes the connection hold a session's state.
    struct Restoration
    {
        std::vector<Statement> statements;
        std::string preparedName; // On this connection; empty without a prepared statement.
        bool isNewName = false;   // One of the statements prepares it.
    };

    ConnectionSessionState() = default;
    explicit ConnectionSessionState(PreparedNames::Options names)
        : m_names(names)
    {
    }

    // Returns the statements that make the connection hold exactly the session's values, and the
    // prepared statement if it is not null. Records their effect at once; if one of them fails, the
    // connection must not be used any more.
    Restoration restore(const SessionValues &values, const PreparedStatement *prepared);
    // Returns how many statements restore() would return, without those that remove names.
    std::size_t restoreCost(const SessionValues &values, const PreparedStatement *prepared) const;

private:
    bool needsReset(const SessionValues &values) const;

    SessionValues m_values;
    PreparedNames m_names;
};

} // namespace cicadagap
