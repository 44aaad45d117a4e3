// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RunSign.h"

namespace Brassladder::RouteServing::Routing {

std::string_view name(RunSign sign)
{
    switch (sign) {
    case RunSign::ProcessGone:
        return "process_gone";
    case RunSign::NotRunning:
        return "not_running";
    case RunSign::Stopped:
        return "stopped";
    case RunSign::Unreachable:
        return "unreachable";
    case RunSign::Unstated:
        return "unstated";
    case RunSign::Silent:
        return "silent";
    }
    return "unstated";
}

bool mayContinueElsewhere(RunSign sign)
{
    switch (sign) {
    case RunSign::ProcessGone:
    case RunSign::NotRunning:
    case RunSign::Stopped:
    case RunSign::Unreachable:
        return true;
    case RunSign::Unstated:
    case RunSign::Silent:
        return false;
    }
    return false;
}

} // namespace Brassladder::RouteServing::Routing
