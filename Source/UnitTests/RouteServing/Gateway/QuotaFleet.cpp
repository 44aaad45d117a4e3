// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/QuotaFleet.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Common::TimePoint;

static constexpr auto stepInterval = 100ms;
// Poll interval of a router whose demand is zero.
static constexpr auto idlePollInterval = 20ms;
// Response time of the upstream.
static constexpr auto serviceTime = 20ms;
// Routers exclude a frozen router while more than this remains of its freeze.
static constexpr auto minExcludedFreeze = 600ms;
// The operators' rule counts arrivals in any window. It ignores those during a fault of the router or
// within faultGracePeriod after it, and those before the router has had the limit for limitGracePeriod.
static constexpr auto faultGracePeriod = 3000ms;
static constexpr auto limitGracePeriod = 500ms;

static Routing::UpstreamRecord upstream()
{
    Routing::UpstreamRecord record;
    record.id = "u1";
    return record;
}
static const uint32_t s_key = Routing::statementKey(upstream());

QuotaFleet::QuotaFleet(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_routers(m_options.routers)
{
    for (size_t router = 0; router < m_routers.size(); ++router) {
        m_routers[router].id = "r" + std::to_string(router);
        start(router);
    }
}

void QuotaFleet::start(size_t index)
{
    auto& router = m_routers[index];
    router.incarnation = ++m_incarnations;
    router.exchange.reset();
    router.quotas = std::make_unique<Routing::SendQuotas>();
    router.exchange = std::make_unique<QuotaExchange>(*router.quotas, router.id, router.incarnation);
    router.limitReceivedAt.reset();
    if (m_coldPeriod)
        scheduleList(index);
    scheduleAtRouter(index,
        m_now + std::chrono::duration_cast<Common::Duration>(Common::Duration(stepInterval) * uniformRandom()),
        [this, index] { step(index); });
    scheduleAtRouter(index, m_now, [this, index] { generateRequests(index); });
}

void QuotaFleet::startColdPeriod(double requestsPerSecond, Common::Milliseconds length, Common::Milliseconds maxDelay)
{
    m_coldPeriod = ColdPeriod { requestsPerSecond, m_now + length, maxDelay };
    for (size_t router = 0; router < m_routers.size(); ++router)
        scheduleList(router);
}

void QuotaFleet::scheduleList(size_t index)
{
    m_routers[index].hasList = false;
    auto delay = std::chrono::duration_cast<Common::Duration>(m_coldPeriod->maxDelay * uniformRandom());
    scheduleAtRouter(index, m_now + delay, [this, index] {
        auto& router = m_routers[index];
        router.quotas->setColdPeriod(s_key, m_coldPeriod->requestsPerSecond, m_coldPeriod->until);
        router.hasList = true;
    });
}

void QuotaFleet::scheduleAtRouter(size_t index, TimePoint when, Event event)
{
    schedule(when, [this, index, incarnation = m_routers[index].incarnation, event = std::move(event)] {
        const auto& router = m_routers[index];
        if (router.incarnation != incarnation)
            return;
        if (router.frozenUntil > m_now)
            return scheduleAtRouter(index, router.frozenUntil, event);
        event();
    });
}

void QuotaFleet::runFor(Common::Milliseconds time)
{
    auto until = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        m_now = std::max(m_now, m_events.begin()->first);
        auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    m_now = until;
}

void QuotaFleet::freeze(size_t router, Common::Milliseconds time)
{
    m_routers[router].frozenUntil = std::max<TimePoint>(m_routers[router].frozenUntil, m_now + time);
    m_routers[router].lastFault = m_routers[router].frozenUntil;
}

void QuotaFleet::restart(size_t router)
{
    m_routers[router].lastFault = m_now;
    start(router);
}

void QuotaFleet::partition(std::span<const size_t> routers, Common::Milliseconds time)
{
    for (auto router : routers) {
        m_routers[router].partitionedUntil = m_now + time;
        m_routers[router].lastFault = std::max<TimePoint>(m_routers[router].lastFault, m_now + time);
    }
}

bool QuotaFleet::isConnected(size_t a, size_t b) const
{
    return (m_routers[a].partitionedUntil > m_now) == (m_routers[b].partitionedUntil > m_now);
}

bool QuotaFleet::isAlive(size_t router, size_t seenBy) const
{
    const auto& other = m_routers[router];
    bool isFrozen = other.frozenUntil > m_now + minExcludedFreeze;
    return router == seenBy || (!isFrozen && isConnected(router, seenBy));
}

Routing::HubRanking QuotaFleet::rankingOf(size_t index) const
{
    std::vector<Routing::HubRanking::Router> others;
    for (size_t other = 0; other < m_routers.size(); ++other) {
        if (other != index && isAlive(other, index))
            others.push_back({ m_routers[other].id });
    }
    return { others, { m_routers[index].id } };
}

double QuotaFleet::reachableShare(size_t index) const
{
    double reachable = 0;
    for (size_t other = 0; other < m_routers.size(); ++other)
        reachable += isAlive(other, index);
    return reachable / static_cast<double>(m_routers.size());
}

size_t QuotaFleet::indexOf(const std::string& id) const { return std::stoul(id.substr(1)); }

void QuotaFleet::step(size_t index)
{
    auto& router = m_routers[index];
    scheduleAtRouter(index, m_now + stepInterval, [this, index] { step(index); });
    auto ranking = rankingOf(index);
    Inner::Mesh::Sender self { router.id, router.incarnation };
    if (!ranking.isHub()) {
        router.exchange->stepAsSubscriber(m_now);
        auto hub = indexOf(*ranking.source());
        Inner::Wire::KnowledgeAsk snapshotRequest;
        router.exchange->addTo(snapshotRequest, m_routers[hub].id, m_now);
        m_bytes += snapshotRequest.ByteSizeLong();
        if (!isConnected(index, hub))
            return;
        scheduleAtRouter(hub, m_now + latency(), [this, index, hub, self, snapshotRequest, requestedAt = m_now] {
            m_routers[hub].exchange->receive(self, snapshotRequest, m_now);
            Inner::Wire::Knowledge response;
            m_routers[hub].exchange->addTo(response, self, m_now);
            m_bytes += response.ByteSizeLong();
            if (!isConnected(index, hub))
                return;
            Inner::Mesh::Sender from { m_routers[hub].id, m_routers[hub].incarnation };
            scheduleAtRouter(index, m_now + latency(), [this, index, from, response, requestedAt] {
                m_routers[index].exchange->receive(from, response, requestedAt);
            });
        });
        return;
    }
    router.exchange->stepAsHub(ranking.otherHubs(), reachableShare(index), m_now);
    for (const auto& id : ranking.otherHubs()) {
        auto hub = indexOf(id);
        Inner::Wire::HubLoads loads;
        router.exchange->addTo(loads, id, m_now);
        m_bytes += loads.ByteSizeLong();
        if (isConnected(index, hub))
            scheduleAtRouter(hub, m_now + latency(),
                [this, hub, self, loads] { m_routers[hub].exchange->receive(self, loads, m_now); });
    }
}

void QuotaFleet::setDemand(double requestsPerSecond) { m_options.demands.assign(m_routers.size(), requestsPerSecond); }

void QuotaFleet::generateRequests(size_t index)
{
    auto demand = m_options.demands.empty() ? m_options.requestsPerSecond : m_options.demands[index];
    if (!demand)
        return scheduleAtRouter(index, m_now + idlePollInterval, [this, index] { generateRequests(index); });
    auto gap = std::exponential_distribution<double>(demand)(m_random);
    scheduleAtRouter(
        index, m_now + Common::Duration(static_cast<int64_t>(gap * 1e9)), [this, index] { generateRequests(index); });
    request(index);
}

void QuotaFleet::request(size_t index)
{
    ++m_requests;
    auto& router = m_routers[index];
    if (!router.hasList)
        return;
    bool isLimited = router.quotas->isLimited(s_key, m_now);
    router.quotas->recordDemand(s_key, m_now);
    bool mayBeSent = m_options.admissionOverride && isLimited ? m_options.admissionOverride(index, m_now)
                                                              : router.quotas->take(s_key, 0, m_now);
    if (!mayBeSent)
        return;
    bool limitWasKnown = router.limitReceivedAt && m_now >= *router.limitReceivedAt + limitGracePeriod;
    m_arrivals.push_back({ m_now, index, limitWasKnown, m_now < router.lastFault + faultGracePeriod });
    scheduleResponse(index, m_now);
}

void QuotaFleet::scheduleResponse(size_t index, TimePoint sent)
{
    schedule(sent + serviceTime, [this, index, sent, incarnation = m_routers[index].incarnation] {
        // The response states the limit as of the time when it is written.
        auto limit = m_limit;
        if (m_routers[index].incarnation != incarnation)
            return;
        scheduleAtRouter(index, m_now + latency(), [this, index, sent, limit] {
            auto& router = m_routers[index];
            if (limit && !router.limitReceivedAt)
                router.limitReceivedAt = m_now;
            router.quotas->recordStatement(upstream(), { limit }, sent, m_now);
        });
    });
}

size_t QuotaFleet::maxArrivalsInWindow(TimePoint from, ArrivalFilter filter, Common::Milliseconds window) const
{
    std::vector<TimePoint> counted;
    for (const auto& arrival : m_arrivals) {
        bool isCounted = filter == ArrivalFilter::All || (arrival.limitWasKnown && !arrival.hadRecentFault);
        if (arrival.at >= from && isCounted)
            counted.push_back(arrival.at);
    }
    size_t most = 0;
    for (size_t first = 0, last = 0; last < counted.size(); ++last) {
        while (counted[last] - counted[first] >= window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::set<double> QuotaFleet::knownLimits() const
{
    std::set<double> limits;
    for (const auto& router : m_routers) {
        for (const auto& known : router.quotas->knownLimits(m_now))
            limits.insert(known.limit.perSecond);
    }
    return limits;
}

size_t QuotaFleet::limitedRouters() const
{
    return static_cast<size_t>(std::count_if(m_routers.begin(), m_routers.end(),
        [&](const auto& router) { return router.quotas->isLimited(s_key, m_now); }));
}

} // namespace Brassladder::RouteServing::Gateway
