// The names that prepared statements have on one connection to an instance, or on one channel to it
// through a gateway.
//
// A connection serves many sessions, and callers choose the texts of their statements. So a name is
// allotted by the process that holds the connection and contains nothing of a caller's text.
// Sessions that prepared the same statement share its name. A name is never given to another
// statement on the same connection: if the instance lacks it, for whatever reason, it refuses to
// execute it and runs nothing else.
//
// Expected load: callers that prepare any number of different shapes, of any length. The statement
// that was used least recently is removed first, here and at the instance.
//
// Performs no I/O. Not thread-safe.
#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// A prepared statement of a session. Its shape is its text with placeholders for the parameters.
struct PreparedStatement
{
    std::string shape;
    bool writes = false; // Executing it writes.

    auto operator<=>(const PreparedStatement &) const = default;
};

class PreparedNames
{
public:
    // The longest name of the form Numbered, in bytes.
    static constexpr std::size_t MaxNameBytes = 21;

    enum class Form {
        Numbered,
        // As Numbered, except that a statement whose shape is a short plain word is named after it.
        // Gateways of earlier versions find only these.
        Compatible,
    };

    struct Options
    {
        Form form = Form::Numbered;
        std::size_t maxNames = 100;
        // Of all shapes together. A single longer one is kept alone.
        std::size_t maxShapeBytes = 64UL * 1024;
    };

    PreparedNames() = default;
    explicit PreparedNames(Options options)
        : m_options(options)
    {
    }
    PreparedNames(const PreparedNames &) = delete;
    PreparedNames &operator=(const PreparedNames &) = delete;
    PreparedNames(PreparedNames &&) = default;
    PreparedNames &operator=(PreparedNames &&) = default;

    // A name that was allotted, and the names that lost their place to it.
    struct Allotment
    {
        std::string name;
        std::vector<std::string> removed;
    };

    bool contains(const PreparedStatement &statement) const
    {
        return m_entries.contains(statement);
    }
    // Returns the statement's name, and counts it as used now; nothing if it has none.
    std::optional<std::string> use(const PreparedStatement &statement);
    // Gives a name to a statement that has none.
    Allotment allot(const PreparedStatement &statement);
    // Forgets all statements. Their names stay used up.
    void clear();

private:
    using Uses = std::list<const PreparedStatement *>;

    struct Entry
    {
        std::string name;
        Uses::iterator use;
    };

    std::string nextName(const PreparedStatement &statement);

    Options m_options;
    std::map<PreparedStatement, Entry> m_entries;
    Uses m_uses; // The keys of m_entries, the one used least recently first.
    std::size_t m_shapeBytes = 0;
    std::uint64_t m_lastNumber = 0;
};

} // namespace cicadagap
