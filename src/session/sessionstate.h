// What a caller's session holds, what a connection to an instance holds, and how to make the second
// fit the first.
//
// Prepared statements get one name for each shape on all connections, so that a connection which
// prepared a shape for one session serves every other session that prepared the same shape.
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"
#include "session/statement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

using SessionValues = std::map<std::string, std::string, std::less<>>;

// A prepared statement of a session.
struct PreparedStatement
{
    std::string shape;
    bool writes = false;

    // The name that it has on connections to instances.
    std::string sharedName() const { return (writes ? "w" : "r") + shape; }
};

// Lives as long as the caller's connection.
struct SessionState
{
    SessionValues values;
    std::map<std::string, PreparedStatement, std::less<>> prepared;
    Position lastCommit; // Acknowledged to this session.

    // Applies a statement that the system answers itself; the cause is None if it was valid.
    Cause apply(const Statement &statement);
};

// Lives as long as a connection to an instance.
class ConnectionSessionState
{
public:
    // The statements that make the connection hold exactly the session's values, and the prepared
    // statement if one is to be executed. Assumes that they will succeed.
    std::vector<Statement> restore(const SessionValues &values, const PreparedStatement *prepared);
    // How many statements restore() would return.
    std::size_t restoreCost(const SessionValues &values, const PreparedStatement *prepared) const;

private:
    bool needsReset(const SessionValues &values) const;

    SessionValues m_values;
    std::set<std::string, std::less<>> m_prepared; // Shared names.
};

} // namespace cicadagap
