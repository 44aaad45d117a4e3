// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/SlotCoordinator.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Milliseconds;
using Common::TimePoint;

// How long the requests of a router that has lost its connection may still be under way at the upstream.
static constexpr Milliseconds lostRouterTime = 300ms;
// With a smaller share of the fleet, only as large a share of the slots is used. A few routers that are missing have
// mostly ended, which cannot be told from routers that are cut off and send requests of their own.
static constexpr double nearlyWholeFleet = 0.75;
// A slot that was closed after a rejection opens again after this time without a further one.
static constexpr Milliseconds reopenInterval = 2000ms;
// After this many grants, the oldest request goes before more urgent ones, so that no rank starves.
static constexpr unsigned maxGrantsPastOldest = 5;
// Bounds the memory of the queue.
static constexpr size_t maxWaiting = 1024;
// Weight of a new observation in the average time of a reservation.
static constexpr double holdWeight = 0.1;
// The same for the reported load, a report of which arrives about ten times per second.
static constexpr double loadWeight = 0.3;
// Bounds of the retry time that denied requests get.
static constexpr Milliseconds minRetryAfter = 50ms;
static constexpr Milliseconds maxRetryAfter = 4000ms;
// Without requests for this long, nothing is left to coordinate.
static constexpr Milliseconds idleTime = 10'000ms;

void SlotCoordinator::expire(TimePoint now)
{
    std::erase_if(m_reservations, [&](const auto& each) { return each.second.until <= now; });
    std::erase_if(m_waiting, [&](const auto& request) { return request.waitUntil <= now; });
    if (m_closedSlots && now - m_closedAt >= reopenInterval) {
        --m_closedSlots;
        m_closedAt = now;
    }
}

size_t SlotCoordinator::othersLoad() const
{
    return static_cast<size_t>(std::lround(std::max(0.0, m_reportedLoad.value_or(0) - m_reservedLoad)));
}

size_t SlotCoordinator::room() const
{
    auto taken = m_closedSlots + othersLoad();
    auto free = m_slots - std::min<size_t>(m_slots, taken);
    if (m_reachableShare >= nearlyWholeFleet)
        return free;
    return std::min(free, std::max<size_t>(1, static_cast<size_t>(m_slots * m_reachableShare)));
}

bool SlotCoordinator::hasRoom(TimePoint now) const { return now >= m_settledAt && m_reservations.size() < room(); }

void SlotCoordinator::settleUntil(TimePoint time) { m_settledAt = std::max(m_settledAt, time); }

void SlotCoordinator::grant(const Request& request, TimePoint now)
{
    m_reservations[request.id] = { now, request.runUntil };
    m_granted.add(now);
}

Milliseconds SlotCoordinator::expectedWait(size_t rank, TimePoint now) const
{
    auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto& each) { return each.rank <= rank; });
    auto slots = static_cast<double>(std::max<size_t>(1, room()));
    auto seconds = m_holdSeconds.value_or(0) * static_cast<double>(ahead + 1) / slots;
    auto settling = std::max(0ms, Common::toMilliseconds(m_settledAt - now));
    return settling + Milliseconds(std::llround(seconds * 1000));
}

// The time in which as many slots become free as were missing recently.
Milliseconds SlotCoordinator::retryAfter(Milliseconds expectedWait, TimePoint now) const
{
    auto granted = std::max(1U, m_granted.value(now));
    auto backlog = Milliseconds(1000 * m_denied.value(now) / granted);
    return std::clamp(std::max(expectedWait, backlog), minRetryAfter, maxRetryAfter);
}

SlotCoordinator::Decision SlotCoordinator::request(const Request& request, TimePoint now)
{
    m_lastRequest = now;
    m_slots = std::max(1U, request.slots);
    expire(now);
    // A request that was sent again, because the reply was lost.
    if (m_reservations.contains(request.id))
        return { Verdict::Granted };
    if (m_waiting.empty() && hasRoom(now)) {
        grant(request, now);
        return { Verdict::Granted };
    }
    auto wait = expectedWait(request.rank, now);
    if (m_waiting.size() >= maxWaiting || now + wait >= request.waitUntil) {
        m_denied.add(now);
        return { Verdict::Denied, retryAfter(wait, now) };
    }
    m_waiting.push_back(request);
    return { Verdict::Queued, wait };
}

void SlotCoordinator::release(const SlotRequestId& id, const SlotRelease& release, TimePoint now)
{
    expire(now);
    if (auto waiting = std::erase_if(m_waiting, [&](const auto& request) { return request.id == id; }); waiting) {
        m_denied.add(now);
        return;
    }
    auto found = m_reservations.find(id);
    if (found == m_reservations.end())
        return;
    if (release.wasRejected) {
        m_closedSlots = std::min(m_closedSlots + 1, m_slots - 1);
        m_closedAt = now;
    }
    if (release.busyFor.count() > 0) {
        found->second.until = std::min(found->second.until, now + release.busyFor);
        return;
    }
    if (!release.wasRejected) {
        auto held = Common::toSeconds(now - found->second.since);
        m_holdSeconds = m_holdSeconds ? *m_holdSeconds + holdWeight * (held - *m_holdSeconds) : held;
    }
    m_reservations.erase(found);
}

void SlotCoordinator::forgetRouter(std::string_view router, TimePoint now)
{
    std::erase_if(m_waiting, [&](const auto& request) { return request.id.router == router; });
    for (auto& [id, reservation] : m_reservations) {
        if (id.router == router)
            reservation.until = std::min(reservation.until, now + lostRouterTime);
    }
}

std::vector<SlotCoordinator::Request>::iterator SlotCoordinator::nextWaiting()
{
    // min_element returns the first one of equal rank.
    auto mostUrgent = std::min_element(
        m_waiting.begin(), m_waiting.end(), [](const auto& a, const auto& b) { return a.rank < b.rank; });
    if (mostUrgent == m_waiting.begin() || m_grantsPastOldest >= maxGrantsPastOldest) {
        m_grantsPastOldest = 0;
        return m_waiting.begin();
    }
    ++m_grantsPastOldest;
    return mostUrgent;
}

std::vector<SlotRequestId> SlotCoordinator::grantWaiting(TimePoint now)
{
    expire(now);
    std::vector<SlotRequestId> granted;
    while (!m_waiting.empty() && hasRoom(now)) {
        auto next = nextWaiting();
        grant(*next, now);
        granted.push_back(next->id);
        m_waiting.erase(next);
    }
    return granted;
}

void SlotCoordinator::setReportedLoad(unsigned requests)
{
    auto reported = static_cast<double>(requests);
    auto reserved = static_cast<double>(m_reservations.size());
    m_reportedLoad = m_reportedLoad ? *m_reportedLoad + loadWeight * (reported - *m_reportedLoad) : reported;
    m_reservedLoad += loadWeight * (reserved - m_reservedLoad);
}

bool SlotCoordinator::isIdle(TimePoint now) const
{
    return m_reservations.empty() && m_waiting.empty() && now - m_lastRequest >= idleTime;
}

} // namespace Brassladder::RouteServing::Routing
