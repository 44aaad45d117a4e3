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
// the engine. Therefore only the shortest of six successive pauses counts, which nearly always has no prefill
// beside it. After each three pauses, a sample states the shortest of these and the three before them. Events that
// arrive together, because the network or the router delayed the first ones, share the pause before them; otherwise the
// shortest pause would be one between two of them. Not thread-safe.
class PauseSampler {
public:
    // The time for the tokens of one event, as observed over `events` pauses.
    struct Sample {
        size_t events { 0 };
        Common::Duration perEvent {};
    };

    // Records the arrival of `events` whole events in one read. Returns a sample after each three pauses except the
    // first three.
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
        return m_count == halfSize ? takeSample() : std::nullopt;
    }

    // Returns the sample of the remaining pauses at the end of the stream, or nullopt if there are too few.
    std::optional<Sample> finish()
    {
        closePause();
        if (!m_count && !m_unreported)
            return std::nullopt;
        return m_count >= halfSize || m_previous ? takeSample(true) : std::nullopt;
    }

private:
    // Too often, all of fewer pauses have a prefill beside them.
    static constexpr size_t halfSize = 3;
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

    // Ends the current half.
    std::optional<Sample> takeSample(bool isLast = false)
    {
        auto count = std::exchange(m_count, 0);
        m_unreported += count;
        auto shortest = !count ? *m_previous : m_previous ? std::min(*m_previous, m_shortest) : m_shortest;
        bool isComplete = m_previous || isLast;
        if (count)
            m_previous = m_shortest;
        if (!isComplete)
            return std::nullopt;
        auto events = std::exchange(m_unreported, 0);
        return shortest > maxPause ? std::nullopt : std::optional(Sample { events, shortest });
    }

    std::optional<Common::TimePoint> m_last;
    Common::Duration m_openPause {}; // The last pause, which more events may share.
    size_t m_openEvents { 0 }; // Events after it; 0 if there is no such pause.
    Common::Duration m_shortest {}; // Of the pauses of the current half, per event.
    size_t m_count { 0 }; // Pauses of the current half.
    std::optional<Common::Duration> m_previous; // The shortest pause of the previous half.
    size_t m_unreported { 0 }; // Pauses of earlier halves that no sample covers.
};

} // namespace Brassladder::RouteServing::Routing
