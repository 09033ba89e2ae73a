#include "session/requestlog.h"

#include "base/hash.h"

#include <array>
#include <utility>
#include <vector>

namespace cicadagap {

namespace {

std::int64_t toNumber(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

} // namespace

RequestLog::RequestLog(Metrics *metrics, Write write)
    : m_metrics(metrics)
    , m_write(std::move(write))
{
}

void RequestLog::onRequest(Millis now, const RequestEvent &event)
{
    const std::string_view cause = CauseNames.name(event.cause);
    m_metrics->add(std::string(event.event) + "." + std::string(cause));
    if (event.event == "request.answered")
        m_metrics->observe("latency", event.waited);
    const bool failed = event.cause != Cause::None;
    if (!takeLine(now, failed ? LinesPerSecond : AnswerLinesPerSecond))
        return;
    const std::string_view connectionField = event.gateway.empty() ? "connection" : "channel";
    std::vector<LogField> fields{LogField("session", toNumber(event.session)),
                                 LogField("request", event.request),
                                 LogField("database", event.database),
                                 LogField("instance", event.instance),
                                 LogField("gateway", event.gateway),
                                 LogField(connectionField, toNumber(event.connection)),
                                 LogField("name", event.preparedName),
                                 LogField("cause", cause),
                                 LogField("attempts", event.attempts),
                                 LogField("waitedMs", event.waited.count()),
                                 LogField("configuration", toNumber(event.configuration))};
    if (!event.tenant.empty())
        fields.emplace_back("tenant", event.tenant);
    if (!event.keyDigest.empty())
        fields.emplace_back("keyDigest", event.keyDigest);
    m_write(failed ? LogLevel::Warning : LogLevel::Info, event.event, fields);
}

void RequestLog::onNewName(Millis now, const NewPreparedName &prepared)
{
    m_metrics->add("statements.prepared");
    if (prepared.removedNames > 0)
        m_metrics->add("statements.deallocated", toNumber(prepared.removedNames));
    if (!takeLine(now, NameLinesPerSecond))
        return;
    const std::string digest = hash64Digits(prepared.shape);
    const std::array fields{LogField("connection", toNumber(prepared.connection)),
                            LogField("instance", prepared.instance),
                            LogField("name", prepared.name),
                            LogField("kind", prepared.writes ? "write" : "read"),
                            LogField("shapeDigest", digest),
                            LogField("shapeBytes", toNumber(prepared.shape.size()))};
    m_write(LogLevel::Info, "statement.prepared", fields);
}

void RequestLog::onRelayedStatement(Millis now, const RelayedStatementEvent &event)
{
    m_metrics->add("statements.relayed");
    if (!takeLine(now, AnswerLinesPerSecond))
        return;
    const std::array fields{LogField("request", event.request),
                            LogField("origin", event.origin),
                            LogField("channel", toNumber(event.channel)),
                            LogField("instance", event.instance),
                            LogField("connection", toNumber(event.connection)),
                            LogField("name", event.preparedName)};
    m_write(LogLevel::Info, "statement.relayed", fields);
}

// Whether a line may be written now, if at most `limit` are written in a second before it; counts
// the lines that are dropped.
bool RequestLog::takeLine(Millis now, int limit)
{
    if (now - m_secondStart >= Millis(1000)) {
        if (m_dropped > 0) {
            const std::array fields{LogField("lines", m_dropped)};
            m_write(LogLevel::Info, "log.dropped", fields);
        }
        m_dropped = 0;
        m_lines = 0;
        m_secondStart = now;
    }
    if (m_lines >= limit) {
        ++m_dropped;
        m_metrics->add("log.dropped");
        return false;
    }
    ++m_lines;
    return true;
}

} // namespace cicadagap
