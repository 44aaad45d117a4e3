// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamRegistry.h"

#include "Common/Digest.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// What a worker says of itself is believed for this long.
static constexpr Common::Milliseconds reportedLoadMaxAge = 1000ms;
// Cost of another failure domain for a plain call, in shares of a worker: bytes between domains are paid for, and the
// way there and back takes a part of a short call.
static constexpr double otherDomainCost = 0.34;
// An upstream that fails more of its requests than the best of its service is taken last. Below this difference it may
// be chance.
static constexpr double suspiciousExcess = 0.25;
static constexpr double suspicionCost = 4.0;
// Up to this share a cost is changed by chance.
static constexpr double chanceShare = 0.02;
static constexpr uint64_t chanceSteps = 1024;
// Engines that broke off are thought likely to do it again for so long.
static constexpr Common::Milliseconds midStreamFailureMemory = 60'000ms;

uint32_t shortHash(std::string_view upstreamId) { return static_cast<uint32_t>(Common::stableHash(upstreamId)); }

void UpstreamRegistry::setUpstreams(std::vector<UpstreamRecord> records)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, Entry, std::less<>> next;
    for (auto& record : records) {
        auto id = record.id;
        auto known = m_entries.find(id);
        Entry entry = known == m_entries.end() ? Entry {} : known->second;
        // Leaving is final: a late list does not bring an upstream back.
        record.leaving |= entry.record.leaving;
        entry.record = std::move(record);
        entry.hash = shortHash(id);
        next.emplace(std::move(id), std::move(entry));
    }
    m_entries = std::move(next);
}

void UpstreamRegistry::markLeaving(std::string_view id)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(id))
        entry->record.leaving = true;
}

bool UpstreamRegistry::isServing(std::string_view id) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(id);
    return found != m_entries.end() && !found->second.record.leaving;
}

size_t UpstreamRegistry::size() const
{
    std::lock_guard lock(m_mutex);
    return m_entries.size();
}

UpstreamRegistry::Entry* UpstreamRegistry::find(std::string_view id)
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

// Requests at an upstream: what routers tell of themselves, or what the upstream told if that is more and new.
double UpstreamRegistry::outstanding(const Entry& entry, Common::TimePoint now) const
{
    double told = entry.own.requests + loadOfOthersAt(entry).requests;
    if (now - entry.reportedAt < reportedLoadMaxAge)
        told = std::max<double>(told, entry.recordReport.running + entry.recordReport.waiting);
    return told;
}

double UpstreamRegistry::plainCost(const Entry& entry, Common::TimePoint now) const
{
    double cost = (outstanding(entry, now) + 1) / std::max(1u, entry.record.slots);
    if (entry.record.failureDomain != m_failureDomain)
        cost += otherDomainCost;
    return cost;
}

// The upstreams of the service that may take the request: not those that are left out, unless all are.
std::vector<const UpstreamRegistry::Entry*> UpstreamRegistry::candidates(
    const PlacementRequest& need, Common::TimePoint now) const
{
    std::vector<const Entry*> usable;
    std::vector<const Entry*> ejected;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != need.service || entry.record.leaving)
            continue;
        if (std::find(need.attempted.begin(), need.attempted.end(), id) != need.attempted.end())
            continue;
        (entry.health.isEjected(now) ? ejected : usable).push_back(&entry);
    }
    return usable.empty() ? ejected : usable;
}

static double lowestErrorRate(std::span<const UpstreamHealth* const> healths, Common::TimePoint now)
{
    double lowest = 1;
    for (const auto* health : healths)
        lowest = std::min(lowest, health->errorRate(now));
    return lowest;
}

std::optional<UpstreamRegistry::Placement> UpstreamRegistry::choose(const PlacementRequest& need, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = candidates(need, now);
    return need.prompt ? chooseEngine(need, found, now) : choosePlain(found, now);
}

std::optional<UpstreamRegistry::Placement> UpstreamRegistry::choosePlain(
    std::span<const Entry* const> candidates, Common::TimePoint now) const
{
    std::vector<const UpstreamHealth*> healths;
    for (const auto* entry : candidates)
        healths.push_back(&entry->health);
    double usual = lowestErrorRate(healths, now);
    const Entry* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto* entry : candidates) {
        double cost = plainCost(*entry, now);
        if (entry->health.errorRate(now) - usual > suspiciousExcess)
            cost *= 1 + suspicionCost;
        // Equal costs: by chance, so that routers do not all choose the same one.
        cost *= 1 + chanceShare * static_cast<double>(Common::randomNumber() % chanceSteps) / chanceSteps;
        if (cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    return Placement { best->record, 0, false };
}

std::optional<UpstreamRegistry::Placement> UpstreamRegistry::chooseEngine(
    const PlacementRequest& need, std::span<const Entry* const> candidates, Common::TimePoint now)
{
    std::vector<const UpstreamHealth*> healths;
    for (const auto* entry : candidates)
        healths.push_back(&entry->health);
    double usual = lowestErrorRate(healths, now);
    std::vector<EngineState> engines;
    for (const auto* entry : candidates) {
        auto others = loadOfOthersAt(*entry);
        EngineState engine { entry->record.id, outstanding(*entry, now),
            static_cast<double>(entry->own.writers + others.writers),
            static_cast<double>(entry->own.prefillTokens + others.prefillTokens), false };
        engine.isOutlier = entry->health.errorRate(now) - usual > suspiciousExcess;
        engines.push_back(engine);
    }
    auto& placement = m_placements[std::string(need.service)];
    auto pick = placement.place(*need.prompt, engines, need.batch, now);
    if (!pick)
        return std::nullopt;
    return Placement { candidates[pick->index]->record, pick->prefillTokens,
        EnginePlacement::isDecodeHeavy(*need.prompt), pick->queuedPrefillTokens };
}

void UpstreamRegistry::recordStart(const Placement& choice)
{
    std::lock_guard lock(m_mutex);
    auto* entry = find(choice.upstream.id);
    if (!entry)
        return;
    ++entry->own.requests;
    entry->own.writers += choice.isDecodeHeavy;
    entry->own.prefillTokens += choice.prefillTokens;
}

void UpstreamRegistry::prefillDone(const Placement& choice)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(choice.upstream.id))
        entry->own.prefillTokens -= std::min(entry->own.prefillTokens, choice.prefillTokens);
}

void UpstreamRegistry::recordEnd(const Placement& choice, bool wasRead, TryOutcome outcome, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (wasRead && outcome == TryOutcome::Broken)
        m_lastMidStreamFailure = now;
    auto* entry = find(choice.upstream.id);
    if (!entry)
        return;
    entry->own.requests -= std::min(1U, entry->own.requests);
    entry->own.writers -= std::min<unsigned>(choice.isDecodeHeavy, entry->own.writers);
    if (!wasRead)
        entry->own.prefillTokens -= std::min(entry->own.prefillTokens, choice.prefillTokens);
    entry->health.record(outcome, now);
}

void UpstreamRegistry::recordReport(std::string_view id, const ReportedLoad& load, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(id)) {
        entry->recordReport = load;
        entry->reportedAt = now;
    }
}

bool UpstreamRegistry::enginesFailMidStream(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_lastMidStreamFailure && now - *m_lastMidStreamFailure < midStreamFailureMemory;
}

LoadsByUpstream UpstreamRegistry::ownLoads() const
{
    std::lock_guard lock(m_mutex);
    LoadsByUpstream loads;
    for (const auto& [id, entry] : m_entries) {
        if (entry.own.requests)
            loads.emplace(entry.hash, entry.own);
    }
    return loads;
}

void UpstreamRegistry::setPeerLoads(LoadsByUpstream loads)
{
    std::lock_guard lock(m_mutex);
    m_peerLoads = std::move(loads);
}

LoadsByUpstream UpstreamRegistry::peerLoads() const
{
    std::lock_guard lock(m_mutex);
    return m_peerLoads;
}

UpstreamLoad UpstreamRegistry::loadOfOthersAt(const Entry& entry) const
{
    auto found = m_peerLoads.find(entry.hash);
    return found == m_peerLoads.end() ? UpstreamLoad {} : found->second;
}

std::vector<UpstreamRecord> UpstreamRegistry::upstreams() const
{
    std::lock_guard lock(m_mutex);
    std::vector<UpstreamRecord> records;
    for (const auto& [id, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

uint64_t UpstreamRegistry::digest() const
{
    std::lock_guard lock(m_mutex);
    uint64_t digest = m_entries.size();
    for (const auto& [id, entry] : m_entries)
        digest = Common::stableHash(id + entry.record.endpoint.text(), digest + entry.record.leaving);
    return digest;
}

} // namespace Brassladder::RouteServing::Routing
