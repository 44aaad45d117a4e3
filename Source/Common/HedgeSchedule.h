// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <optional>

namespace Brassladder::Common {

// Decides when a read that has no response yet is attempted once more, on another connection and beside the earlier
// attempts (a hedged read). Pauses after reads that no attempt could speed up, since hedges would only add to the load
// of a slow or failed server. Pure; not thread-safe.
class HedgeSchedule {
public:
    // Attempts of one read, including the first.
    static constexpr unsigned maxAttempts = 3;

    // `hedgeAfter`: time from one attempt to the next; zero if reads are never hedged.
    explicit HedgeSchedule(Milliseconds hedgeAfter)
        : m_hedgeAfter(hedgeAfter)
    {
    }

    // Returns how long after its newest attempt a read is attempted again, or nullopt if it is not.
    std::optional<Milliseconds> untilNextAttempt(unsigned attempts) const
    {
        bool isPaused = m_hasFailed || m_needlessHedges >= maxNeedlessHedges;
        if (m_hedgeAfter.count() == 0 || isPaused || attempts >= maxAttempts)
            return std::nullopt;
        return m_hedgeAfter;
    }

    // Records a read of `attempts` attempts that the attempt `winner` answered, counted from 0.
    void recordResponse(unsigned winner, unsigned attempts, Duration elapsed)
    {
        m_hasFailed = false;
        if (winner == 0 && attempts > 1)
            ++m_needlessHedges;
        else if (winner > 0 || elapsed < m_hedgeAfter)
            m_needlessHedges = 0;
    }
    // Records a read whose attempts have all failed.
    void recordFailure() { m_hasFailed = true; }

private:
    static constexpr unsigned maxNeedlessHedges = 2; // In a row.

    Milliseconds m_hedgeAfter;
    unsigned m_needlessHedges { 0 }; // In a row; the first attempt was answered first.
    bool m_hasFailed { false }; // The last read.
};

} // namespace Brassladder::Common
