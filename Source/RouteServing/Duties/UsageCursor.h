// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>

namespace Brassladder::RouteServing::Duties {

// How far the ledger's changes were sent to one peer, which acknowledges the revision up to which it has them. What is
// in flight is not sent again, unless the peer has acknowledged nothing new for a while: then it was lost. Not safe for
// several threads.
class UsageCursor {
public:
    // The revision after which changes must be sent now; those up to `newest` count as in flight from then on.
    uint64_t claim(uint64_t newest, Common::TimePoint now);
    // What the peer has. Less than before after it was started again.
    void acknowledge(uint64_t revision, Common::TimePoint now);

private:
    uint64_t m_acknowledged { 0 };
    uint64_t m_sent { 0 };
    Common::TimePoint m_lastProgress {};
};

} // namespace Brassladder::RouteServing::Duties
