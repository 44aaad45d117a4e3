// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/UpstreamConnector.h"
#include "RouteServing/Routing/Upstream.h"

#include <string>

// Ends an interrupted run at its engine, before the request continues or begins again at another one.
namespace Brassladder::RouteServing::Gateway {

struct InterruptedRun {
    std::string requestId;
    Routing::UpstreamRecord engine;
    Routing::UpstreamRecord destination; // Where the request would continue.
    bool canBeStopped { false }; // Engines of the service stop runs on request.
};

// Finds out whether the run has ended, and stops it if it can be stopped. Writes the log line `run.interrupted` and
// updates the metric. Suspends the fiber, for `Routing::maxRunCheckTime` at most; the connector must outlive the
// process's fibers, since an unanswered call may last longer.
RunStatement endRun(const HeaderScheme&, UpstreamConnector&, const InterruptedRun&);

// Stops a run that begins again elsewhere, and frees its memory. Does nothing if the run cannot be stopped. Does not
// wait: a run that may repeat need not have ended. Writes the log line `run.discarded` and updates the metric.
void discardRun(const HeaderScheme&, UpstreamConnector&, const InterruptedRun&);

} // namespace Brassladder::RouteServing::Gateway
