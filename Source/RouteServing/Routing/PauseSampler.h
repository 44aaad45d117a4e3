// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace Brassladder::RouteServing::Routing {

// Measures how long an engine takes for the output tokens of one stream, from the pauses between its events.
//
// An engine prefills prompts between the tokens of its batch, so a pause beside a prefill describes the prompt and not
// the engine. Of each six successive pauses only the shortest counts, for all six: nearly always it has no prefill
// beside it. Events that arrive together, because the network or the router delayed the first ones, share the pause
// before them; otherwise the shortest pause would be one between two of them. Not thread-safe.
class PauseSampler {
public:
    // The time for the tokens of one event, as observed over `events` pauses.
    struct Sample {
        size_t events { 0 };
        Common::Duration perEvent {};
    };

    // Records the arrival of `events` whole events in one read. Returns a sample when a group of pauses is complete.
    std::optional<Sample> recordEvents(size_t events, Common::TimePoint now)
    {
        if (!events)
            return std::nullopt;
        auto last = std::exchange(m_last, now);
        if (!last)
            return std::nullopt;
        if (now - *last < minPause) {
            m_openEvents += m_openEvents ? events : 0;
            return std::nullopt;
        }
        closePause();
        m_openPause = now - *last;
        m_openEvents = events;
        return m_count == groupSize ? takeSample() : std::nullopt;
    }

    // Returns the sample of an unfinished group at the end of the stream, or nullopt if it has too few pauses.
    std::optional<Sample> finish()
    {
        closePause();
        return takeSample();
    }

private:
    static constexpr size_t groupSize = 6;
    // Too often, all of fewer pauses have a prefill beside them.
    static constexpr size_t minGroupSize = 3;
    // Events that are closer together arrived together.
    static constexpr Common::Milliseconds minPause { 1 };
    // A longer pause is a failure and not a speed.
    static constexpr Common::Milliseconds maxPause { 10000 };

    // Ends the last pause, since the next event did not arrive together with those after it.
    void closePause()
    {
        auto events = std::exchange(m_openEvents, 0);
        if (!events)
            return;
        auto perEvent = m_openPause / static_cast<Common::Duration::rep>(events);
        m_shortest = m_count ? std::min(m_shortest, perEvent) : perEvent;
        ++m_count;
    }

    std::optional<Sample> takeSample()
    {
        auto count = std::exchange(m_count, 0);
        if (count < minGroupSize || m_shortest > maxPause)
            return std::nullopt;
        return Sample { count, m_shortest };
    }

    std::optional<Common::TimePoint> m_last;
    Common::Duration m_openPause {}; // The last pause, which more events may share.
    size_t m_openEvents { 0 }; // Events after it; 0 if there is no such pause.
    Common::Duration m_shortest {}; // Of the pauses of the current group, per event.
    size_t m_count { 0 }; // Pauses of the current group.
};

} // namespace Brassladder::RouteServing::Routing
