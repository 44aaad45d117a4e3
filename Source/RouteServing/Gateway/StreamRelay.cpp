// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/StreamRelay.h"

#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/HeaderRules.h"

namespace Brassladder::RouteServing::Gateway {

StreamRelay::StreamRelay(Common::HttpExchange& exchange, Common::TimePoint requestArrived)
    : m_exchange(exchange)
    , m_requestArrived(requestArrived)
    , m_times(requestArrived)
{
}

StreamRelay::Result StreamRelay::relay(UpstreamAttempt& attempt)
{
    while (true) {
        auto piece = attempt.readBodyChunk();
        if (m_exchange.callerGone())
            return Result::CallerGone;
        if (isError(piece))
            return Result::Interrupted;
        bool isAtEnd = valueOf(piece).empty();
        m_framer.feed(valueOf(piece));
        auto events = m_framer.takeEvents();
        m_unfinishedEventBytes = m_framer.unfinishedBytes();
        if (isAtEnd)
            events += m_framer.takeRemainder();
        if (!events.empty()) {
            attempt.recordPrefillDone();
            if (!m_times.hasEvents())
                m_onFirstEvent();
            attempt.recordEvents(m_framer.eventsTaken());
            m_times.recordEvents(Common::now());
        }
        if (isAtEnd || !events.empty())
            sendHeadOnce(attempt);
        if (!events.empty() && !m_exchange.write(events)) {
            attempt.cancel();
            return Result::CallerGone;
        }
        if (!isAtEnd)
            continue;
        attempt.releaseConnection();
        m_exchange.endStream();
        return Result::Completed;
    }
}

void StreamRelay::sendHeadOnce(const UpstreamAttempt& attempt)
{
    if (hasSentHead())
        return;
    m_status = attempt.response().status;
    m_exchange.beginStream({ m_status, {}, {}, headersForCaller(attempt.response()) });
    GatewayMetrics::firstByte(Common::now() - m_requestArrived);
}

} // namespace Brassladder::RouteServing::Gateway
