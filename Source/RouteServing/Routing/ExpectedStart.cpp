// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/ExpectedStart.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Brassladder::RouteServing::Routing {

// Longer estimates are cut: they exceed every deadline, and the sums of many routers may be wrong.
static constexpr double maxMilliseconds = 3'600'000;
// Half-life of the observed errors of hints.
static constexpr double hintHalfLifeSeconds = 60;
// Observations of a ratio of 1 that the observations of a route are added to, so a single one has little effect.
static constexpr double priorObservations = 4;
// Bounds of the correction. Hints are right in the median, so a larger error is not an error of all callers.
static constexpr double minCorrection = 0.25;
static constexpr double maxCorrection = 4;
// Configurations have far fewer routes and services; a bound nonetheless, since names come and go.
static constexpr size_t maxNames = 1000;
// Half-life of the observed decoding times, which change with the load of the engines.
static constexpr double decodeHalfLifeSeconds = 10;
// A report of an unreadable size changes nothing beyond this.
static constexpr double maxOutputTokens = 1e7;

static Common::Milliseconds toMilliseconds(double milliseconds)
{
    if (!(milliseconds > 0))
        return Common::Milliseconds(0);
    return Common::Milliseconds(static_cast<int64_t>(std::min(milliseconds, maxMilliseconds)));
}

EnginePool EnginePool::of(unsigned engines, const EngineTraits& traits, const std::optional<ServicePace>& pace,
    const FirstEventEstimate& firstEvents, std::optional<double> millisecondsPerDecodedToken)
{
    EnginePool pool { engines, traits.batch, traits.kvTokens, firstEvents.millisecondsPerToken,
        millisecondsPerDecodedToken.value_or(0) };
    if (pace) {
        pool.millisecondsPerPrefillToken = pace->millisecondsPerPrefillToken;
        pool.millisecondsPerDecodedToken = pace->millisecondsPerDecodedToken;
    }
    return pool;
}

double EnginePool::capacity(double tokensPerGeneration) const
{
    double perEngine = slots;
    if (kvTokens && tokensPerGeneration > 0)
        perEngine = std::clamp(static_cast<double>(kvTokens) / tokensPerGeneration, 1.0, std::max(1.0, perEngine));
    return perEngine * engines;
}

Common::Milliseconds EnginePool::prefillTime(double tokens) const
{
    return toMilliseconds(tokens * millisecondsPerPrefillToken);
}

Common::Milliseconds EnginePool::decodeTime(double tokens) const
{
    return toMilliseconds(tokens * millisecondsPerDecodedToken);
}

static void add(Backlog& backlog, const QueueLoad& load, double factor)
{
    backlog.waiting += factor * static_cast<double>(load.waiting);
    backlog.waitingPrefillTokens += factor * static_cast<double>(load.waitingPrefillTokens);
    backlog.running += factor * static_cast<double>(load.running);
    backlog.remainingOutputTokens += factor * static_cast<double>(load.remainingOutputTokens);
    backlog.held += factor * static_cast<double>(load.held);
}

Backlog backlogOf(const LoadsByQueue& loads, uint32_t service, size_t rank, double knownShare)
{
    Backlog backlog;
    if (!(knownShare > 0))
        return backlog;
    for (auto each = loads.lower_bound({ service, 0 }); each != loads.end(); ++each) {
        if (each->first.service != service || each->first.rank > rank)
            break;
        add(backlog, each->second, 1 / std::min(1.0, knownShare));
    }
    return backlog;
}

Backlog wholeBacklogOf(const LoadsByQueue& loads, uint32_t service, double knownShare)
{
    return backlogOf(loads, service, std::numeric_limits<uint32_t>::max(), knownShare);
}

// A generation begins when so many have ended that a slot is free, and when the prompts before it are prefilled. The
// first part assumes that the generations end evenly over the time that all their work takes.
Common::Milliseconds expectedStart(const EnginePool& pool, const Backlog& backlog, double tokensPerGeneration)
{
    if (!pool.isKnown())
        return Common::Milliseconds(0);
    auto prefill = backlog.waitingPrefillTokens * pool.millisecondsPerPrefillToken;
    auto untilPrefilled = prefill / pool.engines;
    auto capacity = pool.capacity(tokensPerGeneration);
    auto total = backlog.total();
    if (total < capacity)
        return backlog.waiting > 0 ? toMilliseconds(untilPrefilled) : Common::Milliseconds(0);
    auto work = prefill + backlog.remainingOutputTokens * pool.millisecondsPerDecodedToken;
    auto untilSlotIsFree = work / capacity * (total - capacity + 1) / total;
    return toMilliseconds(std::max(untilPrefilled, untilSlotIsFree));
}

double OutputEstimates::weightAt(const Sums& sums, Common::TimePoint now)
{
    return std::exp2(-std::max(0.0, Common::toSeconds(now - sums.at)) / hintHalfLifeSeconds);
}

double OutputEstimates::expectedTokens(std::string_view route, const Prompt& prompt, Common::TimePoint now) const
{
    if (!prompt.outputHint)
        return prompt.maxOutputTokens / 2.0;
    double expected = prompt.outputHint;
    if (auto found = m_routes.find(route); found != m_routes.end() && found->second.count > 0) {
        const auto& sums = found->second;
        auto weight = weightAt(sums, now);
        auto prior = priorObservations * sums.hinted / sums.count;
        auto ratio = (sums.actual * weight + prior) / (sums.hinted * weight + prior);
        expected *= std::clamp(ratio, minCorrection, maxCorrection);
    }
    return prompt.maxOutputTokens ? std::min<double>(expected, prompt.maxOutputTokens) : expected;
}

void OutputEstimates::record(std::string_view route, const Prompt& prompt, double outputTokens, Common::TimePoint now)
{
    bool isUsable = outputTokens >= 0 && outputTokens <= maxOutputTokens;
    if (!prompt.outputHint || !isUsable)
        return;
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxNames)
            return;
        found = m_routes.emplace(std::string(route), Sums {}).first;
    }
    auto& sums = found->second;
    auto weight = weightAt(sums, now);
    sums = { sums.hinted * weight + prompt.outputHint, sums.actual * weight + outputTokens, sums.count * weight + 1,
        now };
}

void DecodeTimes::record(std::string_view service, double tokens, Common::Milliseconds elapsed, Common::TimePoint now)
{
    bool isUsable = tokens > 0 && tokens <= maxOutputTokens && elapsed.count() > 0;
    auto found = m_services.find(service);
    if (!isUsable || (found == m_services.end() && m_services.size() >= maxNames))
        return;
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), Sums {}).first;
    auto& sums = found->second;
    auto weight = std::exp2(-std::max(0.0, Common::toSeconds(now - sums.at)) / decodeHalfLifeSeconds);
    sums = { sums.tokens * weight + tokens, sums.milliseconds * weight + static_cast<double>(elapsed.count()), now };
}

std::optional<double> DecodeTimes::millisecondsPerToken(std::string_view service) const
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    return found->second.milliseconds / found->second.tokens;
}

} // namespace Brassladder::RouteServing::Routing
