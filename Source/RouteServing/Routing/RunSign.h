// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <string_view>

// Decides whether a generation may continue at another engine after its response ended early. The end of a connection
// does not show that the engine has stopped working on the run (docs/design/interrupted-runs.md). Pure.
namespace Brassladder::RouteServing::Routing {

// What is known about an interrupted run at its engine.
enum class RunSign : uint8_t {
    ProcessGone, // The address of the engine refuses connections, or another upstream responds there.
    NotRunning, // The engine states that it has no such run.
    Stopped, // The engine has stopped the run on request.
    Unreachable, // No connection to the engine can be opened, neither directly nor through other routers.
    Unstated, // The engine responds, but does not state whether the run has ended.
    Silent, // The engine does not respond in time.
};

// Value of the log field and of the metrics label `sign`.
std::string_view name(RunSign);

// Whether another engine may continue the run. An engine that is silent or does not state the end may still work on it.
bool mayContinueElsewhere(RunSign);

// Bounds the pause that finding out adds to a stream.
inline constexpr Common::Milliseconds maxRunCheckTime { 350 };

} // namespace Brassladder::RouteServing::Routing
