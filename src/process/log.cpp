#include "process/log.h"

#include "base/millis.h"
#include "process/jsonline.h"
#include "process/linewriter.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <utility>

#include <unistd.h>

namespace cicadagap {

namespace {

// Of the program's name, the host's name and the event.
constexpr std::size_t MaxCommonTextBytes = 128;

std::string programName;
std::string hostName;

// Prints the message, which is already a JSON object, and a line break.
class JsonLinesLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &output,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        output << event.getMessage() << '\n';
    }
};

// Writes to a file descriptor without waiting for its reader, and says how many lines were dropped
// once the reader has gone on. The library calls append() for one event at a time.
class DescriptorAppender : public log4cplus::Appender
{
public:
    explicit DescriptorAppender(int descriptor)
        : m_writer({.descriptor = descriptor})
    {
    }
    ~DescriptorAppender() override { destructorImpl(); }

    void close() override
    {
        m_writer.flush();
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        if (m_dropped > 0 && m_writer.flush()) {
            const LogField lines("lines", static_cast<std::int64_t>(m_dropped));
            m_dropped = 0;
            m_writer.write(logLine(LogLevel::Warning, "log.unread", {&lines, 1}) + '\n');
        }
        log4cplus::tostringstream text;
        layout->formatAndAppend(text, event);
        m_writer.write(text.str());
        m_dropped += m_writer.takeDropped();
    }

private:
    LineWriter m_writer;
    std::uint64_t m_dropped = 0;
};

log4cplus::LogLevel log4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

} // namespace

void startLog(const LogOptions &options)
{
    // The library must live until the last thread has logged, so it is deliberately never
    // destroyed.
    static auto *const library = new log4cplus::Initializer();
    static_cast<void>(library);
    programName = options.program;
    hostName = options.host;
    // A reader that goes away must not end the process.
    ::signal(SIGPIPE, SIG_IGN);
    log4cplus::SharedAppenderPtr appender(
        new DescriptorAppender(options.toStandardOutput ? STDOUT_FILENO : STDERR_FILENO));
    appender->setLayout(std::make_unique<JsonLinesLayout>());
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(log4cplusLevel(options.level));
}

std::string logLine(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    JsonLine line(MaxLogLineBytes);
    line.add({"at", timeOfDay().count()});
    line.add({"level", LogLevelNames.name(level)});
    line.add({"program", programName}, MaxCommonTextBytes);
    // Events about another host name it in this field.
    const bool namesHost = std::any_of(fields.begin(), fields.end(),
                                       [](const LogField &field) { return field.name == "host"; });
    if (!namesHost)
        line.add({"host", hostName}, MaxCommonTextBytes);
    line.add({"event", event}, MaxCommonTextBytes);
    for (const LogField &field : fields)
        line.add(field);
    return line.finish();
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logEvent(level, event, std::span(fields.begin(), fields.size()));
}

void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    static const log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(log4cplusLevel(level)))
        return;
    root.log(log4cplusLevel(level), logLine(level, event, fields));
}

} // namespace cicadagap
