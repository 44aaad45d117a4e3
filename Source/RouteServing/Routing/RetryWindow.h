// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Brassladder::RouteServing::Routing {

// Bounds the retries that the whole fleet may send to one service: within any sliding window, at most a fraction of the
// requests for it plus a fixed allowance. Each router keeps to the fraction of its own requests and to its share of the
// allowance, so that the sum over all routers keeps to the whole without a message between them.
class RetryWindow {
public:
    struct Bounds {
        double ratio { 0.1 }; // Retries for each request.
        double allowance { 0 }; // Retries beyond that, in one window: this router's share.
        Common::Milliseconds window { 10'000 };
    };

    explicit RetryWindow(Bounds);

    void setAllowance(double);
    void countRequest(Common::TimePoint now);
    // True when a retry may be sent now; it is counted.
    bool takeRetry(Common::TimePoint now);

private:
    // The window is cut into slices; one more than fits, so that the oldest is counted whole for retries.
    static constexpr size_t slices = 41;
    struct Slice {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    Slice& slice(Common::TimePoint now);
    int64_t sliceNumber(Common::TimePoint) const;

    Bounds m_bounds;
    std::mutex m_mutex;
    std::array<Slice, slices> m_slices;
};

} // namespace Brassladder::RouteServing::Routing
