// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/QuotaAssigner.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Minimum rate of requests to a limited upstream, because only a response can state that the limit has ended.
static constexpr double probesPerSecond = 0.2;
// Capacity of the bucket: the tokens of this time span (two steps of the quota exchange) plus one.
static constexpr double bucketSpanSeconds = 0.2;
// Upper bound of the time that one refill covers, so that a pause of the process does not cause a burst.
static constexpr Common::Milliseconds maxRefillInterval = 500ms;
static constexpr Common::Milliseconds poolValidity = 400ms;
static constexpr Common::Milliseconds demandValidity = 500ms;
// A requester that sent no message for this long is considered terminated and is removed. Removal restarts its counts.
static constexpr Common::Milliseconds requesterTimeout = 10min;

void QuotaBucket::refill(double requestsPerSecond, double share, Common::TimePoint now)
{
    double rate = std::max(probesPerSecond, requestsPerSecond * share);
    if (m_last)
        m_tokens += rate * Common::toSeconds(std::min<Common::Duration>(now - *m_last, maxRefillInterval));
    m_last = now;
    m_tokens = std::min(m_tokens, 1 + rate * bucketSpanSeconds);
}

void QuotaPool::add(unsigned requests, Common::TimePoint now)
{
    m_expires.insert(m_expires.end(), requests, now + poolValidity);
}

unsigned QuotaPool::size(Common::TimePoint now)
{
    while (!m_expires.empty() && m_expires.front() <= now)
        m_expires.pop_front();
    return static_cast<unsigned>(m_expires.size());
}

void QuotaPool::take(unsigned requests)
{
    m_expires.erase(m_expires.begin(), m_expires.begin() + std::min<ptrdiff_t>(requests, std::ssize(m_expires)));
}

void QuotaAssigner::record(const std::string& requester, const Demand& demand, Common::TimePoint now)
{
    auto& known = m_requesters[requester];
    if (known.demand.incarnation != demand.incarnation)
        known = {};
    // The received count may include grants of an earlier process of this hub. The granted count continues from it.
    known.granted = std::max(known.granted, demand.received);
    known.demand = demand;
    known.lastDemandAt = now;
}

unsigned QuotaAssigner::unmetDemand(const Requester& requester, Common::TimePoint now)
{
    if (requester.lastDemandAt + demandValidity < now)
        return 0;
    auto inFlight = requester.granted - requester.demand.received;
    auto wanted = requester.demand.wanted;
    return wanted - static_cast<unsigned>(std::min<uint64_t>(wanted, inFlight));
}

unsigned QuotaAssigner::wanted(Common::TimePoint now) const
{
    unsigned sum = 0;
    for (const auto& [id, requester] : m_requesters)
        sum += unmetDemand(requester, now);
    return sum;
}

unsigned QuotaAssigner::assign(unsigned requests, Common::TimePoint now)
{
    for (unsigned assigned = 0; assigned < requests; ++assigned) {
        auto next = std::max_element(m_requesters.begin(), m_requesters.end(), [&](const auto& a, const auto& b) {
            return std::pair(unmetDemand(a.second, now), b.second.lastGrantNumber)
                < std::pair(unmetDemand(b.second, now), a.second.lastGrantNumber);
        });
        if (next == m_requesters.end() || !unmetDemand(next->second, now))
            return assigned;
        ++next->second.granted;
        next->second.lastGrantNumber = ++m_lastGrantNumber;
    }
    return requests;
}

uint64_t QuotaAssigner::granted(std::string_view requester, uint64_t incarnation) const
{
    auto found = m_requesters.find(requester);
    bool isSame = found != m_requesters.end() && found->second.demand.incarnation == incarnation;
    return isSame ? found->second.granted : 0;
}

void QuotaAssigner::evictExpired(Common::TimePoint now)
{
    std::erase_if(m_requesters, [&](const auto& each) { return each.second.lastDemandAt + requesterTimeout < now; });
}

bool QuotaOwnership::update(
    std::string_view owner, std::string_view self, const StableSince& since, Common::TimePoint now)
{
    if (m_owner != owner) {
        // On the first call the previous owner is unknown, but it has granted nothing since the set of hubs last
        // changed.
        m_since = m_owner.empty() ? since.hubs : now;
        m_owner = owner;
    }
    m_since = std::max(m_since, since.running);
    return m_owner == self && now - m_since >= quotaLifetime;
}

} // namespace Brassladder::RouteServing::Routing
