// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <mutex>

namespace Brassladder::ClassServing::Scheduling {

// A token bucket that limits the retries of one pool to a fraction of its requests, plus a constant rate for pools
// with little traffic. A failing pool therefore gets only limited extra load.
// Route serving uses RouteServing/Routing/RetryWindow.h instead, which limits the ratio of retries within a configured
// window and does not accumulate unused retries. Thread-safe.
class RetryBudget {
public:
    // A pool near its capacity can bear a tenth of extra load.
    static constexpr double retriesPerRequest = 0.1;
    // Allows retries on an idle pool.
    static constexpr double retriesPerSecond = 1;
    // Capacity of the bucket, in retries.
    // Equals ten seconds of `retriesPerSecond`, or what a hundred requests add.
    static constexpr double maxSavedRetries = 10;

    void deposit();
    // Takes a retry from the bucket. Returns false if less than one is left.
    bool withdraw(Common::TimePoint now);

private:
    std::mutex m_mutex;
    double m_balance { maxSavedRetries };
    Common::TimePoint m_updated {};
};

} // namespace Brassladder::ClassServing::Scheduling
