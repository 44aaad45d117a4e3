// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/SlotExchange.h"
#include "RouteServing/Gateway/UpstreamConnector.h"
#include "RouteServing/Routing/AttemptOutcome.h"
#include "RouteServing/Routing/PauseSampler.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// One attempt to serve a request at one upstream: connects, sends the request and checks that the response belongs to
// it. Records load and outcome in the registry during its lifetime. Used by one fiber; another fiber of the same thread
// may call `cancel`.
class UpstreamAttempt {
public:
    struct Options {
        std::string_view requestId;
        Common::Milliseconds connectTimeout { 200 };
        Common::Milliseconds maxIdleTime { 1000 }; // Of a pooled connection that is reused.
    };

    UpstreamAttempt(const HeaderScheme&, Routing::UpstreamRegistry&, Routing::UpstreamRegistry::Placement);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    // Opens connections with the connector, which may lead through another router. Without it, they are opened
    // directly.
    void setConnector(UpstreamConnector& connector) { m_connector = &connector; }
    // Sets the function that returns whether the request may still be sent. Called when the connection is established;
    // may suspend the fiber.
    void setSendCheck(std::function<bool()> maySend) { m_maySend = std::move(maySend); }
    // Reserves a slot before the request is sent to a fragile upstream. `waitUntil`: how long the request may wait for
    // one; `runUntil`: its deadline.
    void setSlots(SlotExchange& slots, Common::TimePoint waitUntil, Common::TimePoint runUntil);
    // If the request was withheld because no slot was free: when the caller should come back.
    const std::optional<Common::Milliseconds>& slotRetryAfter() const { return m_slotRetryAfter; }
    // How long the request waited for a slot; nullopt if it needed none.
    const std::optional<Common::Milliseconds>& slotWait() const { return m_slotWait; }
    // The hook is called right before the first byte of the request is sent.
    void setOnSend(std::function<void(Common::TimePoint now)> hook) { m_onSend = std::move(hook); }
    // Connects, sends the request and reads the response head. Does not send if the upstream meanwhile is in cooldown,
    // is leaving or no longer listed, or has no quota left for this router or no slot, or if the send check fails.
    // After `Answered` and `ServerError`, `response` is the head of the response to this request, and its body can be
    // read.
    Routing::AttemptOutcome start(const Common::HttpClientRequest&, const Options&);
    Routing::AttemptOutcome outcome() const { return m_outcome; }
    bool hasEvents() const { return m_isPrefillDone; }
    const Common::HttpClientResponse& response() const { return m_response; }
    // The load that the upstream reported with the response, if any.
    const std::optional<Routing::ReportedLoad>& reportedLoad() const { return m_reportedLoad; }
    // Describes the failure, for logs and error messages.
    const std::string& problem() const { return m_problem; }
    // How the upstream or the network ended the connection.
    Common::ConnectionEnd connectionEnd() const { return m_connectionEnd; }
    // The router that the connection leads through; nullopt if it is direct.
    const std::optional<Common::Endpoint>& relay() const { return m_relay; }
    const Routing::UpstreamRecord& upstream() const { return m_placement.upstream; }

    // Returns the next piece of the body; empty at its end. If the body ends early, returns an error, and the outcome
    // is Interrupted, or CancelledAfterSending after `cancel`.
    Common::Result<std::string_view> readBodyChunk();
    // Returns the whole body, up to `limit` bytes; errors as above. `reserve` is called before memory is allocated.
    Common::Result<std::string> readBody(size_t limit, const Common::HttpConnection::Reserve& reserve);
    // Records that the body is incomplete although its framing ended. Closes the connection.
    void rejectBody(std::string problem);
    // Records that the body is unusable although it has not ended. Closes the connection.
    void breakOffBody(std::string problem) { interrupt(std::move(problem)); }
    // Records that the first event has arrived, so the engine's prefill is done.
    void recordPrefillDone();
    // Records the arrival of `events` whole events in one read, from which the engine's pace is estimated.
    void recordEvents(size_t events);
    // Returns the connection to the pool, after the whole response was read.
    void releaseConnection();

    void cancel();

private:
    // Returns false if the upstream is fragile and no slot is free in time.
    bool reserveSlot();
    Routing::SlotRelease slotRelease() const;
    bool connect(const Options&);
    UpstreamConnector::Result openConnection(Common::Milliseconds timeout);
    // The only function that sends a request to an upstream.
    Common::Result<Common::HttpClientResponse> send(const Common::HttpClientRequest&, Routing::SendPermit);
    // Records what the response states about its upstream, regardless of the outcome of the request.
    void recordStatement(std::string_view requestId);
    void recordRates(std::string_view requestId);
    Routing::AttemptOutcome withhold(std::string problem);
    Routing::AttemptOutcome checkResponseHead(std::string_view requestId);
    Routing::AttemptOutcome interrupt(std::string problem);
    void recordPace(const std::optional<Routing::PauseSampler::Sample>&);

    const HeaderScheme& m_headers;
    Routing::UpstreamRegistry& m_registry;
    Routing::UpstreamRegistry::Placement m_placement;
    SlotExchange* m_slots { nullptr }; // Null if no slots are reserved.
    Common::TimePoint m_slotWaitEnd {};
    Common::TimePoint m_runUntil {};
    std::optional<SlotReservation> m_slot;
    std::optional<Common::Milliseconds> m_slotRetryAfter;
    std::optional<Common::Milliseconds> m_slotWait;
    UpstreamConnector* m_connector { nullptr }; // Null if connections are opened directly.
    std::unique_ptr<Common::HttpConnection> m_connection;
    std::optional<Common::Endpoint> m_relay;
    Common::HttpClientResponse m_response;
    std::optional<Routing::ReportedLoad> m_reportedLoad;
    Common::TimePoint m_sent {};
    Routing::PauseSampler m_pauses;
    std::function<bool()> m_maySend { [] { return true; } };
    std::function<void(Common::TimePoint)> m_onSend { [](Common::TimePoint) {} };
    std::string m_problem;
    Routing::AttemptOutcome m_outcome { Routing::AttemptOutcome::CancelledBeforeSending };
    Common::ConnectionEnd m_connectionEnd { Common::ConnectionEnd::None };
    bool m_isPrefillDone { false };
    bool m_isCancelled { false };
};

} // namespace Brassladder::RouteServing::Gateway
