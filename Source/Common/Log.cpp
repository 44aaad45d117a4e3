// SPDX-License-Identifier: Apache-2.0
#include "Common/Log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <string>

namespace Brassladder::Common {

// Lines that may wait for a slow standard error before the writer of a line has to wait for it.
static constexpr unsigned queueLines = 16384;

static std::string s_instance;

namespace {

// log4cplus 2.0 has no layout for JSON. The message is the event's JSON object; the layout adds what the event carries.
class JsonLayout final : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
    {
        Json line = parseJson(event.getMessage());
        line["time"] = log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true);
        line["level"] = log4cplus::getLogLevelManager().toString(event.getLogLevel());
        line["package"] = event.getLoggerName();
        line["instance"] = s_instance;
        output << dumpJson(line) << "\n";
    }
};

} // namespace

static log4cplus::LogLevel toLibraryLevel(LogLevel level)
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
    return log4cplus::INFO_LOG_LEVEL;
}

void startLogging(LogLevel least, std::string_view instance)
{
    s_instance = instance;
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
    console->setLayout(std::make_unique<JsonLayout>());
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(log4cplus::SharedAppenderPtr(new log4cplus::AsyncAppender(console, queueLines)));
    root.setLogLevel(toLibraryLevel(least));
}

void log(LogLevel level, std::string_view package, std::string_view event, Json fields)
{
    auto logger = log4cplus::Logger::getInstance(std::string(package));
    auto libraryLevel = toLibraryLevel(level);
    if (!logger.isEnabledFor(libraryLevel))
        return;
    fields["event"] = event;
    logger.forcedLog(libraryLevel, dumpJson(fields));
}

void stopLogging() { log4cplus::Logger::shutdown(); }

} // namespace Brassladder::Common
