// Composes the JSON object of a log line from fields of any bytes, within a limit of its size.
#pragma once

#include "process/log.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadagap {

// Appends the text as the inside of a JSON string, up to `limit` bytes and only whole characters.
// Bytes that are not part of a UTF-8 character are replaced by U+FFFD. Returns whether all of the
// text had room.
bool appendJsonText(std::string_view text, std::size_t limit, std::string *out);

// One JSON object. A field whose text is too long is cut; one for which no room is left is left
// out. finish() says which.
//
//     JsonLine line(MaxLogLineBytes);
//     line.add({"request", id});
//     std::string text = line.finish();
class JsonLine
{
public:
    explicit JsonLine(std::size_t limit);

    void add(const LogField &field, std::size_t maxTextBytes = MaxLogFieldBytes);
    // Ends the object and returns it. Call it once.
    std::string finish();

private:
    bool startMember(std::string_view name);
    void noteCut(std::string_view name, std::size_t bytes);
    std::size_t room() const;

    std::size_t m_limit;
    std::string m_text = "{";
    std::string m_cuts; // The members of "cut".
};

} // namespace cicadagap
