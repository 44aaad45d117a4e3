// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <mutex>

namespace Brassladder::Common {

// Bounds the log lines of a second, and counts those that were left out. Safe to use from several threads.
class LineBudget {
public:
    explicit LineBudget(unsigned perSecond)
        : m_perSecond(perSecond)
    {
    }

    // Whether one more line may be written now.
    bool take(TimePoint now)
    {
        std::lock_guard lock(m_mutex);
        if (now - m_secondBegan >= std::chrono::seconds(1)) {
            m_secondBegan = now;
            m_taken = 0;
        }
        if (m_taken >= m_perSecond)
            return false;
        ++m_taken;
        return true;
    }

    void leaveOut()
    {
        std::lock_guard lock(m_mutex);
        ++m_leftOut;
    }

    // How many lines were left out since the last call.
    uint64_t takeLeftOut()
    {
        std::lock_guard lock(m_mutex);
        return std::exchange(m_leftOut, 0);
    }

private:
    unsigned m_perSecond;
    std::mutex m_mutex;
    TimePoint m_secondBegan {};
    unsigned m_taken { 0 };
    uint64_t m_leftOut { 0 };
};

} // namespace Brassladder::Common
