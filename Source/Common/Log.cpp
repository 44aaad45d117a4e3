// SPDX-License-Identifier: Apache-2.0
#include "Common/Log.h"

#include "Common/LineBudget.h"

#include <atomic>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <string>

namespace Brassladder::Common {

// Room of the queue to the writing thread. A writer of lines would have to wait when it is full, so lines are left out
// from half of it on.
static constexpr unsigned queueLines = 16384;
// Lines that may wait for the writer.
static constexpr uint64_t mostWaiting = queueLines / 2;

static std::string s_instance;
static std::atomic<uint64_t> s_handedOver { 0 };
static std::atomic<uint64_t> s_written { 0 };
static LineBudget s_budget(linesPerSecond);

namespace {

// log4cplus 2.0 has no layout for JSON. The message is the event's JSON object; the layout adds what the event carries.
class JsonLayout final : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
    {
        s_written.fetch_add(1, std::memory_order_relaxed);
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
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(false, true));
    console->setLayout(std::make_unique<JsonLayout>());
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(log4cplus::SharedAppenderPtr(new log4cplus::AsyncAppender(console, queueLines)));
    root.setLogLevel(toLibraryLevel(least));
}

static void hand(log4cplus::Logger& logger, log4cplus::LogLevel level, const Json& fields)
{
    s_handedOver.fetch_add(1, std::memory_order_relaxed);
    logger.forcedLog(level, dumpJson(fields));
}

void log(LogLevel level, std::string_view package, std::string_view event, Json fields)
{
    auto logger = log4cplus::Logger::getInstance(std::string(package));
    auto libraryLevel = toLibraryLevel(level);
    if (!logger.isEnabledFor(libraryLevel))
        return;
    auto waiting = s_handedOver.load(std::memory_order_relaxed) - s_written.load(std::memory_order_relaxed);
    bool hasRoom = waiting < mostWaiting;
    if (!hasRoom || (!s_budget.take(now()) && level != LogLevel::Error))
        return s_budget.leaveOut();
    if (auto leftOut = s_budget.takeLeftOut())
        hand(logger, log4cplus::WARN_LOG_LEVEL, { { "event", "log.left_out" }, { "lines", leftOut } });
    fields["event"] = event;
    hand(logger, libraryLevel, fields);
}

void stopLogging() { log4cplus::Logger::shutdown(); }

} // namespace Brassladder::Common
