// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityDemand.h"

#include <algorithm>
#include <cmath>
#include <vector>

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
// Factor between the usual load and a burst that must be expected although none was seen.
static constexpr double maxUnseenBurstFactor = 2.5;
// Bound for the factor between the usual load and the peaks that count as load. A higher peak is a backlog, which grows
// with the time for which engines are missing.
static constexpr double maxPeakFactor = 4;
// The usual load is this quantile of the recent loads. Bursts that together take less than the rest of the time do not
// raise it.
static constexpr double usualLoadQuantile = 0.75;
// Weight of a new sample in the exponential moving average, which smooths the effect of single large prompts.
static constexpr double sampleWeight = 0.5;
// Minimum time between two samples. While orders are due, the plan is made several times within it.
static constexpr Milliseconds minSampleInterval = 250ms;
// A load counts as sustained if it persists for this long, which exceeds the length of common bursts.
static constexpr Milliseconds sustainedLoadWindow = 12'000ms;
// Peaks and the usual load are those within this time, which spans the gaps between recurring bursts.
static constexpr Milliseconds peakLoadWindow = 60'000ms;
// Time within which a recurring burst appears: a common interval between bursts (11 s) and the length of one (9 s).
static constexpr Milliseconds burstAppearanceTime = 20'000ms;
// The number of serving engines counts as stable if it has not changed for this long, which exceeds the announcement
// interval of upstreams.
static constexpr Milliseconds servingCountStableTime = 2000ms;
// The load counts as known if it has been observed for this long. Earlier loads are not representative, because the
// engines' prefix caches and the estimated prefill speed start empty.
static constexpr Milliseconds minLoadObservation = 5000ms;

static unsigned roundUp(double engines) { return static_cast<unsigned>(std::ceil(engines)); }

// The factor is bounded by the number of spot engines that cost as much as one on-demand engine.
CapacityDemand::CapacityDemand(double spotPrice)
    : m_unseenBurstFactor(spotPrice > 0 ? std::clamp(1 / spotPrice, 1.0, maxUnseenBurstFactor) : maxUnseenBurstFactor)
{
}

RequiredEngines CapacityDemand::enginesFor(const EngineLoad& load)
{
    RequiredEngines engines;
    engines.prefill = load.prefillRate * load.millisecondsPerToken / (backlogShareOfObjective * millisecondsPerSecond);
    engines.decode = load.decodeHeavy / std::max(1.0, decodeShareOfBatch * load.batch);
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
    if (!isKnown || now < m_nextSampleAt)
        return;
    if (!m_firstLoadAt)
        m_firstLoadAt = now;
    m_nextSampleAt = now + minSampleInterval;
    auto required = enginesFor(load);
    m_smoothed.prefill += sampleWeight * (required.prefill - m_smoothed.prefill);
    m_smoothed.decode += sampleWeight * (required.decode - m_smoothed.decode);
    if (now - *m_firstLoadAt < minLoadObservation)
        return;
    m_samples.push_back({ now, m_smoothed.total() });
    while (now - m_samples.front().at > peakLoadWindow)
        m_samples.pop_front();
}

// Returns the minimum of both kinds of engines together: the initial engines until a burst would have appeared, then
// linearly less until the peaks of a whole window are known.
unsigned CapacityDemand::initialMinimum(TimePoint now) const
{
    auto remaining = peakLoadWindow - Common::toMilliseconds(now - *m_firstLoadAt);
    auto share = Common::toSeconds(remaining) / Common::toSeconds(peakLoadWindow - burstAppearanceTime);
    return roundUp(std::clamp(share, 0.0, 1.0) * *m_initialEngines);
}

double CapacityDemand::usualLoad() const
{
    std::vector<double> engines;
    for (const auto& sample : m_samples)
        engines.push_back(sample.engines);
    auto quantile = engines.begin() + static_cast<std::ptrdiff_t>(usualLoadQuantile * (engines.size() - 1.0));
    std::nth_element(engines.begin(), quantile, engines.end());
    return *quantile;
}

std::optional<CapacityNeed> CapacityDemand::need(TimePoint now) const
{
    if (!m_initialEngines)
        return std::nullopt;
    if (m_samples.empty())
        return CapacityNeed { *m_initialEngines, 0, 0, *m_initialEngines };
    double peak = 0;
    double sustained = m_smoothed.total();
    for (const auto& sample : m_samples) {
        peak = std::max(peak, sample.engines);
        if (now - sample.at <= sustainedLoadWindow)
            sustained = std::min(sustained, sample.engines);
    }
    auto usual = std::max(usualLoad(), sustained);
    CapacityNeed need;
    need.sustained = roundUp(sustained);
    need.withHeadroom = roundUp(std::min(peak, maxPeakFactor * usual));
    need.unseenBurst = roundUp(m_unseenBurstFactor * usual);
    need.initial = initialMinimum(now);
    return need;
}

} // namespace Brassladder::RouteServing::Duties
