// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/CrashDetector.h"

#include "Common/FiberRuntime.h"
#include "Common/HttpClient.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using Common::ConnectionEnd;
using Common::Milliseconds;
using namespace std::chrono_literals;

// Attempts at one upstream that end within this time are attributed to the same cause.
// In 27 crashes of engines, all attempts on seven routers ended within 2.4 ms (docs/incidents/crashing-request.md).
static constexpr Milliseconds groupingWindow = 25ms;
// Timeout of the probe. On a reachable instance, a connection is accepted or refused within one network round trip.
// A round trip takes 3 ms within a region.
static constexpr Milliseconds probeTimeout = 250ms;
// Maximum number of requests that one log line lists.
static constexpr size_t maxLoggedRequests = 8;

static std::string_view name(DisconnectCause cause)
{
    switch (cause) {
    case DisconnectCause::Crash:
        return "crash";
    case DisconnectCause::PlannedEnd:
        return "planned_end";
    case DisconnectCause::Alive:
        return "alive";
    case DisconnectCause::Unknown:
        return "unknown";
    }
    return "unknown";
}

static void logCrash(const Routing::UpstreamRecord& upstream, std::span<const Routing::InterruptedAttempt> attempts)
{
    auto requests = Common::Json::array();
    for (const auto& attempt : attempts.first(std::min(attempts.size(), maxLoggedRequests))) {
        auto parts = Common::Json::array();
        for (const auto& part : attempt.promptParts)
            parts.push_back(part.text());
        requests.push_back({ { "request", attempt.requestId }, { "identity", attempt.request.text() },
            { "workspace", attempt.workspace }, { "prompt_parts", std::move(parts) },
            { "ms", Common::toMilliseconds(attempt.ended - attempt.sent).count() } });
    }
    Common::log(Common::LogLevel::Warning, "gateway", "upstream.crashed",
        { { "upstream", upstream.id }, { "born", upstream.born }, { "service", upstream.service },
            { "attempts", attempts.size() }, { "requests", std::move(requests) } });
}

CrashDetector::CrashDetector(const Routing::UpstreamRegistry& registry)
    : m_registry(registry)
    , m_connect(
          [](const auto& upstream, Milliseconds timeout) { return UpstreamConnector({}).connect(upstream, timeout); })
{
}

DisconnectCause CrashDetector::probe(const Routing::UpstreamRecord& upstream) const
{
    auto probed = m_connect(upstream, probeTimeout);
    if (probed.connection)
        return m_isOtherUpstream(*probed.connection, upstream, probeTimeout) ? DisconnectCause::Crash
                                                                             : DisconnectCause::Alive;
    return probed.end == ConnectionEnd::Refused ? DisconnectCause::Crash : DisconnectCause::Unknown;
}

void CrashDetector::recordDisconnect(const Routing::UpstreamRecord& upstream, Routing::InterruptedAttempt attempt)
{
    if (!m_registry.isServing(upstream.id)) {
        if (attempt.looksComplete)
            return;
        Common::log(Common::LogLevel::Info, "gateway", "upstream.broke",
            { { "upstream", upstream.id }, { "cause", name(DisconnectCause::PlannedEnd) } });
        return GatewayMetrics::upstreamDisconnected(name(DisconnectCause::PlannedEnd));
    }
    std::lock_guard lock(m_mutex);
    if (m_interrupted.add(upstream.incarnation(), std::move(attempt)))
        Common::FiberRuntime::spawnOnCurrentThread([this, upstream] { determineCause(upstream); });
}

void CrashDetector::determineCause(const Routing::UpstreamRecord& upstream)
{
    Common::sleepFor(groupingWindow);
    auto cause = probe(upstream);
    std::vector<Routing::InterruptedAttempt> attempts;
    {
        std::lock_guard lock(m_mutex);
        attempts = m_interrupted.take(upstream.incarnation());
    }
    if (cause != DisconnectCause::Crash)
        return reportNoCrash(upstream, cause, std::move(attempts));
    GatewayMetrics::upstreamDisconnected(name(cause));
    logCrash(upstream, attempts);
    m_onCrash(upstream, attempts);
}

void CrashDetector::reportNoCrash(const Routing::UpstreamRecord& upstream, DisconnectCause cause,
    std::vector<Routing::InterruptedAttempt> attempts) const
{
    auto complete
        = std::partition(attempts.begin(), attempts.end(), [](const auto& attempt) { return !attempt.looksComplete; });
    if (cause == DisconnectCause::Alive)
        m_onCompleted({ complete, attempts.end() });
    attempts.erase(complete, attempts.end());
    if (attempts.empty())
        return;
    GatewayMetrics::upstreamDisconnected(name(cause));
    Common::log(Common::LogLevel::Info, "gateway", "upstream.broke",
        { { "upstream", upstream.id }, { "cause", name(cause) }, { "attempts", attempts.size() } });
}

} // namespace Brassladder::RouteServing::Gateway
