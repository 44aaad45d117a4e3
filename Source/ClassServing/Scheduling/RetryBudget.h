// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <mutex>

namespace Brassladder::ClassServing::Scheduling {

// Bounds the retries against one pool to a fraction of its recent first tries, plus a few a second so that an idle
// pool can be retried at all. A pool that fails as a whole then sees at most that fraction of extra load.
class RetryBudget {
public:
    static constexpr double retriesPerTry = 0.1;
    static constexpr double retriesPerSecond = 1;
    // Two seconds of the trickle, and what a burst of a hundred tries earns.
    static constexpr double maxSaved = 10;

    void deposit();
    // True when a retry may be made now; it is paid for.
    bool withdraw(Common::TimePoint now);

private:
    std::mutex m_mutex;
    double m_balance { maxSaved };
    Common::TimePoint m_updated {};
};

} // namespace Brassladder::ClassServing::Scheduling
