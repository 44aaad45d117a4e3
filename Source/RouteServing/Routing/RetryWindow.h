// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace Brassladder::RouteServing::Routing {

// Bounds the retries that the whole fleet sends to one service: within any sliding window, at most a ratio of the
// requests for it plus a fixed allowance. Each router keeps to the ratio of its own requests and to its share of the
// allowance, so that the sum over all routers keeps to the whole without coordination.
//
// Class serving has another limit, ClassServing/Scheduling/RetryBudget.h: a token bucket that saves up unused retries
// over time. It would not do here, because the operators' rule counts within a window; and a window would not do there,
// where a pool with few requests still gets a retry each second.
//
// Safe to use from several threads.
class RetryWindow {
public:
    struct Bounds {
        double ratio { 0 }; // Retries for each request.
        double allowance { 0 }; // Retries beyond that in one window; this router's share.
        Common::Milliseconds window { 0 };
    };

    explicit RetryWindow(Bounds);

    void setAllowance(double);
    void countRequest(Common::TimePoint now);
    // True when a retry may be sent now; it is counted.
    bool takeRetry(Common::TimePoint now);

private:
    // Slices of the window, plus one: the oldest one, partly outside of it, still counts for retries but no longer for
    // requests, which errs on the safe side. 40 slices keep that error at 2.5%; chosen, not measured.
    static constexpr size_t sliceCount = 41;
    struct Slice {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    Slice& slice(Common::TimePoint now);
    int64_t sliceNumber(Common::TimePoint) const;

    Bounds m_bounds;
    std::mutex m_mutex;
    std::array<Slice, sliceCount> m_slices;
};

// This router's share of the allowance of a fleet of `routers` (at least one).
double retryAllowanceShare(double fleetAllowance, size_t routers);

} // namespace Brassladder::RouteServing::Routing
