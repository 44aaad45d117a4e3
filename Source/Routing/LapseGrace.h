// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Routing/UpstreamBoard.h"

#include <optional>
#include <span>
#include <vector>

namespace Brassladder::Routing {

// Upstreams keep their entries in the platform's store alive by writing there; while the store is away, entries may run
// out although their upstreams serve. For a short grace after its return, an upstream that is missing is kept as it
// was; one that has not written by then is taken as gone. Not safe for several threads.
class LapseGrace {
public:
    // The first reading since `lastReading` that worked, after one or more that failed.
    void regained(Common::TimePoint lastReading, Common::TimePoint now);

    // What to go by: the list as read, and during the grace also what is missing there.
    std::vector<UpstreamRecord> fill(
        std::vector<UpstreamRecord> listed, std::span<const UpstreamRecord> known, Common::TimePoint now) const;

    // Whether the grace has ended since the last call: the list as read holds from now on.
    bool takeEnd(Common::TimePoint now);

private:
    std::optional<Common::TimePoint> m_until;
};

} // namespace Brassladder::Routing
