#include "process/log.h"

#include "base/millis.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>
#include <utility>

namespace cicadagap {

namespace {

std::string programName;
std::string hostName;

// Prints the message, which already is a JSON object, and ends the line.
class JsonLinesLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &output,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        output << event.getMessage() << '\n';
    }
};

log4cplus::LogLevel libraryLevel(LogLevel level)
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
    // The library has to live until the last thread has logged, so it is never shut down.
    static auto *const library = new log4cplus::Initializer();
    static_cast<void>(library);
    programName = options.program;
    hostName = options.host;
    constexpr bool FlushEachLine = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(!options.toStandardOutput, FlushEachLine));
    appender->setLayout(std::make_unique<JsonLinesLayout>());
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(libraryLevel(options.level));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    static const log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(libraryLevel(level)))
        return;
    boost::json::object line;
    line["at"] = timeOfDay().count();
    line["level"] = LogLevelNames.name(level);
    line["program"] = programName;
    line["host"] = hostName;
    line["event"] = event;
    for (const LogField &field : fields)
        line[field.name] = field.value;
    root.log(libraryLevel(level), boost::json::serialize(line));
}

} // namespace cicadagap
