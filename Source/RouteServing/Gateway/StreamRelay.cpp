// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/StreamRelay.h"

#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/HeaderRules.h"
#include "RouteServing/Routing/Suspect.h"

namespace Brassladder::RouteServing::Gateway {

using Common::BodyFraming;

// Far above the event of any model; bounds what one faulty stream can make a process hold.
static constexpr size_t maxEventBytes = 1024 * 1024;

StreamRelay::StreamRelay(Common::HttpExchange& exchange, Common::TimePoint requestArrived)
    : m_exchange(exchange)
    , m_requestArrived(requestArrived)
    , m_times(requestArrived)
{
}

StreamRelay::Result StreamRelay::relay(UpstreamAttempt& attempt)
{
    m_attemptBegan.reset();
    while (true) {
        auto piece = attempt.readBodyChunk();
        if (m_exchange.callerGone())
            return Result::CallerGone;
        if (isError(piece))
            return Result::Interrupted;
        if (valueOf(piece).empty())
            return finish(attempt);
        m_framer.feed(valueOf(piece));
        auto events = m_framer.takeEvents();
        m_unfinishedEventBytes = m_framer.unfinishedBytes();
        if (!events.empty() && !relayEvents(attempt, events))
            return Result::CallerGone;
        if (m_unfinishedEventBytes > maxEventBytes) {
            attempt.breakOffBody("an event of the stream exceeds the size limit");
            return Result::Interrupted;
        }
    }
}

bool StreamRelay::relayEvents(UpstreamAttempt& attempt, std::string_view events)
{
    attempt.recordPrefillDone();
    if (!m_times.hasEvents())
        m_onFirstEvent();
    attempt.recordEvents(m_framer.eventsTaken());
    m_times.recordEvents(Common::now());
    reportLongRun(Common::now());
    sendHeadOnce(attempt);
    if (m_exchange.write(events))
        return true;
    attempt.cancel();
    return false;
}

void StreamRelay::reportLongRun(Common::TimePoint now)
{
    if (!m_attemptBegan)
        m_attemptBegan = now;
    if (m_hasLongRun || now - *m_attemptBegan < Routing::longRunTime)
        return;
    m_hasLongRun = true;
    m_onLongRun();
}

StreamRelay::Result StreamRelay::finish(UpstreamAttempt& attempt)
{
    if (auto problem = problemAtEnd(attempt)) {
        attempt.rejectBody(*problem);
        return Result::Interrupted;
    }
    sendHeadOnce(attempt);
    if (!m_exchange.write(m_framer.takeRemainder())) {
        attempt.cancel();
        return Result::CallerGone;
    }
    attempt.releaseConnection();
    m_exchange.endStream();
    return Result::Completed;
}

std::optional<std::string> StreamRelay::problemAtEnd(const UpstreamAttempt& attempt) const
{
    if (m_framer.hasPartialEvent())
        return "the stream ended within an event";
    if (attempt.response().framing != BodyFraming::UntilClose)
        return std::nullopt;
    if (hasSentHead() && m_framing != BodyFraming::UntilClose)
        return "the response that resumes the stream does not state its end";
    if (!m_framer.eventCount() && !m_mayBeEmpty)
        return "the connection ended before the first event";
    return std::nullopt;
}

void StreamRelay::sendHeadOnce(const UpstreamAttempt& attempt)
{
    if (hasSentHead())
        return;
    m_status = attempt.response().status;
    // Only an upstream that states the end of its response lets this response state one.
    bool endsWithConnection = attempt.response().framing == BodyFraming::UntilClose;
    m_framing = endsWithConnection ? BodyFraming::UntilClose : BodyFraming::Chunked;
    m_exchange.beginStream({ m_status, {}, {}, headersForCaller(attempt.response()) }, m_framing);
    GatewayMetrics::firstByte(Common::now() - m_requestArrived);
}

} // namespace Brassladder::RouteServing::Gateway
