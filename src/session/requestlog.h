// The log lines and metrics about callers' requests.
//
// From the id of a caller's statement they lead to what the instance was sent for it:
//
//     request.answered     request -> connection, name
//     statement.prepared   connection, name -> kind, digest (hash64Digits()) and length of the
//     shape
//
// or, if another host sent it to the instance,
//
//     request.answered     request -> gateway, channel           (log of the caller's host)
//     statement.relayed    origin, channel -> connection, name   (log of the gateway)
//     statement.prepared   as above                              (log of the gateway)
//
// No line contains the text of a statement, a shape or a parameter. Expected load: more requests
// than a log can hold, and callers that prepare any number of shapes. The number of lines a second
// is limited.
#pragma once

#include "base/millis.h"
#include "process/log.h"
#include "process/metrics.h"
#include "session/sessionengine.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace cicadagap {

// Composes the lines, counts the events, and drops lines beyond the limit. Not thread-safe.
class RequestLog
{
public:
    // Lines per second. Refusals and failures may use all of them.
    static constexpr int LinesPerSecond = 100;
    // Of these, new names of prepared statements may use three quarters. There are far fewer of
    // them than of answers, which lead nowhere without them.
    static constexpr int NameLinesPerSecond = 75;
    // Answers and relayed statements may use half.
    static constexpr int AnswerLinesPerSecond = 50;

    // Writes a line; the fields are valid during the call only.
    using Write = std::function<void(LogLevel level, std::string_view event,
                                     std::span<const LogField> fields)>;

    // `metrics` must outlive this object.
    RequestLog(Metrics *metrics, Write write);

    void onRequest(Millis now, const RequestEvent &event);
    void onNewName(Millis now, const NewPreparedName &prepared);
    void onRelayedStatement(Millis now, const RelayedStatementEvent &event);

private:
    bool takeLine(Millis now, int limit);

    Metrics *m_metrics;
    Write m_write;
    Millis m_secondStart;
    int m_lines = 0; // Written in the present second.
    std::int64_t m_dropped = 0;
};

} // namespace cicadagap
