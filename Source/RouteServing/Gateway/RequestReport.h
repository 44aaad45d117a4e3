// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/BodyFraming.h"
#include "Common/Clock.h"
#include "RouteServing/Gateway/StreamContinuation.h"
#include "RouteServing/Gateway/StreamTimes.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"
#include "RouteServing/Routing/RequestIdentity.h"
#include "RouteServing/Routing/UpstreamListOrigin.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// The state that the decisions for a request were based on.
struct DecisionBasis {
    uint64_t configurationVersion { 0 };
    Common::Milliseconds configurationAge { 0 }; // Since the configuration was last confirmed.
    Common::Milliseconds upstreamsAge { 0 }; // Since the list of upstreams was last confirmed.
};

// The list of upstreams that was in use at one moment of an attempt.
struct ListInUse {
    Routing::UpstreamListOrigin origin;
    Common::Milliseconds age { 0 }; // Since the list was last confirmed.
};

// How the body of an upstream's response ended.
struct UpstreamBodyEnd {
    Common::BodyFraming framing { Common::BodyFraming::Length };
    std::string_view end; // `complete`, or how the connection ended before.
    size_t unfinishedEventBytes { 0 }; // Received after the last whole event of a stream.
};

// How the response to the caller ended.
enum class ResponseEnd : uint8_t {
    None,
    Complete,
    Closed, // Like the upstream's, the response ended with its connection.
    Aborted,
};

// Contents of the log line at the end of a request (docs/OPERATIONS.md, `request.end`).
struct RequestReport {
    RequestReport(std::string request, Common::TimePoint now)
        : requestId(std::move(request))
        , arrived(now)
        , streamTimes(now)
    {
    }

    std::string requestId;
    Common::TimePoint arrived;
    unsigned status { 0 }; // 0 if no response was begun.
    std::string reason; // Why the router refused the request or aborted the response; else empty.
    std::string route; // Empty if no route matched.
    std::optional<DecisionBasis> basis; // nullopt if no configuration was known.
    std::vector<std::string> attemptedUpstreams; // Ids, in order.
    std::vector<std::string> attemptedVersions; // Software versions of these upstreams; empty texts if unknown.
    ContinuedStream continued;
    // Software version of the upstream that sent the first event; nullopt before.
    std::optional<std::string> firstEventVersion;
    // Estimates made when the last upstream was chosen; only for generations.
    uint64_t queuedPrefillTokens { 0 };
    uint64_t prefillTokens { 0 };
    Common::Milliseconds expectedFirstEvent { 0 }; // Since that choice.
    bool isExpectedLate { false };
    StreamTimes streamTimes;
    std::string statedLimit; // Limit header of the last response, verbatim; empty if it had none.
    std::string statedTolerance; // The same of the rejections that the upstream tolerates.
    std::optional<Common::Milliseconds> slotWait; // For slots of fragile upstreams; nullopt if none was needed.
    Common::TimePoint lastPlaced {}; // When the last upstream was chosen.
    // Of the last attempt; nullopt before the choice, or if nothing was sent.
    std::optional<ListInUse> listAtPlacement;
    std::optional<ListInUse> listAtSend; // Right before the first byte.
    Common::TimePoint lastSent {}; // When the first byte of the last attempt was sent, if `listAtSend` is set.

    std::optional<UpstreamBodyEnd> upstreamBody; // Of the last response of an upstream; nullopt if there was none.
    std::string relay; // Router that the last connection led through; empty if it was direct.
    ResponseEnd responseEnd { ResponseEnd::None };

    // Records how the body of an upstream's response ended, and updates the metric.
    void recordUpstreamBody(const UpstreamBodyEnd&);
    // Records the upstream that was chosen for the next attempt.
    void recordPlacement(const Routing::UpstreamRegistry::Placement&, const Routing::UpstreamListOrigin&);
    // Records that a stream's first whole event arrived from the upstream.
    void recordFirstEvent(const Routing::UpstreamRecord&);
    // Records that the first byte of an attempt is about to be sent, and updates the metric of the list's age.
    void recordSend(const Routing::UpstreamListOrigin&, Common::TimePoint now);
};

// Writes the log line of a failed attempt (`try.failed`). `retries`: another one follows. `identity`: the request's
// identity, if it was computed.
void reportFailedAttempt(const RequestReport&, const UpstreamAttempt&, bool retries,
    const std::optional<Routing::RequestIdentity>& identity);

// Writes the log line and updates the metrics.
void reportRequestEnd(const RequestReport&, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Gateway
