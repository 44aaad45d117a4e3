// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/EnginePaces.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Half-life of the accumulated observations.
static constexpr double halfLifeSeconds = 10;
// Time that the recent sums describe, which is the mean age of their weights.
static const double s_recentSeconds = recentHalfLifeSeconds / std::log(2.0);
// Work at the service's average that is added to each estimate, which pulls estimates of few observations towards 1.
static constexpr double priorMilliseconds = 15;
// Engines with less observed work than this count as having no observations.
static constexpr double minMilliseconds = 50;
// Own rows with less than this are not reported.
static constexpr double minReportedMilliseconds = 10;
// Recent observations replace the accumulated ones if they differ from them by this factor and cover at least this much
// work. Pauses of an undisturbed engine vary less.
static constexpr double changeFactor = 1.5;
static constexpr double minChangeMilliseconds = 400;
// A change that this router alone observes is reported immediately, beyond these limits. The sums of the other routers
// still contain observations from before the change.
static constexpr double ownChangeFactor = 1.5;
static constexpr double minOwnChangeMilliseconds = 100;
// The prefill of a shorter prompt takes less time than the request's way to the engine and the first step.
static constexpr double minPrefillTokens = 500;
// A single observation further from the service's average than this is counted as this far.
static constexpr double maxObservedFactor = 16;
// For this long after a change, the recent observations remain the estimate, since they still contain some from before
// it.
static constexpr Common::Milliseconds changeSettleTime = 3000ms;
// Reports of other routers may describe the previous incarnation of an engine for this long after its restart.
static constexpr Common::Milliseconds restartSettleTime = 2000ms;
// Estimates that are not updated for this long describe nothing.
static constexpr Common::Milliseconds maxPaceAge = 60000ms;
static constexpr double notedFactor = 2;

static double milliseconds(Common::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

static double expectedMilliseconds(const ServicePace& pace, const PaceSums& sums)
{
    return pace.millisecondsPerPrefillToken * sums.prefillTokens + pace.millisecondsPerDecodedToken * sums.decodeTokens;
}

static PaceSums decayedSlowly(const PaceSums& sums, Common::TimePoint now)
{
    auto decayed = sums;
    decayed.scale(std::exp2(-std::max(0.0, Common::toSeconds(now - sums.at)) / halfLifeSeconds));
    decayed.at = now;
    return decayed;
}

void EnginePaces::setEngine(uint32_t upstream, const UpstreamRecord& record)
{
    std::lock_guard lock(m_mutex);
    auto [found, isNew] = m_engines.try_emplace(upstream);
    auto& engine = found->second;
    if (engine.incarnation == record.incarnation() && engine.service == record.service)
        return;
    engine = {};
    engine.incarnation = record.incarnation();
    engine.service = record.service;
    engine.isRestarted = !isNew;
}

void EnginePaces::removeEngine(uint32_t upstream)
{
    std::lock_guard lock(m_mutex);
    m_engines.erase(upstream);
}

const ServicePace* EnginePaces::paceOf(const Engine& engine) const
{
    auto found = m_services.find(engine.service);
    return found == m_services.end() ? nullptr : &found->second;
}

// Returns the factor between the recent observations and the estimate, or nullopt if there are no earlier ones.
std::optional<double> EnginePaces::differenceFrom(const Engine& engine, const ServicePace& pace, const PaceSums& recent)
{
    auto expected = expectedMilliseconds(pace, engine.accumulated);
    auto recentExpected = expectedMilliseconds(pace, recent);
    if (std::min({ expected, recentExpected, engine.accumulated.milliseconds(), recent.milliseconds() }) <= 0)
        return std::nullopt;
    auto ratio = recent.milliseconds() / recentExpected * expected / engine.accumulated.milliseconds();
    return std::max(ratio, 1 / ratio);
}

// Bounds the time of one observation, so that an implausible one does not determine the sums.
static void boundTime(double& time, double expected)
{
    if (expected > 0)
        time = std::clamp(time, expected / maxObservedFactor, expected * maxObservedFactor);
}

void EnginePaces::observe(uint32_t upstream, PaceSums observed, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = m_engines.find(upstream);
    if (found == m_engines.end())
        return;
    auto& engine = found->second;
    const auto* pace = paceOf(engine);
    if (pace) {
        boundTime(observed.prefillMilliseconds, pace->millisecondsPerPrefillToken * observed.prefillTokens);
        boundTime(observed.decodeMilliseconds, pace->millisecondsPerDecodedToken * observed.decodeTokens);
    }
    engine.own.add(observed);
    if (engine.own.milliseconds() < minOwnChangeMilliseconds)
        return;
    if (engine.accumulated.milliseconds() < minMilliseconds)
        m_lastFirstObservation = now;
    else if (pace && differenceFrom(engine, *pace, engine.own).value_or(1) >= ownChangeFactor)
        engine.changedAt = now;
}

void EnginePaces::recordPrefill(uint32_t upstream, double tokens, Common::Duration elapsed, Common::TimePoint now)
{
    if (tokens >= minPrefillTokens)
        observe(upstream, { tokens, milliseconds(elapsed), 0, 0, now }, now);
}

void EnginePaces::recordDecode(uint32_t upstream, double tokens, Common::Duration elapsed, Common::TimePoint now)
{
    observe(upstream, { 0, 0, tokens, milliseconds(elapsed), now }, now);
}

PacesByUpstream EnginePaces::ownSums(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    PacesByUpstream sums;
    for (const auto& [upstream, engine] : m_engines) {
        if (engine.own.milliseconds() < minReportedMilliseconds)
            continue;
        auto recent = engine.own.decayedTo(now);
        if (recent.milliseconds() >= minReportedMilliseconds)
            sums.emplace(upstream, recent);
    }
    return sums;
}

std::optional<Common::TimePoint> EnginePaces::lastFirstObservation() const
{
    std::lock_guard lock(m_mutex);
    return m_lastFirstObservation;
}

std::vector<uint32_t> EnginePaces::changedSince(Common::TimePoint time) const
{
    std::lock_guard lock(m_mutex);
    std::vector<uint32_t> changed;
    for (const auto& [upstream, engine] : m_engines) {
        if (engine.changedAt >= time)
            changed.push_back(upstream);
    }
    return changed;
}

PaceSums EnginePaces::recentSums(
    const Engine& engine, uint32_t upstream, const PacesByUpstream& peers, Common::TimePoint now)
{
    auto recent = engine.own.decayedTo(now);
    auto reported = peers.find(upstream);
    if (reported != peers.end() && now >= engine.ignorePeersUntil)
        recent.add(reported->second.decayedTo(now));
    return recent;
}

// Adds the part of the accumulated sums that the time since the last update contributes.
void EnginePaces::accumulate(Engine& engine, const PaceSums& recent, Common::TimePoint now)
{
    const auto* pace = paceOf(engine);
    double difference = 1;
    if (pace && std::min(recent.milliseconds(), engine.accumulated.milliseconds()) >= minChangeMilliseconds)
        difference = differenceFrom(engine, *pace, recent).value_or(1);
    if (difference >= changeFactor) {
        engine.settlesUntil = now + changeSettleTime;
        engine.changedAt = now;
    }
    bool isSettling = now < engine.settlesUntil && recent.milliseconds() >= minChangeMilliseconds;
    if (isSettling) {
        engine.accumulated = recent;
        engine.changedAt = now;
        return;
    }
    bool wasNew = engine.accumulated.milliseconds() < minMilliseconds;
    double seconds = m_lastUpdate ? Common::toSeconds(now - *m_lastUpdate) : s_recentSeconds;
    auto added = recent;
    added.scale(std::clamp(seconds / s_recentSeconds, 0.0, 1.0));
    auto sums = decayedSlowly(engine.accumulated, now);
    sums.add(added);
    engine.accumulated = sums;
    if (wasNew && sums.milliseconds() >= minMilliseconds)
        m_lastFirstObservation = now;
}

void EnginePaces::update(const PacesByUpstream& peers, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (auto& [upstream, engine] : m_engines) {
        if (std::exchange(engine.isRestarted, false))
            engine.ignorePeersUntil = now + restartSettleTime;
        bool isUnobserved = engine.own.milliseconds() <= 0 && engine.accumulated.milliseconds() <= 0;
        if (isUnobserved && !peers.contains(upstream))
            continue;
        auto recent = recentSums(engine, upstream, peers, now);
        if (recent.milliseconds() > 0 || engine.accumulated.milliseconds() > 0)
            accumulate(engine, recent, now);
    }
    m_lastUpdate = now;
    updateServices();
}

// Engines' observed times for one kind of work.
struct ObservedWork {
    double tokens { 0 };
    double milliseconds { 0 };

    double perToken() const { return milliseconds / tokens; }
};

// Returns the middle value; the range must not be empty.
static double median(std::vector<double> values)
{
    auto middle = values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// Returns the average time per token. Engines count equally, except those with less work than the median engine, so the
// average does not depend on how the work is distributed. Each engine's time is bounded relative to that of the median
// engine, so that an engine with implausible times does not determine the average.
static double averageTime(std::vector<ObservedWork>& engines)
{
    std::erase_if(engines, [](const auto& work) { return work.tokens <= 0 || work.milliseconds <= 0; });
    if (engines.empty())
        return 0;
    std::vector<double> times;
    std::vector<double> tokens;
    for (const auto& work : engines) {
        times.push_back(work.perToken());
        tokens.push_back(work.tokens);
    }
    double medianTime = median(std::move(times));
    double medianTokens = median(std::move(tokens));
    ObservedWork sum;
    for (const auto& work : engines) {
        double weight = std::min(work.tokens, medianTokens);
        sum.tokens += weight;
        sum.milliseconds += weight * std::clamp(work.perToken(), medianTime * minSlowdown, medianTime * maxSlowdown);
    }
    return sum.perToken();
}

void EnginePaces::updateServices()
{
    struct Work {
        std::vector<ObservedWork> prefill;
        std::vector<ObservedWork> decode;
    };
    std::map<std::string_view, Work> byService;
    for (const auto& [upstream, engine] : m_engines) {
        const auto& sums = engine.accumulated;
        if (sums.milliseconds() < minMilliseconds)
            continue;
        auto& work = byService[engine.service];
        work.prefill.push_back({ sums.prefillTokens, sums.prefillMilliseconds });
        work.decode.push_back({ sums.decodeTokens, sums.decodeMilliseconds });
    }
    std::erase_if(m_services, [&](const auto& each) { return !byService.contains(each.first); });
    for (auto& [service, work] : byService)
        m_services[std::string(service)] = { averageTime(work.prefill), averageTime(work.decode) };
}

double EnginePaces::slowdownOf(const Engine& engine, Common::TimePoint now) const
{
    const auto* pace = paceOf(engine);
    if (!pace)
        return 1;
    auto sums = decayedSlowly(engine.accumulated, now);
    if (sums.milliseconds() < minMilliseconds)
        return 1;
    auto expected = expectedMilliseconds(*pace, sums) + priorMilliseconds;
    return std::clamp((sums.milliseconds() + priorMilliseconds) / expected, minSlowdown, maxSlowdown);
}

double EnginePaces::slowdownOf(uint32_t upstream, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_engines.find(upstream);
    return found == m_engines.end() ? 1 : slowdownOf(found->second, now);
}

std::optional<ServicePace> EnginePaces::servicePace(std::string_view service, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_services.find(service);
    bool isStale = !m_lastUpdate || now - *m_lastUpdate > maxPaceAge;
    return found == m_services.end() || isStale ? std::nullopt : std::optional(found->second);
}

std::map<std::string, EnginePaces::Range, std::less<>> EnginePaces::ranges(Common::TimePoint now) const
{
    std::map<std::string, std::vector<double>, std::less<>> slowdowns;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [upstream, engine] : m_engines) {
            if (paceOf(engine) && decayedSlowly(engine.accumulated, now).milliseconds() >= minMilliseconds)
                slowdowns[engine.service].push_back(slowdownOf(engine, now));
        }
    }
    std::map<std::string, Range, std::less<>> ranges;
    for (auto& [service, values] : slowdowns) {
        std::sort(values.begin(), values.end());
        ranges[service] = { values.front(), values[values.size() / 2], values.back(), values.size() };
    }
    return ranges;
}

std::vector<EnginePaces::Change> EnginePaces::takeChanges(size_t limit, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::vector<Change> changes;
    for (auto& [upstream, engine] : m_engines) {
        if (changes.size() >= limit)
            break;
        double slowdown = slowdownOf(engine, now);
        double before = engine.notedSlowdown;
        if (std::max(slowdown / before, before / slowdown) < notedFactor)
            continue;
        engine.notedSlowdown = slowdown;
        changes.push_back({ engine.incarnation.id, engine.service, before, slowdown });
    }
    return changes;
}

} // namespace Brassladder::RouteServing::Routing
