// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "RouteServing/Gateway/SseFramer.h"
#include "RouteServing/Gateway/StreamTimes.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Relays the event stream of one request to its caller over all its attempts. Used only by the fiber of the request.
class StreamRelay {
public:
    enum class Result : uint8_t { Completed, Interrupted, CallerGone };

    StreamRelay(Common::HttpExchange&, Common::TimePoint requestArrived);

    // The hook is called once, with the first event. Set it before relaying.
    void setOnFirstEvent(std::function<void()> hook) { m_onFirstEvent = std::move(hook); }
    // The hook is called once, after an attempt has sent events for `longRunTime`.
    void setOnLongRun(std::function<void()> hook) { m_onLongRun = std::move(hook); }
    // Allows a stream without events that ends with its connection, such as one that its caller resumes at its end.
    void setMayBeEmpty(bool mayBeEmpty) { m_mayBeEmpty = mayBeEmpty; }
    // Relays whole events until the stream ends, the upstream interrupts it, or the caller disconnects. A stream that
    // ends within an event is interrupted, however its response is framed. Sends the response head with the first
    // event; until then, a later attempt can still send its own response head. The response states its end only if the
    // first attempt's response does.
    Result relay(UpstreamAttempt&);
    // Discards the unfinished event of the last attempt, before the next one resumes the stream.
    void discardPartialEvent() { m_framer.discardPartialEvent(); }

    // Whether the response head was sent. The request can then no longer be refused.
    bool hasSentHead() const { return m_status != 0; }
    // How the response to the caller is delimited, once its head was sent.
    Common::BodyFraming framing() const { return m_framing; }
    unsigned status() const { return m_status; } // 0 before the head was sent.
    // Id of the last event that was sent to the caller; nullopt before the first one.
    std::optional<uint64_t> lastEventId() const { return m_framer.lastId(); }
    // Number of events of all attempts.
    size_t eventCount() const { return m_framer.eventCount(); }
    // Number of bytes that were received after the last whole event.
    size_t unfinishedEventBytes() const { return m_unfinishedEventBytes; }
    const StreamTimes& times() const { return m_times; }

private:
    // Returns false if the caller has disconnected.
    bool relayEvents(UpstreamAttempt&, std::string_view events);
    Result finish(UpstreamAttempt&);
    // Returns why the end of the upstream's body is not the end of the stream; nullopt if it is.
    std::optional<std::string> problemAtEnd(const UpstreamAttempt&) const;
    void sendHeadOnce(const UpstreamAttempt&);
    void reportLongRun(Common::TimePoint now);

    Common::HttpExchange& m_exchange;
    Common::TimePoint m_requestArrived;
    SseFramer m_framer;
    StreamTimes m_times;
    size_t m_unfinishedEventBytes { 0 };
    Common::BodyFraming m_framing { Common::BodyFraming::Chunked };
    bool m_mayBeEmpty { false };
    unsigned m_status { 0 };
    std::optional<Common::TimePoint> m_attemptBegan; // When the first event of the current attempt came.
    bool m_hasLongRun { false };
    std::function<void()> m_onFirstEvent { [] {} };
    std::function<void()> m_onLongRun { [] {} };
};

} // namespace Brassladder::RouteServing::Gateway
