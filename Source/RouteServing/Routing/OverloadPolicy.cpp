// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/OverloadPolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Brassladder::RouteServing::Routing {

using Common::Milliseconds;

// Nothing is refused while fewer of the fleet's routers are known.
static constexpr double minKnownShare = 0.25;
// Views are older than the loads that they describe. So much work may have ended meanwhile.
static constexpr Milliseconds maxViewAge { 500 };
// Part of a route's objective within which a refusal is sent.
static constexpr int refusalPartOfObjective = 4;
// Generations that wait at an engine for each slot, from which on it is expected to reject. Engines do not state it.
static constexpr double queuedPerSlot = 1;
// A caller with less of the route's timeout left has probably returned after a refusal.
static constexpr double returnedTimeoutShare = 0.9;
// Of all that begins, what a refused rank keeps.
static constexpr double guaranteedShare = 0.05;
// Half-life of the counts of begun generations: a burst lasts for some seconds.
static constexpr double shareHalfLifeSeconds = 5;

std::string_view name(OverloadOutcome outcome)
{
    switch (outcome) {
    case OverloadOutcome::Begin:
        return "begin";
    case OverloadOutcome::Hold:
        return "hold";
    case OverloadOutcome::Refuse:
        return "refuse";
    }
    return "";
}

std::string_view name(OverloadReason reason)
{
    switch (reason) {
    case OverloadReason::LoadUnknown:
        return "load_unknown";
    case OverloadReason::Room:
        return "room";
    case OverloadReason::InTime:
        return "in_time";
    case OverloadReason::Late:
        return "late";
    case OverloadReason::GuaranteedShare:
        return "guaranteed_share";
    case OverloadReason::EnginesFull:
        return "engines_full";
    case OverloadReason::Behind:
        return "behind";
    case OverloadReason::CannotEnd:
        return "cannot_end";
    case OverloadReason::Backlog:
        return "backlog";
    case OverloadReason::OverShare:
        return "over_share";
    }
    return "";
}

bool isEnoughKnown(double share) { return share >= minKnownShare; }

OverloadView overloadView(const EnginePool& pool, const LoadsByQueue& loads, uint32_t service, size_t rank,
    double knownShare, double tokensPerGeneration, std::optional<size_t> rejectedRank)
{
    OverloadView view;
    view.isKnown = pool.isKnown() && isEnoughKnown(knownShare);
    if (!view.isKnown)
        return view;
    auto capacity = pool.capacity(tokensPerGeneration);
    view.backlog = backlogOf(loads, service, rank, knownShare);
    view.hasRoom = view.backlog.total() < capacity;
    view.expectedStart = expectedStart(pool, view.backlog, tokensPerGeneration);
    view.hasRecentRejection = rejectedRank && *rejectedRank <= rank;
    view.hasMoreUrgentRejection = rejectedRank && *rejectedRank < rank;
    view.othersWait = expectedStart(pool, wholeBacklogOf(loads, service, knownShare), tokensPerGeneration) > maxViewAge;
    bool isQueueFull = view.backlog.total() >= capacity * (1 + queuedPerSlot);
    view.areEnginesFull = !view.hasRoom && view.expectedStart > maxViewAge && (isQueueFull || view.hasRecentRejection);
    return view;
}

Common::TimePoint refusableUntil(const OverloadRequest& request)
{
    return request.arrived + request.objective / refusalPartOfObjective;
}

static bool hasProbablyReturned(const OverloadRequest& request)
{
    auto timeout = Common::toSeconds(request.deadline - request.arrived);
    return timeout < returnedTimeoutShare * Common::toSeconds(request.usualTimeout);
}

// Holds the request until its last look before it can no longer be refused. Then it is refused if an engine has indeed
// rejected something, since the length of the engines' queues is only assumed.
static OverloadDecision decideAtFullEngines(const OverloadRequest& request, const OverloadView& view,
    const RouterQueueState& router, bool isRefusable, Common::TimePoint now)
{
    bool isLastLook = now + holdInterval > refusableUntil(request);
    if (router.mayHold && !isLastLook)
        return { OverloadOutcome::Hold, OverloadReason::EnginesFull };
    if (!view.hasRecentRejection || !isRefusable)
        return { OverloadOutcome::Begin, OverloadReason::Late };
    if (router.isRankStarved)
        return { OverloadOutcome::Begin, OverloadReason::GuaranteedShare };
    return { OverloadOutcome::Refuse, OverloadReason::EnginesFull };
}

OverloadDecision decide(
    const OverloadRequest& request, const OverloadView& view, const RouterQueueState& router, Common::TimePoint now)
{
    if (!view.isKnown)
        return { OverloadOutcome::Begin, OverloadReason::LoadUnknown };
    bool isInWindow = now <= refusableUntil(request);
    auto left = request.deadline - now;
    if (request.shortestRun > left && view.othersWait && isInWindow)
        return { OverloadOutcome::Refuse, OverloadReason::CannotEnd };
    if (view.hasRoom)
        return { OverloadOutcome::Begin, OverloadReason::Room };
    // What may have ended since the loads were reported.
    auto earliestStart = std::max(Milliseconds(0), view.expectedStart - maxViewAge);
    if (earliestStart.count() == 0)
        return { OverloadOutcome::Begin, OverloadReason::InTime };
    // A returned caller is not refused again, unless its generation takes the place of a more urgent one.
    bool isRefusable = isInWindow && (!hasProbablyReturned(request) || view.hasMoreUrgentRejection);
    if (isRefusable && request.isOverShare && request.isOverShare())
        return { OverloadOutcome::Refuse, OverloadReason::OverShare };
    bool hasTime = earliestStart + request.shortestRun <= left;
    if (!hasTime && isRefusable) {
        if (router.isRankStarved)
            return { OverloadOutcome::Begin, OverloadReason::GuaranteedShare };
        return { OverloadOutcome::Refuse, OverloadReason::Backlog };
    }
    if (view.areEnginesFull)
        return decideAtFullEngines(request, view, router, isRefusable, now);
    if (router.isBehind && router.mayHold && now + holdInterval <= refusableUntil(request))
        return { OverloadOutcome::Hold, OverloadReason::Behind };
    return { OverloadOutcome::Begin, hasTime ? OverloadReason::InTime : OverloadReason::Late };
}

// BeginShares

double BeginShares::valueAt(const Count& count, Common::TimePoint now)
{
    return count.value * std::exp2(-std::max(0.0, Common::toSeconds(now - count.at)) / shareHalfLifeSeconds);
}

void BeginShares::recordBegin(QueueKey key, Common::TimePoint now)
{
    auto& count = m_counts[key];
    count = { valueAt(count, now) + 1, now };
}

bool BeginShares::isStarved(QueueKey key, Common::TimePoint now) const
{
    double all = 0;
    double own = 0;
    for (auto each = m_counts.lower_bound({ key.service, 0 });
         each != m_counts.end() && each->first.service == key.service; ++each) {
        auto value = valueAt(each->second, now);
        all += value;
        own += each->first == key ? value : 0;
    }
    return own < guaranteedShare * all;
}

// HeldRequests

bool HeldRequests::goesBefore(const Request& a, const Request& b)
{
    return std::tuple(a.key.rank, !a.canBeInTime, a.arrived, a.number)
        < std::tuple(b.key.rank, !b.canBeInTime, b.arrived, b.number);
}

bool HeldRequests::contains(uint64_t number) const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [&](const auto& each) { return each.number == number; });
}

bool HeldRequests::hasPlaceFor(const Request& request) const
{
    if (m_requests.size() < m_maxCount || contains(request.number))
        return true;
    return !m_requests.empty() && goesBefore(request, m_requests.back());
}

void HeldRequests::add(const Request& request)
{
    if (contains(request.number))
        return;
    m_requests.insert(std::upper_bound(m_requests.begin(), m_requests.end(), request, goesBefore), request);
    if (m_requests.size() > m_maxCount)
        m_requests.pop_back();
}

void HeldRequests::remove(uint64_t number)
{
    std::erase_if(m_requests, [&](const auto& each) { return each.number == number; });
}

bool HeldRequests::isBehind(const Request& request) const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [&](const auto& each) {
        return each.key.service == request.key.service && each.number != request.number && goesBefore(each, request);
    });
}

Common::TimePoint HeldRequests::oldestArrival(Common::TimePoint now) const
{
    for (const auto& each : m_requests)
        now = std::min(now, each.arrived);
    return now;
}

} // namespace Brassladder::RouteServing::Routing
