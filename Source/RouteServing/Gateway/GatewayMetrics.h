// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/BodyFraming.h"
#include "Common/HttpClient.h"
#include "Common/TimeBudget.h"
#include "RouteServing/Routing/AttemptOutcome.h"
#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/RunSign.h"
#include "RouteServing/Routing/SendQuotas.h"
#include "RouteServing/Routing/StreamOriginTable.h"
#include "RouteServing/Routing/Suspect.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

// Counters, gauges and histograms of a router that serves routes. Labels have a bounded number of values. Thread-safe.
namespace Brassladder::RouteServing::Gateway::GatewayMetrics {

// Counts a finished request. `reason`: why the router refused it or aborted its response; empty if the whole response
// of an upstream was relayed.
void requestEnded(unsigned status, std::string_view reason, Common::Duration);
// Observes the time from a request's arrival to the first event of its stream, or to its whole response.
void firstByte(Common::Duration afterArrival);
// Observes the age of the list of upstreams right before the first byte of a request is sent to one of them.
void listAgeAtSend(Common::Duration);
// Sets the longest path of each guarantee as a share of its bound.
void timeBudgets(std::span<const Common::TimeBudget>);
// Counts a failed attempt. `retried`: whether another attempt follows.
void attemptFailed(Routing::AttemptOutcome, Common::ConnectionEnd, bool retried);
// Counts the body of an upstream's response. `end`: `complete`, or how the connection ended before.
void upstreamBodyEnded(Common::BodyFraming, std::string_view end);

// Counts an interrupted run whose request may continue at another engine, and observes how long it took to find out.
void runInterrupted(Routing::RunSign, Common::Duration);

// Counts an interrupted run that was stopped because its request begins again at another engine.
void runDiscarded(Routing::RunSign);

// Whether a stream went on within one response, or over the attempts of its caller.
enum class ContinuedWithin : uint8_t { Response, CallerAttempts };
// The software version of the upstream that is chosen to continue a stream, compared to the one that began it.
enum class ContinuedAt : uint8_t { SameVersion, OtherVersion, Unknown };
// Counts a stream for whose continuation an upstream was chosen.
void streamContinued(ContinuedWithin, ContinuedAt);

// Sets the gauges of the streams whose origin is recorded here; called when the metrics are read.
void streamOrigins(const Routing::StreamOriginTable::Summary&);

// How a connection to an upstream was opened.
enum class ConnectionPath : uint8_t { None, Direct, Relay };
// Counts an attempt to open a connection; `None` if it failed.
void upstreamConnection(ConnectionPath);
// Adds to the number of open tunnels of other routers.
void addTunnels(int change);

// What an upstream states about itself in a response.
enum class StatementKind : uint8_t { Cooldown, Leaving, Limit, Fragile };
// Counts a statement that is new to this router.
void statementReceived(StatementKind);
// Counts a statement in a response that this router does not act on.
void unreadStatement();
// Counts a request that an upstream of the service rejected as not executed.
void requestRejected(std::string_view service);
// Counts a request that was not sent to its chosen upstream because of a statement received since the choice.
void requestWithheld();
// Sets the number of upstreams in cooldown; called when the metrics are read.
void cooldownCount(size_t);
// Sets the gauges for upstreams with a limit and for this router's quotas there; called when the metrics are read.
void sendQuotas(const Routing::SendQuotas::Summary&);

// How a request for a slot of a fragile upstream ended.
enum class SlotRequestEnd : uint8_t { Granted, Denied, Unanswered };
// Counts a request for a slot; `Unanswered` counts each coordinator that did not answer.
void slotRequestEnded(SlotRequestEnd);
// Sets the gauges of fragile upstreams; called when the metrics are read.
struct FragileState {
    size_t fragile { 0 }; // Upstreams that are fragile, as this router knows.
    size_t coordinated { 0 }; // Upstreams whose slots this router coordinates.
    size_t reserved { 0 }; // Slots there that are reserved.
    size_t waiting { 0 }; // Requests that wait for one.
};
void fragileUpstreams(const FragileState&);

// Counts attempts at an upstream that ended early, by their cause (CrashDetector.h).
void upstreamDisconnected(std::string_view cause);

// Sets the number of suspects of a kind by state, as known to this router; called when the metrics are read.
void suspects(std::string_view kind, const std::map<Routing::Suspicion, size_t>&);

// Sets the range of the engines' slowdowns by service; called when the metrics are read.
void engineSlowdowns(const std::map<std::string, Routing::EnginePaces::Range, std::less<>>&);
// Counts a table of paces that was sent to another router.
void paceTableSent(size_t rows, size_t bytes);
// Counts a table of demands that was sent to another router.
void demandsSent(size_t rows, size_t bytes);
// Sets the number of workspaces that are over their share, by service and rank, as known to this router.
void limitedWorkspaces(size_t);

// Role of this router and age of its state, when the metrics are read.
struct FleetState {
    bool isHub { false };
    bool readsStore { false };
    uint64_t configurationVersion { 0 };
    Common::Milliseconds configurationAge { 0 };
    Common::Milliseconds upstreamsAge { 0 };
    size_t fleetSize { 0 }; // 0 until it is known.
};
void fleetState(const FleetState&);

} // namespace Brassladder::RouteServing::Gateway::GatewayMetrics
