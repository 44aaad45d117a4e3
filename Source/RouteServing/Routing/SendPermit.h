// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace Brassladder::RouteServing::Routing {

// Permit to send one request to the chosen upstream now. Only UpstreamRegistry::permitSend creates one, after checking
// the upstream's statements and its entry in the list, and sending requires one. Between the choice of an upstream and
// the first byte, the router waits for a connection (up to 500 ms) and for other fibers; in that time the upstream may
// start a cooldown or leave.
class SendPermit {
private:
    friend class UpstreamRegistry;
    SendPermit() = default;
};

} // namespace Brassladder::RouteServing::Routing
