// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <mutex>

namespace Brassladder::Common {

// Limits the number of log lines per second and counts the suppressed ones. Thread-safe.
class LogRateLimiter {
public:
    explicit LogRateLimiter(unsigned perSecond)
        : m_perSecond(perSecond)
    {
    }

    // Returns whether one more line may be written now, and counts it if so.
    bool tryAcquire(TimePoint now)
    {
        std::lock_guard lock(m_mutex);
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_linesInWindow = 0;
        }
        if (m_linesInWindow >= m_perSecond)
            return false;
        ++m_linesInWindow;
        return true;
    }

    void countSuppressed()
    {
        std::lock_guard lock(m_mutex);
        ++m_suppressed;
    }

    // Returns the number of suppressed lines since the last call.
    uint64_t takeSuppressedCount()
    {
        std::lock_guard lock(m_mutex);
        return std::exchange(m_suppressed, 0);
    }

private:
    unsigned m_perSecond;
    std::mutex m_mutex;
    TimePoint m_windowStart {};
    unsigned m_linesInWindow { 0 };
    uint64_t m_suppressed { 0 };
};

} // namespace Brassladder::Common
