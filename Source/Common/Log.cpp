// SPDX-License-Identifier: Apache-2.0
#include "Common/Log.h"

#include "Common/LogRateLimiter.h"

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

// Capacity of the queue to the writing thread. Appending to a full queue blocks.
static constexpr unsigned queueCapacityLines = 16384;
// Lines are suppressed when the queue is half full, so that appending does not block.
static constexpr uint64_t maxPendingLines = queueCapacityLines / 2;

static std::string s_instance;
static std::atomic<uint64_t> s_enqueuedLines { 0 };
static std::atomic<uint64_t> s_writtenLines { 0 };
static LogRateLimiter s_rateLimiter(maxLogLinesPerSecond);

namespace {

// log4cplus 2.0 has no JSON layout. The message is the JSON object of the line; the layout adds time, level, package
// and instance.
class JsonLayout final : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
    {
        s_writtenLines.fetch_add(1, std::memory_order_relaxed);
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

void startLogging(LogLevel minimumLevel, std::string_view instance)
{
    s_instance = instance;
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(false, true));
    console->setLayout(std::make_unique<JsonLayout>());
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(log4cplus::SharedAppenderPtr(new log4cplus::AsyncAppender(console, queueCapacityLines)));
    root.setLogLevel(toLibraryLevel(minimumLevel));
}

static void enqueue(log4cplus::Logger& logger, log4cplus::LogLevel level, const Json& fields)
{
    s_enqueuedLines.fetch_add(1, std::memory_order_relaxed);
    logger.forcedLog(level, dumpJson(fields));
}

void log(LogLevel level, std::string_view package, std::string_view event, Json fields)
{
    auto logger = log4cplus::Logger::getInstance(std::string(package));
    auto libraryLevel = toLibraryLevel(level);
    if (!logger.isEnabledFor(libraryLevel))
        return;
    auto pendingLines
        = s_enqueuedLines.load(std::memory_order_relaxed) - s_writtenLines.load(std::memory_order_relaxed);
    bool hasRoom = pendingLines < maxPendingLines;
    if (!hasRoom || (!s_rateLimiter.tryAcquire(now()) && level != LogLevel::Error))
        return s_rateLimiter.countSuppressed();
    if (auto suppressed = s_rateLimiter.takeSuppressedCount())
        enqueue(logger, log4cplus::WARN_LOG_LEVEL, { { "event", "log.left_out" }, { "lines", suppressed } });
    fields["event"] = event;
    enqueue(logger, libraryLevel, fields);
}

void stopLogging() { log4cplus::Logger::shutdown(); }

} // namespace Brassladder::Common
