// The state of a caller's session, the part of it that a connection to an instance holds, and the
// statements that make the connection hold what the session needs.
//
// The shape of a prepared statement is its text with placeholders for the parameters. On
// connections to instances, a prepared statement gets a name that depends on its shape only,
// whatever name the session gave it. So a connection that prepared a shape for one session also
// serves every other session that prepared the same shape.
//
// The types perform no I/O and read no clock. They are not thread-safe.
#pragma once

#include "base/millis.h"
#include "session/statement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// The values that a session has set, by name.
using SessionValues = std::map<std::string, std::string, std::less<>>;

// A prepared statement of a session.
struct PreparedStatement
{
    std::string shape;
    bool writes = false; // Executing it writes.

    // Its name on connections to instances.
    std::string sharedName() const { return (writes ? "w" : "r") + shape; }
};

// The state of a caller's session. Lives as long as the caller's connection.
struct SessionState
{
    SessionValues values;
    std::map<std::string, PreparedStatement, std::less<>> prepared;
    Position lastCommit; // The newest commit that was acknowledged to this session.

    // Applies a statement that the system answers itself. Returns None if it was valid.
    Cause apply(const Statement &statement);
};

// The session state that a connection to an instance holds. Lives as long as the connection.
class ConnectionSessionState
{
public:
    // Returns the statements that make the connection hold exactly the session's values, and the
    // prepared statement if it is not null. Records their effect at once; if one of them fails, the
    // connection must not be used any more.
    std::vector<Statement> restore(const SessionValues &values, const PreparedStatement *prepared);
    // Returns how many statements restore() would return.
    std::size_t restoreCost(const SessionValues &values, const PreparedStatement *prepared) const;

private:
    bool needsReset(const SessionValues &values) const;

    SessionValues m_values;
    std::set<std::string, std::less<>> m_prepared; // By shared name.
};

} // namespace cicadagap
