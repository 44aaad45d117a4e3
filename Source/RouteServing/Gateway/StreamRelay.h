// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "RouteServing/Gateway/SseFramer.h"
#include "RouteServing/Gateway/StreamTimes.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace Brassladder::RouteServing::Gateway {

// Relays the event stream of one request to its caller over all its attempts. Used only by the fiber of the request.
class StreamRelay {
public:
    enum class Result : uint8_t { Completed, Interrupted, CallerGone };

    StreamRelay(Common::HttpExchange&, Common::TimePoint requestArrived);

    // The hook is called once, with the first event. Set it before relaying.
    void setOnFirstEvent(std::function<void()> hook) { m_onFirstEvent = std::move(hook); }
    // Relays whole events until the stream ends, the upstream interrupts it, or the caller disconnects. Sends the
    // response head with the first event; until then, a later attempt can still send its own response head.
    Result relay(UpstreamAttempt&);
    // Discards the unfinished event of the last attempt, before the next one resumes the stream.
    void discardPartialEvent() { m_framer.discardPartialEvent(); }

    // Whether the response head was sent. The request can then no longer be refused.
    bool hasSentHead() const { return m_status != 0; }
    unsigned status() const { return m_status; } // 0 before the head was sent.
    // Id of the last event that was sent to the caller; nullopt before the first one.
    std::optional<uint64_t> lastEventId() const { return m_framer.lastId(); }
    // Number of events of all attempts.
    size_t eventCount() const { return m_framer.eventCount(); }
    // Number of bytes that were received after the last whole event.
    size_t unfinishedEventBytes() const { return m_unfinishedEventBytes; }
    const StreamTimes& times() const { return m_times; }

private:
    void sendHeadOnce(const UpstreamAttempt&);

    Common::HttpExchange& m_exchange;
    Common::TimePoint m_requestArrived;
    SseFramer m_framer;
    StreamTimes m_times;
    size_t m_unfinishedEventBytes { 0 };
    unsigned m_status { 0 };
    std::function<void()> m_onFirstEvent { [] {} };
};

} // namespace Brassladder::RouteServing::Gateway
