// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/StreamContinuation.h"

#include "RouteServing/Gateway/StreamOriginExchange.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::Milliseconds;
using Routing::Refusal;
using Routing::RouteKind;
using namespace std::chrono_literals;

// For the last attempt of a caller to arrive.
static constexpr Milliseconds lifetimeReserve = 1000ms;
// A caller that states no time-out may come back until the next attempt on the route would have timed out.
static constexpr int attemptsRemembered = 2;
static constexpr Milliseconds longestLifetime = 10min;

StreamContinuation::StreamContinuation(
    const HeaderScheme& headers, const Common::HttpExchange& exchange, StreamOriginExchange* origins)
    : m_headers(headers)
    , m_exchange(exchange)
    , m_origins(origins)
    , m_named(exchange.header(headers.caller.resumedAttemptHeader))
    , m_lastEvent(exchange.header(headers.upstream.lastEventIdHeader))
{
}

std::string_view StreamContinuation::requestId() const { return m_exchange.header(m_headers.caller.requestIdHeader); }

std::optional<Refusal> StreamContinuation::resolve(
    const Routing::Route& route, std::string_view workspace, Common::TimePoint deadline)
{
    m_route = &route;
    m_workspace = workspace;
    if (route.kind != RouteKind::Stream || !isTakenUp())
        return std::nullopt;
    bool isNamedOnce = m_exchange.request().count(m_headers.caller.resumedAttemptHeader) == 1;
    if (m_origins && isNamedOnce && !m_named.empty())
        m_origin = m_origins->find({ m_workspace, route.name, m_named }, deadline);
    if (!m_origin)
        return Refusal { ErrorKind::StreamUnknown, "it is not known at which software version the stream began" };
    bool leadsThere = std::any_of(route.shares.begin(), route.shares.end(),
        [&](const auto& share) { return share.service == m_origin->service; });
    if (!leadsThere)
        return Refusal { ErrorKind::StreamVersionGone, "the route does not lead to the service that began the stream" };
    return std::nullopt;
}

// The attempt that began a stream names it over all attempts. A stream that is taken up lasts longer than its first
// attempt, and its record has to as well.
void StreamContinuation::recordFirstEvent(
    const Routing::UpstreamRecord& upstream, std::optional<Milliseconds> callerTimeout)
{
    if (!m_origin)
        m_origin = Routing::StreamOrigin { upstream.service, upstream.softwareVersion };
    if (!m_origins || !m_route || !m_route->isResumable)
        return;
    auto lifetime = callerTimeout.value_or(attemptsRemembered * m_route->timeout);
    m_origins->publish({ m_workspace, m_route->name, isTakenUp() ? std::string_view(m_named) : requestId() }, *m_origin,
        std::min(lifetime, longestLifetime) + lifetimeReserve);
}

std::optional<std::string_view> StreamContinuation::requiredVersion() const
{
    return m_origin ? std::optional<std::string_view>(m_origin->softwareVersion) : std::nullopt;
}

} // namespace Brassladder::RouteServing::Gateway
