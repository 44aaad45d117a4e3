// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/UpstreamLedger.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::ClassServing::Scheduling {

using namespace std::chrono_literals;

// An upstream is slow if its time per token exceeds the median of the shard by this factor.
static constexpr double slowFactor = 2.0;
// The limit of a slow upstream is multiplied by this factor, at most once per interval.
static constexpr double limitDecreaseFactor = 0.8;
static constexpr Duration limitDecreaseInterval = 500ms;
// Weight of a new sample in the moving average of the time per token.
// About the last ten responses count.
static constexpr double sampleWeight = 0.2;
// The median changes slowly, so it is recomputed only after this many responses.
static constexpr uint32_t samplesPerMedian = 16;
// Ejection after the first failure; doubles with each consecutive failure. Route serving has a separate rule
// (RouteServing/Routing/UpstreamHealth.h).
static constexpr Duration initialEjection = 500ms;
static constexpr Duration maxEjection = 10s;
// Prevents an overflow of the shift; must be large enough to reach maxEjection.
static constexpr uint32_t maxEjectionDoublings = 5;
// The upstream with the cached prefix is preferred if its cost is at most this multiple of the lowest cost.
static constexpr double cachedPrefixTolerance = 1.25;
// Cost factor of the upstream of the last failed attempt, high enough that another one is used if any has room.
static constexpr double avoidedCostFactor = 1000;

void UpstreamLedger::setUpstreams(std::span<const UpstreamInfo> infos)
{
    std::unordered_map<std::string, LedgerEntry> next;
    for (const auto& info : infos) {
        auto old = m_upstreams.find(info.id);
        LedgerEntry upstream;
        if (old != m_upstreams.end())
            upstream = std::move(old->second);
        else
            upstream.limit = info.slots;
        upstream.info = info;
        upstream.limit = std::min<double>(upstream.limit, info.slots);
        next.emplace(info.id, std::move(upstream));
    }
    // An upstream that is no longer listed is kept while it has running requests.
    for (auto& [id, upstream] : m_upstreams) {
        if (upstream.running && !next.contains(id)) {
            upstream.info.leaving = true;
            next.emplace(id, std::move(upstream));
        }
    }
    m_upstreams = std::move(next);
    refreshMedian();
}

void UpstreamLedger::markLeaving(std::string_view id)
{
    if (auto found = m_upstreams.find(std::string(id)); found != m_upstreams.end())
        found->second.info.leaving = true;
}

void UpstreamLedger::report(std::string_view id, const LoadReport& load)
{
    auto found = m_upstreams.find(std::string(id));
    if (found == m_upstreams.end())
        return;
    LedgerEntry& upstream = found->second;
    upstream.info.leaving = upstream.info.leaving || load.leaving;
    // A report lags behind the grants, so only the surplus over them counts as external load. The external load
    // grows by at most one per report and leaves at least one slot, because a wrong report must not exclude an
    // upstream.
    uint32_t reported = load.running + load.waiting;
    uint32_t surplus = reported > upstream.running ? reported - upstream.running : 0;
    uint32_t smoothed = std::min(surplus, upstream.externalLoad + 1);
    upstream.externalLoad = std::min(smoothed, upstream.info.slots > 1 ? upstream.info.slots - 1 : 0);
}

void UpstreamLedger::start(std::string_view id)
{
    if (auto found = m_upstreams.find(std::string(id)); found != m_upstreams.end())
        ++found->second.running;
}

void UpstreamLedger::finish(std::string_view id, const Release& release, TimePoint now)
{
    auto found = m_upstreams.find(std::string(id));
    if (found == m_upstreams.end())
        return;
    LedgerEntry& upstream = found->second;
    if (upstream.running)
        --upstream.running;
    switch (release.outcome) {
    case SlotOutcome::Completed:
    case SlotOutcome::Preempted:
        upstream.failures = 0;
        break;
    case SlotOutcome::Cancelled:
        break;
    case SlotOutcome::RefusedByUpstream:
    case SlotOutcome::ConnectFailed:
    case SlotOutcome::Broken: {
        auto ejection = initialEjection * (1u << std::min(upstream.failures, maxEjectionDoublings));
        upstream.ejectedUntil = now + std::min<Duration>(ejection, maxEjection);
        ++upstream.failures;
        return;
    }
    }
    if (release.perToken > Duration::zero()) {
        double seconds = Common::toSeconds(release.perToken);
        upstream.secondsPerToken = upstream.secondsPerToken
            ? upstream.secondsPerToken + sampleWeight * (seconds - upstream.secondsPerToken)
            : seconds;
        if (!m_medianSecondsPerToken || ++m_samplesSinceMedian >= samplesPerMedian)
            refreshMedian();
        adaptLimit(upstream, now);
    }
}

void UpstreamLedger::adaptLimit(LedgerEntry& upstream, TimePoint now)
{
    bool slow = m_medianSecondsPerToken > 0 && upstream.secondsPerToken > slowFactor * m_medianSecondsPerToken;
    if (!slow) {
        upstream.limit = std::min<double>(upstream.info.slots, upstream.limit + 1 / upstream.limit);
        return;
    }
    if (now - upstream.limitChanged < limitDecreaseInterval)
        return;
    upstream.limitChanged = now;
    upstream.limit = std::max(1.0, upstream.limit * limitDecreaseFactor);
}

void UpstreamLedger::refreshMedian()
{
    m_samplesSinceMedian = 0;
    std::vector<double> samples;
    samples.reserve(m_upstreams.size());
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.secondsPerToken > 0)
            samples.push_back(upstream.secondsPerToken);
    }
    if (samples.empty()) {
        m_medianSecondsPerToken = 0;
        return;
    }
    auto middle = samples.begin() + static_cast<ptrdiff_t>((samples.size() - 1) / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    m_medianSecondsPerToken = *middle;
}

bool UpstreamLedger::acceptsNewRequests(const LedgerEntry& upstream, TimePoint now)
{
    return !upstream.info.leaving && now >= upstream.ejectedUntil;
}

bool UpstreamLedger::hasRoom(const LedgerEntry& upstream, TimePoint now)
{
    if (!acceptsNewRequests(upstream, now))
        return false;
    // After a failure, the upstream gets one request at a time until one succeeds.
    double limit = upstream.failures ? 1 : std::floor(upstream.limit);
    return upstream.running + upstream.externalLoad < limit;
}

bool UpstreamLedger::hasRoomToResume(std::string_view id, TimePoint now) const
{
    auto found = m_upstreams.find(std::string(id));
    if (found == m_upstreams.end() || now < found->second.ejectedUntil)
        return false;
    return found->second.running < found->second.info.slots;
}

bool UpstreamLedger::acceptsNewRequests(std::string_view id, TimePoint now) const
{
    auto found = m_upstreams.find(std::string(id));
    return found != m_upstreams.end() && acceptsNewRequests(found->second, now);
}

// Returns the expected time per token, multiplied by 1 plus the relative load.
double UpstreamLedger::costOf(const LedgerEntry& upstream) const
{
    double secondsPerToken = upstream.secondsPerToken > 0 ? upstream.secondsPerToken : m_medianSecondsPerToken;
    return (secondsPerToken > 0 ? secondsPerToken : 1)
        * (1 + (upstream.running + upstream.externalLoad) / upstream.limit);
}

std::string UpstreamLedger::pick(const Ask& ask, TimePoint now) const
{
    const LedgerEntry* best = nullptr;
    const LedgerEntry* cached = nullptr;
    double bestCost = 0;
    double cachedCost = 0;
    const PrefixSlot* slot = ask.prefix && !m_prefixes.empty() ? &m_prefixes[ask.prefix % prefixSlots] : nullptr;
    for (const auto& [id, upstream] : m_upstreams) {
        if (!hasRoom(upstream, now))
            continue;
        double cost = costOf(upstream);
        if (id == ask.avoid)
            cost *= avoidedCostFactor;
        if (slot && slot->prefix == ask.prefix && slot->upstream == id) {
            cached = &upstream;
            cachedCost = cost;
        }
        // Equal costs are ordered by id, so the result does not depend on the order of the hash table.
        if (!best || cost < bestCost || (cost == bestCost && id < best->info.id)) {
            best = &upstream;
            bestCost = cost;
        }
    }
    if (cached && cachedCost <= bestCost * cachedPrefixTolerance)
        return cached->info.id;
    return best ? best->info.id : std::string();
}

void UpstreamLedger::rememberPrefix(uint64_t prefix, std::string_view upstream)
{
    if (!prefix)
        return;
    if (m_prefixes.empty())
        m_prefixes.resize(prefixSlots);
    m_prefixes[prefix % prefixSlots] = { prefix, std::string(upstream) };
}

double UpstreamLedger::capacity(TimePoint now) const
{
    double sum = 0;
    for (const auto& [id, upstream] : m_upstreams) {
        if (acceptsNewRequests(upstream, now))
            sum += std::floor(upstream.limit);
    }
    return sum;
}

uint32_t UpstreamLedger::runningOn(std::string_view id) const
{
    auto found = m_upstreams.find(std::string(id));
    return found == m_upstreams.end() ? 0 : found->second.running;
}

std::vector<std::string> UpstreamLedger::ids() const
{
    std::vector<std::string> ids;
    for (const auto& [id, upstream] : m_upstreams)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace Brassladder::ClassServing::Scheduling
