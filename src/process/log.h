// Structured logging: one JSON object per line, on standard error or standard output, through
// log4cplus.
//
//     logEvent(LogLevel::Info, "statement.answered", {{"request", id}, {"verdict", "ran"}});
//
// prints
//
//     {"at":1764825731000,"level":"info","program":"cicadagapd","host":"a1","event":...}
//
// where "at" is the time of day in milliseconds since 1970.
//
// Callers, instances, operators and the store choose the texts of some fields. Whatever they are,
// each line is one JSON object in UTF-8 of a limited size: a byte that is not part of a UTF-8
// character becomes U+FFFD, and a text that is too long is cut.
#pragma once

#include "base/names.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace cicadagap {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr NameTable<LogLevel, 4> LogLevelNames{{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}}};

// Options of startLog(). `program` and `host` appear on every line.
struct LogOptions
{
    std::string program;
    std::string host;
    LogLevel level = LogLevel::Info; // The least severe level that is logged.
    bool toStandardOutput = false;   // False: to standard error.
};

// The longest line, without its line break, and the longest text in it as it is written, in bytes.
// A line has room for at least MaxWholeFields texts of that length.
inline constexpr std::size_t MaxLogLineBytes = 8192;
inline constexpr std::size_t MaxLogFieldBytes = 512;
inline constexpr std::size_t MaxWholeFields = 12;

// One member of the JSON object of a log line. `name`, which has no more than 32 bytes, and the
// text must outlive the field.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    LogField(std::string_view fieldName, std::int64_t number)
        : name(fieldName)
        , value(number)
    {
    }

    std::string_view name;
    std::variant<std::int64_t, std::string_view> value;
};

// Starts logging. Call it once, before any thread logs. Nothing waits for the reader of the log:
// lines for which there is no room are dropped and counted, in the event log.unread. The process
// ignores SIGPIPE from then on.
void startLog(const LogOptions &options);

// The JSON object of a line, without a line break. If texts were cut, or fields left out since the
// line has no room for them, the member "cut" has the name of each with the length of its text in
// bytes, as far as there is room for that.
std::string logLine(LogLevel level, std::string_view event, std::span<const LogField> fields);

// Writes one line if `level` is enabled. `event` is a dotted name that stays the same across
// versions; docs/OPERATIONS.md lists all events. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields);
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace cicadagap
