// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RunHandover.h"

#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <mutex>
#include <optional>

namespace Brassladder::RouteServing::Gateway {

using Common::ConnectionEnd;
using Common::Milliseconds;
using Common::TimePoint;
using Routing::RunSign;
using namespace std::chrono_literals;

// Leaves time for other routers to connect to an engine that this one does not reach.
static constexpr Milliseconds connectTimeout = 100ms;
// A process that is ending may accept a connection and reset it, before it refuses the next one. Doubles each time.
static constexpr Milliseconds firstRetryInterval = 4ms;
// Far above any response to such a call.
static constexpr size_t maxResponseBytes = 64 * 1024;

namespace {

// A check that its request may stop waiting for. Shared by the fiber of the request and the one that runs the check.
struct Check {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable hasEnded;
    std::optional<RunStatement> statement;
    bool isOver { false }; // The request does not wait any longer.
};

} // namespace

// Returns nullopt if the engine does not respond.
static std::optional<RunStatement> callEngine(
    const HeaderScheme& headers, Common::HttpConnection& connection, const InterruptedRun& run)
{
    auto call = headers.runs.stop(run.requestId, run.destination.endpoint);
    call.headers.push_back({ headers.upstream.expectedInstanceHeader, run.engine.id });
    call.responseTimeout = Routing::maxRunCheckTime;
    auto response = connection.start(call);
    if (isError(response))
        return std::nullopt;
    auto body = connection.readRemainingBody(maxResponseBytes);
    if (isError(body))
        return std::nullopt;
    valueOf(response).body = std::move(valueOf(body));
    if (headers.upstream.isFromOtherUpstream(valueOf(response)))
        return RunStatement { RunSign::ProcessGone, {}, {} };
    return headers.runs.statement(valueOf(response), run.engine.endpoint);
}

// Returns nullopt if the engine is to be asked again.
static std::optional<RunStatement> checkOnce(
    const HeaderScheme& headers, UpstreamConnector& connector, const InterruptedRun& run)
{
    auto opened = connector.connect(run.engine, connectTimeout);
    if (!opened.connection) {
        bool isRefused = opened.end == ConnectionEnd::Refused;
        return RunStatement { isRefused ? RunSign::ProcessGone : RunSign::Unreachable, {}, {} };
    }
    if (!run.canBeStopped)
        return RunStatement { RunSign::Unstated, {}, {} };
    return callEngine(headers, *opened.connection, run);
}

static RunStatement checkUntil(
    TimePoint deadline, const HeaderScheme& headers, UpstreamConnector& connector, const InterruptedRun& run)
{
    for (auto interval = firstRetryInterval;; interval *= 2) {
        if (auto statement = checkOnce(headers, connector, run))
            return *statement;
        if (Common::now() + interval >= deadline)
            return { RunSign::Silent, {}, {} };
        Common::sleepFor(interval);
    }
}

static void report(const InterruptedRun& run, RunSign sign, Milliseconds time)
{
    bool continues = Routing::mayContinueElsewhere(sign);
    GatewayMetrics::runInterrupted(sign, time);
    Common::log(continues ? Common::LogLevel::Info : Common::LogLevel::Warning, "gateway", "run.interrupted",
        { { "request", run.requestId }, { "upstream", run.engine.id }, { "destination", run.destination.id },
            { "sign", Routing::name(sign) }, { "ms", time.count() }, { "continues", continues } });
}

// Frees what the engine and the destination keep of a stopped run that nothing continues. They also free it in time if
// the call fails.
static void release(
    const HeaderScheme& headers, UpstreamConnector& connector, const InterruptedRun& run, const RunStatement& statement)
{
    if (statement.handle.empty())
        return;
    auto opened = connector.connect(run.engine, connectTimeout);
    if (!opened.connection)
        return;
    auto call = headers.runs.release(statement.handle);
    call.headers.push_back({ headers.upstream.expectedInstanceHeader, run.engine.id });
    call.responseTimeout = Routing::maxRunCheckTime;
    opened.connection->start(call);
}

RunStatement endRun(const HeaderScheme& headers, UpstreamConnector& connector, const InterruptedRun& run)
{
    auto started = Common::now();
    auto deadline = started + Routing::maxRunCheckTime;
    auto check = std::make_shared<Check>();
    Common::FiberRuntime::spawnOnCurrentThread([&headers, &connector, check, run, deadline] {
        auto statement = checkUntil(deadline, headers, connector, run);
        std::unique_lock lock(check->mutex);
        check->statement = statement;
        check->hasEnded.notify_all();
        bool isUnused = check->isOver;
        lock.unlock();
        if (isUnused)
            release(headers, connector, run, statement);
    });
    std::unique_lock lock(check->mutex);
    check->hasEnded.wait_until(lock, deadline, [&] { return check->statement.has_value(); });
    check->isOver = true;
    auto statement = check->statement.value_or(RunStatement { RunSign::Silent, {}, {} });
    report(run, statement.sign, Common::toMilliseconds(Common::now() - started));
    return statement;
}

void discardRun(const HeaderScheme& headers, UpstreamConnector& connector, const InterruptedRun& run)
{
    if (!run.canBeStopped)
        return;
    Common::FiberRuntime::spawnOnCurrentThread([&headers, &connector, run] {
        auto statement = checkUntil(Common::now() + Routing::maxRunCheckTime, headers, connector, run);
        GatewayMetrics::runDiscarded(statement.sign);
        Common::log(Common::LogLevel::Info, "gateway", "run.discarded",
            { { "request", run.requestId }, { "upstream", run.engine.id }, { "sign", Routing::name(statement.sign) } });
        release(headers, connector, run, statement);
    });
}

} // namespace Brassladder::RouteServing::Gateway
