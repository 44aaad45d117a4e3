// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <mutex>

namespace Brassladder::ClassServing::Scheduling {

// A token bucket that bounds the retries against one pool to a fraction of its requests, plus a few a second so that an
// idle pool can be retried at all. A pool that fails as a whole then gets at most that fraction of extra load.
//
// Route serving has another limit, RouteServing/Routing/RetryWindow.h, because its operators set a ratio within a
// window; there, unused retries must not be saved up. Safe to use from several threads.
class RetryBudget {
public:
    // Chosen, not measured: a tenth of extra load is what a pool near its capacity can still bear.
    static constexpr double retriesPerRequest = 0.1;
    // So that an idle pool can be retried at all. Chosen, not measured.
    static constexpr double retriesPerSecond = 1;
    // The most retries that are saved up: ten seconds of the trickle, or what a hundred requests earn. Chosen, not
    // measured.
    static constexpr double maxSavedRetries = 10;

    void deposit();
    // True when a retry may be made now; it is paid for.
    bool withdraw(Common::TimePoint now);

private:
    std::mutex m_mutex;
    double m_balance { maxSavedRetries };
    Common::TimePoint m_updated {};
};

} // namespace Brassladder::ClassServing::Scheduling
