// Writes lines to a file descriptor without ever waiting for its reader. Load pattern: a log that
// is read through a pipe whose reader stops or goes away, while the process has to go on serving.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadagap {

// Keeps lines that the reader has no room for, up to a limit; beyond it whole lines are dropped and
// counted. The flags of the descriptor, which other processes may share, are left as they are. Not
// thread-safe.
class LineWriter
{
public:
    struct Options
    {
        int descriptor = -1;           // Is not closed.
        std::size_t capacity = 65'536; // Of the lines that are kept, in bytes.
    };

    explicit LineWriter(Options options)
        : m_options(options)
    {
    }

    // Writes the line, which ends in a line break, as soon as there is room. Returns false if it
    // was dropped.
    bool write(std::string_view line);
    // Writes what is kept, as far as there is room. Returns whether nothing is left.
    bool flush();
    // The number of lines that were dropped since the last call.
    std::uint64_t takeDropped();

private:
    Options m_options;
    std::string m_kept;
    std::uint64_t m_dropped = 0;
};

} // namespace cicadagap
