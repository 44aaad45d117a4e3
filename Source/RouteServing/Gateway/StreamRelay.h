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

// Relays the event stream of one request to its caller, over all attempts that it takes. Belongs to the fiber of the
// request.
class StreamRelay {
public:
    enum class Result : uint8_t { Completed, BrokenOff, CallerGone };

    StreamRelay(Common::HttpExchange&, Common::TimePoint requestArrived);

    // Called with the first event, once; must be set before relaying.
    void setOnFirstEvent(std::function<void()> hook) { m_onFirstEvent = std::move(hook); }
    // Relays whole events until the stream ends, the upstream breaks off or the caller is gone. The response head is
    // sent with the first event: until then another upstream may still take over with a head of its own.
    Result relay(UpstreamAttempt&);
    // The next attempt resumes the stream: the bytes of the event that the last one did not finish are discarded.
    void discardPartialEvent() { m_framer.discardPartialEvent(); }

    // Whether the response head was sent. From then on the request can no longer be refused.
    bool hasSentHead() const { return m_status != 0; }
    unsigned status() const { return m_status; } // Zero before the head was sent.
    // Id of the last event that the caller has; none before the first one.
    std::optional<uint64_t> lastEventId() const { return m_framer.lastId(); }
    const StreamTimes& times() const { return m_times; }

private:
    void sendHeadOnce(const UpstreamAttempt&);

    Common::HttpExchange& m_exchange;
    Common::TimePoint m_requestArrived;
    SseFramer m_framer;
    StreamTimes m_times;
    unsigned m_status { 0 };
    std::function<void()> m_onFirstEvent { [] {} };
};

} // namespace Brassladder::RouteServing::Gateway
