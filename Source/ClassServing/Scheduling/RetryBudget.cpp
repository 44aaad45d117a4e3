// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/RetryBudget.h"

#include <algorithm>

namespace Brassladder::ClassServing::Scheduling {

void RetryBudget::deposit()
{
    std::lock_guard lock(m_mutex);
    m_balance = std::min(maxSavedRetries, m_balance + retriesPerRequest);
}

bool RetryBudget::withdraw(Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (m_updated != Common::TimePoint {}) {
        double elapsed = std::max(0.0, Common::toSeconds(now - m_updated));
        m_balance = std::min(maxSavedRetries, m_balance + elapsed * retriesPerSecond);
    }
    m_updated = now;
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace Brassladder::ClassServing::Scheduling
