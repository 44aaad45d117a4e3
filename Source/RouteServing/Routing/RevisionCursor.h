// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <optional>

namespace Brassladder::RouteServing::Routing {

// Tracks how far the changes of a table (usage counts, suspects) were sent to one peer. The peer acknowledges the
// revision up to which it has received them. Only one part is in flight at a time, so that parts do not queue up on a
// slow link. Not thread-safe.
class RevisionCursor {
public:
    // Returns the revision after which changes may be sent now, or nullopt while a part is in flight.
    std::optional<uint64_t> next(Common::TimePoint now);
    // Records that changes up to the revision were sent.
    void recordSent(uint64_t revision, Common::TimePoint now);
    // Records the revision that the peer acknowledges. It is lower than before if the peer has restarted.
    void acknowledge(uint64_t revision);
    // Marks what was in flight as lost. Call it when the connection has ended.
    void forgetSent() { m_sent = m_acknowledged; }

private:
    uint64_t m_acknowledged { 0 };
    uint64_t m_sent { 0 };
    Common::TimePoint m_sentAt {};
};

} // namespace Brassladder::RouteServing::Routing
