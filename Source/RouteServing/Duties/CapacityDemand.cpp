// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityDemand.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Duties {

using Common::Milliseconds;
using Common::TimePoint;
using namespace std::chrono_literals;

// Share of its objective that the prefill of an engine's queued prompts may take. The rest covers prompts that arrive
// in the meantime and the engine's first decode step.
static constexpr double backlogShareOfObjective = 0.25;
static constexpr double millisecondsPerSecond = 1000;
// Share of a batch that decode-heavy generations may occupy; must equal the share in Routing/DecodeReservation.h.
static constexpr double decodeShareOfBatch = 0.5;
static constexpr double maxHeadroomFactor = 3;
// Weight of a new sample in the exponential moving average, which smooths the effect of single large prompts.
static constexpr double sampleWeight = 0.5;
// A load counts as sustained if it persists for this long, which exceeds the length of common bursts.
static constexpr Milliseconds sustainedLoadWindow = 12'000ms;
// The need with headroom follows the maximum within this time, which spans the gaps between recurring bursts.
static constexpr Milliseconds peakLoadWindow = 60'000ms;
// The number of serving engines counts as stable if it has not changed for this long, which exceeds the announcement
// interval of upstreams.
static constexpr Milliseconds servingCountStableTime = 2000ms;
// The load counts as known if it has been observed for this long.
static constexpr Milliseconds minLoadObservation = 5000ms;

CapacityDemand::CapacityDemand(double spotPrice)
    : m_headroom(spotPrice > 0 ? std::clamp(1 / std::sqrt(spotPrice), 1.0, maxHeadroomFactor) : maxHeadroomFactor)
{
}

RequiredEngines CapacityDemand::enginesFor(const EngineLoad& load)
{
    RequiredEngines engines;
    engines.prefill = load.prefillRate * load.millisecondsPerToken / (backlogShareOfObjective * millisecondsPerSecond);
    auto others = std::max(0.0, load.requests - load.decodeHeavy);
    engines.decode
        = load.decodeHeavy / std::max(1.0, decodeShareOfBatch * load.batch) + others / std::max(1U, load.batch);
    return engines;
}

void CapacityDemand::observe(const EngineLoad& load, unsigned servingEngines, TimePoint now)
{
    if (servingEngines != m_servingEngines || !m_servingEnginesSince) {
        m_servingEngines = servingEngines;
        m_servingEnginesSince = now;
    }
    if (!m_initialEngines && servingEngines && now - *m_servingEnginesSince >= servingCountStableTime)
        m_initialEngines = servingEngines;
    bool isKnown = load.millisecondsPerToken > 0;
    if (!isKnown)
        return;
    if (!m_firstLoadAt)
        m_firstLoadAt = now;
    auto required = enginesFor(load);
    m_smoothed.prefill += sampleWeight * (required.prefill - m_smoothed.prefill);
    m_smoothed.decode += sampleWeight * (required.decode - m_smoothed.decode);
    m_samples.push_back({ now, m_smoothed.total() });
    while (now - m_samples.front().at > peakLoadWindow)
        m_samples.pop_front();
}

std::optional<CapacityNeed> CapacityDemand::need(TimePoint now) const
{
    if (!m_initialEngines)
        return std::nullopt;
    auto engines = [](double number) { return static_cast<unsigned>(std::ceil(number)); };
    if (!m_firstLoadAt || now - *m_firstLoadAt < minLoadObservation)
        return CapacityNeed { *m_initialEngines, *m_initialEngines };
    double recentMax = 0;
    double recentMin = m_smoothed.total();
    for (const auto& sample : m_samples) {
        recentMax = std::max(recentMax, sample.engines);
        if (now - sample.at <= sustainedLoadWindow)
            recentMin = std::min(recentMin, sample.engines);
    }
    auto withHeadroom = engines(m_headroom * recentMax);
    // The initial engines may be headroom for bursts that a new holder has not observed yet.
    if (now - *m_firstLoadAt < peakLoadWindow)
        withHeadroom = std::max(withHeadroom, *m_initialEngines);
    return CapacityNeed { engines(recentMin), withHeadroom };
}

} // namespace Brassladder::RouteServing::Duties
