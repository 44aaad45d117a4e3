// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace Brassladder::RouteServing::Routing {

// Leave to send one request to the upstream that it was chosen for, now. Only UpstreamRegistry::permitSend gives one
// out, after it has asked what the upstream has stated, and sending takes one: between the choice of an upstream and
// the first byte lie a connection of up to 500 ms and waits for other fibers, in which the upstream may ask for rest.
class SendPermit {
private:
    friend class UpstreamRegistry;
    SendPermit() = default;
};

} // namespace Brassladder::RouteServing::Routing
