// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace Brassladder::RouteServing::Routing {

// Bounds the retries that the whole fleet sends to one service: within any sliding window, at most a ratio of its
// requests plus a fixed allowance. Each router applies the ratio to its own requests and uses only its share of the
// allowance, so the fleet stays within the bound without coordination.
//
// Class serving uses a token bucket instead (ClassServing/Scheduling/RetryBudget.h). A bucket accumulates unused
// retries over time, which the operators' rule for a window does not allow.
//
// Thread-safe.
class RetryWindow {
public:
    struct Bounds {
        double ratio { 0 }; // Retries per request.
        double allowance { 0 }; // This router's share of the additional retries in one window.
        Common::Milliseconds window { 0 };
    };

    explicit RetryWindow(Bounds);

    void setAllowance(double);
    void countRequest(Common::TimePoint now);
    // Returns whether a retry may be sent now. If so, it is counted.
    bool takeRetry(Common::TimePoint now);

private:
    // The slices of the window plus one. The oldest slice is partly outside of the window: its retries are counted but
    // its requests are not, so the bound is never exceeded. With 40 slices per window the error is at most 2.5%.
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

// Returns this router's share of the fleet's allowance. `routers` is the size of the fleet, at least 1.
double retryAllowanceShare(double fleetAllowance, size_t routers);

// Returns from when on a process may use its share. An earlier process of the instance may have used it within the
// window before the start, and nothing tells how much of it.
Common::TimePoint retryAllowanceStart(Common::TimePoint started, Common::Milliseconds window);

} // namespace Brassladder::RouteServing::Routing
