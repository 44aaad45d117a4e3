// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Routing/AttemptOutcome.h"
#include "RouteServing/Routing/SendQuotas.h"
#include "RouteServing/Routing/Suspect.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

// Counters and histograms of a router that serves routes. Labels have a bounded number of values. Safe to use from
// several threads.
namespace Brassladder::RouteServing::Gateway::GatewayMetrics {

// A request is over. `reason`: of our own refusal or of a stream that was cut; empty when an upstream's response was
// relayed whole.
void requestEnded(unsigned status, std::string_view reason, Common::Duration);
// The first event of a stream, or a whole response, is on its way to the caller.
void firstByte(Common::Duration afterArrival);
// An attempt failed; `retried`: the request goes on to another upstream.
void attemptFailed(Routing::AttemptOutcome, Common::ConnectionEnd, bool retried);

// What an upstream stated in a response, when it was news.
enum class StatementKind : uint8_t { Cooldown, Leaving, Limit };
void statementReceived(StatementKind);
// A request was not sent to the upstream that it was chosen for, because of what that one had stated meanwhile.
void requestWithheld();
// Upstreams that rest, when the metrics are read.
void cooldownCount(size_t);
// Limits that upstreams have named, when the metrics are read.
void sendQuotas(const Routing::SendQuotas::Summary&);

// Attempts at an upstream ended without a response, for a cause of CrashDetector.h.
void upstreamDisconnected(std::string_view cause);

// Requests that are suspected of crashing upstreams, as far as this router knows, when the metrics are read.
void suspects(const std::map<Routing::Suspicion, size_t>&);

// What this router knows and which role it has, when the metrics are read.
struct FleetState {
    bool isHub { false };
    bool readsStore { false };
    uint64_t configurationVersion { 0 };
    Common::Milliseconds configurationAge { 0 };
    Common::Milliseconds upstreamsAge { 0 };
    size_t fleetSize { 0 }; // 0 before it is known.
};
void fleetState(const FleetState&);

} // namespace Brassladder::RouteServing::Gateway::GatewayMetrics
