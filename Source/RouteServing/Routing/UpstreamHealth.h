// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>

namespace Brassladder::RouteServing::Routing {

// How a try ended, as far as it tells something of the upstream.
enum class TryOutcome : uint8_t {
    Answered,
    Failed, // Answered with a failure of its own.
    Broken, // Reset, garbled, or no answer in time.
    Unreachable, // No connection.
    Refused, // Not run, and said so.
    Withdrawn, // The caller left: says nothing.
};

// Judges one upstream by the outcomes of real requests. After failures in a row it is left out for a time that doubles
// up to a bound; then it gets a single request as a trial. Not safe for several threads.
class UpstreamHealth {
public:
    void record(TryOutcome, Common::TimePoint now);
    bool isEjected(Common::TimePoint now) const { return now < m_ejectedUntil; }
    // A fading share of the tries that failed, 0 to 1.
    double errorRate(Common::TimePoint now) const;

private:
    unsigned m_consecutiveFailures { 0 };
    Common::Milliseconds m_pause { 0 };
    Common::TimePoint m_ejectedUntil {};
    Common::TimePoint m_lastTry {};
    double m_errorRate { 0 };
};

} // namespace Brassladder::RouteServing::Routing
