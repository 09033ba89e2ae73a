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
#pragma once

#include "base/names.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

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

// One member of the JSON object of a log line. `name` must outlive the field.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(boost::json::string_view(text.data(), text.size()))
    {
    }
    LogField(std::string_view fieldName, std::int64_t number)
        : name(fieldName)
        , value(number)
    {
    }

    std::string_view name;
    boost::json::value value;
};

// Starts logging. Call it once, before any thread logs. Nothing waits for the reader of the log:
// lines for which there is no room are dropped and counted, in the event log.unread. The process
// ignores SIGPIPE from then on.
void startLog(const LogOptions &options);

// The JSON object of a line, without a line break.
std::string logLine(LogLevel level, std::string_view event, std::span<const LogField> fields);

// Writes one line if `level` is enabled. `event` is a dotted name that stays the same across
// versions; docs/OPERATIONS.md lists all events. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields);
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace cicadagap
