// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityDemand.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Duties {

using Common::Milliseconds;
using Common::TimePoint;
using namespace std::chrono_literals;

// The prompts that an engine has before it may take this share of the shortest objective: the rest is for those that
// come meanwhile and for the engine's own first step. Chosen, not measured on its own.
static constexpr double backlogShareOfObjective = 0.25;
// Share of a batch that long responses may take. The same as Routing/DecodeReservation.h keeps for them.
static constexpr double decodeShareOfBatch = 0.5;
static constexpr double maxHeadroomFactor = 3;
// Weight of a new sample: samples come twice a second, and single ones vary by half with the size of prompts. Chosen,
// not measured.
static constexpr double sampleWeight = 0.5;
// A need lasts when it was there for so long: bursts of the users' sheets take 5 to 10 s, and waves 11 s.
static constexpr Milliseconds sustainedLoadWindow = 12'000ms;
// For how long the largest need counts for the headroom: some bursts of the users' sheets come 11 s apart. Chosen, not
// measured.
static constexpr Milliseconds peakLoadWindow = 60'000ms;
// The list of upstreams is settled when as many stood for so long: upstreams write their entries at intervals of 1.2 s
// (the users' sheets), and the list is read about as often.
static constexpr Milliseconds servingCountStableTime = 2000ms;
// A load is known when it was seen for so long: the first prompts tell little. Chosen, not measured.
static constexpr Milliseconds minLoadObservation = 5000ms;

CapacityDemand::CapacityDemand(double spotPrice)
    : m_headroom(spotPrice > 0 ? std::clamp(1 / std::sqrt(spotPrice), 1.0, maxHeadroomFactor) : maxHeadroomFactor)
{
}

double CapacityDemand::enginesFor(const EngineLoad& load)
{
    auto budget = backlogShareOfObjective * static_cast<double>(std::max<Milliseconds::rep>(1, load.objective.count()));
    auto prefill = load.prefillTokens * load.millisecondsPerToken / budget;
    auto decode = load.decodeHeavy / std::max(1.0, decodeShareOfBatch * load.batch);
    return prefill + decode;
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
    m_smoothed += sampleWeight * (enginesFor(load) - m_smoothed);
    m_samples.push_back({ now, m_smoothed });
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
    double most = 0;
    double least = m_smoothed;
    for (const auto& sample : m_samples) {
        most = std::max(most, sample.engines);
        if (now - sample.at <= sustainedLoadWindow)
            least = std::min(least, sample.engines);
    }
    auto withHeadroom = engines(m_headroom * most);
    // A holder that is new knows no burst yet; what stands may be there for one.
    if (now - *m_firstLoadAt < peakLoadWindow)
        withHeadroom = std::max(withHeadroom, *m_initialEngines);
    return CapacityNeed { engines(least), withHeadroom };
}

} // namespace Brassladder::RouteServing::Duties
