// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <optional>

namespace Brassladder::RouteServing::Routing {

// How far the changes of a table (usage counts, suspects) were sent to one peer, which acknowledges the revision up to
// which it has them.
//
// One part is in flight at a time, so that a slow link holds one of them and not a copy for each 500 ms. A guard: in
// the one play with 300 routers it changed nothing that was measured. Not safe for several threads.
class RevisionCursor {
public:
    // The revision after which changes may be sent now; none while a part is in flight.
    std::optional<uint64_t> next(Common::TimePoint now);
    // Changes up to that revision were sent.
    void recordSent(uint64_t revision, Common::TimePoint now);
    // What the peer has. Less than before after it was started again.
    void acknowledge(uint64_t revision);
    // The connection has ended: what was in flight is lost.
    void forgetSent() { m_sent = m_acknowledged; }

private:
    uint64_t m_acknowledged { 0 };
    uint64_t m_sent { 0 };
    Common::TimePoint m_sentAt {};
};

} // namespace Brassladder::RouteServing::Routing
