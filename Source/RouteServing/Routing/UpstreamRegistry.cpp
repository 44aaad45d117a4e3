// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamRegistry.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/PlainPlacement.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Maximum age of an upstream's load report. Reports arrive with each response.
// They are some hundred milliseconds old when they arrive.
static constexpr Common::Milliseconds reportMaxAge = 1000ms;

// Milliseconds in one second.
static constexpr uint64_t millisecondsPerSecond = 1000;

uint64_t UpstreamRegistry::Placement::prefillRate() const
{
    if (objective.count() <= 0)
        return 0;
    return prefillTokens * millisecondsPerSecond / static_cast<uint64_t>(objective.count());
}

bool UpstreamRegistry::isServing(std::string_view id) const { return servingEndpoint(id).has_value(); }

std::optional<Common::Endpoint> UpstreamRegistry::servingEndpoint(std::string_view id) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.record.leaving || m_statements.isLeaving(found->second.record))
        return std::nullopt;
    return found->second.record.endpoint;
}

UpstreamRegistry::Entry* UpstreamRegistry::find(std::string_view id)
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

// Returns null for another incarnation: requests that were sent to an earlier one do not concern the current one.
UpstreamRegistry::Entry* UpstreamRegistry::find(const UpstreamRecord& upstream)
{
    auto* entry = find(upstream.id);
    return entry && entry->record.born == upstream.born ? entry : nullptr;
}

const UpstreamRegistry::Entry* UpstreamRegistry::find(const UpstreamRecord& upstream) const
{
    auto found = m_entries.find(upstream.id);
    return found != m_entries.end() && found->second.record.born == upstream.born ? &found->second : nullptr;
}

bool UpstreamRegistry::isListedAsServing(const UpstreamRecord& upstream) const
{
    const auto* entry = find(upstream);
    return entry && !entry->record.leaving && !entry->record.evacuated
        && entry->record.softwareVersion == upstream.softwareVersion;
}

UpstreamLoad UpstreamRegistry::peerLoadOf(const Entry& entry) const
{
    auto found = m_peerLoads.find(entry.hash);
    return found == m_peerLoads.end() ? UpstreamLoad {} : found->second;
}

// Returns the number of requests that all routers have outstanding at the upstream, or the number that the upstream
// recently reported if that is higher.
double UpstreamRegistry::outstanding(const Entry& entry, Common::TimePoint now) const
{
    double sent = entry.own.requests + peerLoadOf(entry).requests;
    if (now - entry.reportedAt < reportMaxAge)
        sent = std::max<double>(sent, entry.reported.running + entry.reported.waiting);
    return sent;
}

static bool hasRequiredVersion(const UpstreamRecord& record, const std::optional<std::string_view>& required)
{
    return !required || (!required->empty() && record.softwareVersion == *required);
}

bool UpstreamRegistry::isEligible(const Entry& entry, const PlacementRequest& request)
{
    if (entry.record.service != request.service || entry.record.leaving || entry.record.evacuated)
        return false;
    if (request.allowedDomains && !request.allowedDomains->contains(entry.record.failureDomain))
        return false;
    if (!hasRequiredVersion(entry.record, request.softwareVersion))
        return false;
    const auto& attempted = request.attempted;
    return std::find(attempted.begin(), attempted.end(), entry.record.id) == attempted.end();
}

static bool contains(std::span<const uint32_t> keys, uint32_t key)
{
    return std::binary_search(keys.begin(), keys.end(), key);
}

bool UpstreamRegistry::mayReceive(
    const Entry& entry, const PlacementRequest& request, std::span<const uint32_t> limited, Common::TimePoint now) const
{
    if (!isEligible(entry, request) || !m_statements.allowsRequest(entry.record, now))
        return false;
    if (request.excludesLimited && m_fragile.isFragile(entry.record, now))
        return false;
    if (!contains(limited, entry.statementKey))
        return true;
    return !request.excludesLimited && m_quotas.allowsRequest(entry.statementKey, request.rank, now);
}

bool UpstreamRegistry::hasHealthyUpstream(const PlacementRequest& request, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto limited = m_quotas.inForce(now);
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        const auto& entry = each.second;
        return mayReceive(entry, request, limited, now) && !entry.health.isEjected(now)
            && !entry.refusals.isBackedOff(now);
    });
}

// Returns the upstreams that may receive the request. Backoff and ejection are heuristics and are ignored when no other
// upstream is left, because an attempt is better than a refusal. Backed-off upstreams are used before ejected ones,
// because a refused request did not run and can be retried. Statements of an upstream are never ignored.
UpstreamRegistry::Candidates UpstreamRegistry::candidates(
    const PlacementRequest& request, std::span<const uint32_t> limited, Common::TimePoint now) const
{
    Candidates usable;
    Candidates backedOff;
    Candidates ejected;
    for (const auto& [id, entry] : m_entries) {
        if (!mayReceive(entry, request, limited, now))
            continue;
        if (entry.health.isEjected(now))
            ejected.push_back(&entry);
        else
            (entry.refusals.isBackedOff(now) ? backedOff : usable).push_back(&entry);
    }
    if (!usable.empty())
        return usable;
    return backedOff.empty() ? ejected : backedOff;
}

std::optional<Common::TimePoint> UpstreamRegistry::earliestCooldownEnd(
    const PlacementRequest& request, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::optional<Common::TimePoint> earliest;
    for (const auto& [id, entry] : m_entries) {
        if (!isEligible(entry, request) || m_statements.isLeaving(entry.record))
            continue;
        auto cooldownEnd = m_statements.cooldownEnd(entry.record, now);
        if (cooldownEnd && (!earliest || *cooldownEnd < *earliest))
            earliest = cooldownEnd;
    }
    return earliest;
}

std::optional<Common::Milliseconds> UpstreamRegistry::quotaWait(
    const PlacementRequest& request, Common::TimePoint now) const
{
    if (!m_quotas.isActive())
        return std::nullopt;
    std::lock_guard lock(m_mutex);
    std::vector<uint32_t> keys;
    for (const auto& [id, entry] : m_entries) {
        if (isEligible(entry, request) && m_statements.allowsRequest(entry.record, now))
            keys.push_back(entry.statementKey);
    }
    return m_quotas.expectedWait(keys, now);
}

std::optional<SendPermit> UpstreamRegistry::permitSend(
    const UpstreamRecord& upstream, Common::TimePoint now, size_t rank)
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_statements.allowsRequest(upstream, now) || !isListedAsServing(upstream))
            return std::nullopt;
    }
    if (m_quotas.isActive() && !m_quotas.take(statementKey(upstream), rank, now))
        return std::nullopt;
    return SendPermit();
}

bool UpstreamRegistry::allowsRequest(const UpstreamRecord& upstream, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_statements.allowsRequest(upstream, now) && isListedAsServing(upstream)
        && (!m_quotas.isActive() || m_quotas.allowsRequest(statementKey(upstream), 0, now));
}

bool UpstreamRegistry::recordStatement(
    const UpstreamRecord& upstream, const UpstreamStatement& statement, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(upstream); entry && statement.cooldown)
        entry->refusals.recordCooldown();
    return m_statements.record(upstream, statement, now);
}

void UpstreamRegistry::recordResponse(const UpstreamRecord& upstream)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(upstream))
        entry->refusals.recordResponse();
}

size_t UpstreamRegistry::cooldownCount(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_statements.cooldownCount(now);
}

// A request counts as demand at every limited upstream that is eligible, wherever it is sent in the end.
void UpstreamRegistry::recordDemand(
    const PlacementRequest& request, std::span<const uint32_t> limited, bool hasFound, Common::TimePoint now)
{
    if (request.excludesLimited)
        return;
    for (const auto& [id, entry] : m_entries) {
        if (!contains(limited, entry.statementKey) || !isEligible(entry, request))
            continue;
        if (!request.isWaitingForQuota)
            m_quotas.recordDemand(entry.statementKey, now);
        if (!hasFound)
            m_quotas.recordUnplaced(entry.statementKey, request.rank, now);
    }
}

void UpstreamRegistry::keepLeastLoaded(Candidates& entries, Common::TimePoint now) const
{
    double least = std::numeric_limits<double>::max();
    for (const auto* entry : entries)
        least = std::min(least, outstanding(*entry, now));
    std::erase_if(entries, [&](const auto* entry) { return outstanding(*entry, now) > least; });
}

std::optional<UpstreamRegistry::Placement> UpstreamRegistry::choose(
    const PlacementRequest& request, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto limited = m_quotas.inForce(now);
    auto found = candidates(request, limited, now);
    if (!limited.empty())
        recordDemand(request, limited, !found.empty(), now);
    if (request.onlyLeastLoaded)
        keepLeastLoaded(found, now);
    auto placement = request.prompt ? chooseEngine(request, found, limited, now) : choosePlain(found, now);
    if (placement)
        placement->rank = request.rank;
    if (placement)
        placement->objective = request.objective;
    return placement;
}

std::optional<UpstreamRegistry::Placement> UpstreamRegistry::choosePlain(
    const Candidates& entries, Common::TimePoint now) const
{
    std::vector<PlainCandidate> plain;
    for (const auto* entry : entries)
        plain.push_back({ outstanding(*entry, now), entry->record.slots, entry->record.failureDomain == m_failureDomain,
            entry->health.errorRate(now), now - entry->reportedAt < reportMaxAge ? entry->reported.slowdown : 1 });
    auto chosen = choosePlainUpstream(plain, Common::randomUnitFraction);
    if (!chosen)
        return std::nullopt;
    Placement result { entries[*chosen]->record };
    result.placed = now;
    return result;
}

EngineState UpstreamRegistry::engineState(const Entry& entry, double lowestErrorRate, Common::TimePoint now) const
{
    auto peers = peerLoadOf(entry);
    EngineState engine;
    engine.id = entry.record.id;
    engine.running = outstanding(entry, now);
    engine.decodeHeavy = entry.own.decodeHeavy + peers.decodeHeavy;
    engine.prefillTokens = static_cast<double>(entry.own.prefillTokens + peers.prefillTokens);
    engine.firstEvent = firstEventEstimate(entry, now);
    engine.isOutlier = entry.health.errorRate(now) - lowestErrorRate > outlierErrorRateExcess;
    engine.slowdown = m_paces.slowdownOf(entry.hash, now);
    return engine;
}

FirstEventEstimate UpstreamRegistry::firstEventEstimate(const Entry& entry, Common::TimePoint now) const
{
    auto service = m_firstEvents.find(entry.record.service);
    return service == m_firstEvents.end() ? FirstEventEstimate {} : entry.firstEvents.estimate(service->second, now);
}

ServicePace UpstreamRegistry::paceOf(std::string_view service, Common::TimePoint now) const
{
    if (auto pace = m_paces.servicePace(service, now))
        return *pace;
    auto found = m_firstEvents.find(service);
    return { found == m_firstEvents.end() ? 0 : found->second.estimate(found->second, now).millisecondsPerToken, 0 };
}

// The prefix is not fetched from an engine with a limit or a fragile one, because the fetch would add to its load, nor
// from one whose software may write another KV cache.
bool UpstreamRegistry::mayFetchPrefix(
    const UpstreamRecord& engine, const Entry& source, std::span<const uint32_t> limited, Common::TimePoint now) const
{
    return !contains(limited, source.statementKey) && !m_fragile.isFragile(source.record, now)
        && hasRequiredVersion(source.record, engine.softwareVersion);
}

std::optional<UpstreamRegistry::Placement> UpstreamRegistry::chooseEngine(const PlacementRequest& request,
    const Candidates& entries, std::span<const uint32_t> limited, Common::TimePoint now)
{
    double lowestErrorRate = 1;
    for (const auto* entry : entries)
        lowestErrorRate = std::min(lowestErrorRate, entry->health.errorRate(now));
    std::vector<EngineState> engines;
    for (const auto* entry : entries)
        engines.push_back(engineState(*entry, lowestErrorRate, now));
    auto& placement = m_placements[std::string(request.service)];
    auto capabilities = request.engine;
    capabilities.pace = paceOf(request.service, now);
    auto chosen = placement.place(
        *request.prompt, engines, capabilities, request.due, now, m_knownShare, request.isDecodeHeavy);
    if (!chosen)
        return std::nullopt;
    Placement result;
    result.upstream = entries[chosen->index]->record;
    result.upstreamHash = entries[chosen->index]->hash;
    result.prefillTokens = chosen->prefillTokens;
    result.isDecodeHeavy = chosen->isDecodeHeavy;
    result.queuedPrefillTokens = chosen->queuedPrefillTokens;
    if (chosen->prefixSource && mayFetchPrefix(result.upstream, *entries[*chosen->prefixSource], limited, now))
        result.prefixSource = entries[*chosen->prefixSource]->record.endpoint;
    result.placed = now;
    result.expectedFirstEvent = chosen->expectedFirstEvent;
    result.punctuality = chosen->punctuality;
    return result;
}

void UpstreamRegistry::recordStart(const Placement& placement)
{
    std::lock_guard lock(m_mutex);
    auto* entry = find(placement.upstream);
    if (!entry)
        return;
    entry->refusals.recordStart(placement.placed);
    ++entry->own.requests;
    entry->own.decodeHeavy += placement.isDecodeHeavy;
    entry->own.prefillTokens += placement.blockingPrefillTokens();
    entry->own.prefillRate += placement.prefillRate();
}

void UpstreamRegistry::recordWaiting(const Placement& placement, bool isWaiting)
{
    std::lock_guard lock(m_mutex);
    auto* entry = find(placement.upstream);
    if (!entry)
        return;
    if (isWaiting)
        ++entry->own.waiting;
    else
        entry->own.waiting -= std::min(1U, entry->own.waiting);
}

const UpstreamRegistry::Entry* UpstreamRegistry::findByStatementKey(uint32_t key) const
{
    auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const auto& each) { return each.second.statementKey == key; });
    return found == m_entries.end() ? nullptr : &found->second;
}

std::string UpstreamRegistry::serviceOf(uint32_t statementKey) const
{
    std::lock_guard lock(m_mutex);
    const auto* entry = findByStatementKey(statementKey);
    return entry ? entry->record.service : std::string();
}

unsigned UpstreamRegistry::sentRequests(uint32_t statementKey) const
{
    std::lock_guard lock(m_mutex);
    const auto* entry = findByStatementKey(statementKey);
    return entry ? entry->own.sent() + peerLoadOf(*entry).sent() : 0;
}

void UpstreamRegistry::recordPrefillDone(const Placement& placement, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto* entry = find(placement.upstream);
    if (!entry)
        return;
    // A late generation waits for requests that arrived after it, and a generation that resumes from a replica prefills
    // nothing. Neither measures the engine's prefill speed.
    if (placement.punctuality == Punctuality::OnTime && placement.prefillTokens) {
        auto awaited = static_cast<double>(placement.queuedPrefillTokens + placement.prefillTokens);
        auto elapsed = Common::toMilliseconds(now - placement.placed);
        entry->firstEvents.record(awaited, elapsed, now);
        m_firstEvents[entry->record.service].record(awaited, elapsed, now);
        if (!placement.queuedPrefillTokens)
            m_paces.recordPrefill(entry->hash, awaited, now - placement.placed, now);
    }
    entry->own.prefillTokens -= std::min(entry->own.prefillTokens, placement.blockingPrefillTokens());
    entry->own.prefillRate -= std::min(entry->own.prefillRate, placement.prefillRate());
}

void UpstreamRegistry::recordEnd(
    const Placement& placement, bool hadPrefillDone, AttemptOutcome outcome, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (hadPrefillDone && outcome == AttemptOutcome::Interrupted)
        m_midStreamFailures.record(now);
    // The list may have been replaced since the start of the attempt and the entry created anew, so the counts may not
    // go below zero.
    auto* entry = find(placement.upstream);
    if (!entry)
        return;
    entry->own.requests -= std::min(1U, entry->own.requests);
    entry->own.decodeHeavy -= std::min<unsigned>(placement.isDecodeHeavy, entry->own.decodeHeavy);
    if (!hadPrefillDone) {
        entry->own.prefillTokens -= std::min(entry->own.prefillTokens, placement.blockingPrefillTokens());
        entry->own.prefillRate -= std::min(entry->own.prefillRate, placement.prefillRate());
    }
    entry->health.record(outcome, now);
    if (outcome == AttemptOutcome::NotExecuted && m_statements.allowsRequest(placement.upstream, now))
        entry->refusals.recordRefusal(now);
}

void UpstreamRegistry::recordReport(std::string_view id, const ReportedLoad& load, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(id)) {
        entry->reported = load;
        entry->reportedAt = now;
    }
}

bool UpstreamRegistry::midStreamFailuresAreLikely(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_midStreamFailures.hasRecent(now);
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

void UpstreamRegistry::setPeerLoads(LoadsByUpstream loads, double knownShare)
{
    std::lock_guard lock(m_mutex);
    m_peerLoads = std::move(loads);
    m_knownShare = knownShare;
}

LoadsByUpstream UpstreamRegistry::peerLoads() const
{
    std::lock_guard lock(m_mutex);
    return m_peerLoads;
}

UpstreamLoad UpstreamRegistry::outstandingOf(std::string_view service) const
{
    std::lock_guard lock(m_mutex);
    UpstreamLoad sum;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service)
            continue;
        auto peers = peerLoadOf(entry);
        sum.requests += entry.own.requests + peers.requests;
        sum.decodeHeavy += entry.own.decodeHeavy + peers.decodeHeavy;
        sum.prefillTokens += entry.own.prefillTokens + peers.prefillTokens;
        sum.prefillRate += entry.own.prefillRate + peers.prefillRate;
        sum.unratedPrefillTokens += peers.unratedPrefillTokens;
    }
    return sum;
}

FirstEventEstimate UpstreamRegistry::firstEventEstimate(std::string_view service, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_firstEvents.find(service);
    return found == m_firstEvents.end() ? FirstEventEstimate {} : found->second.estimate(found->second, now);
}

} // namespace Brassladder::RouteServing::Routing
