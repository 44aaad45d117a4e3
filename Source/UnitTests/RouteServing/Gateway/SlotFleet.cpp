// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/SlotFleet.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds exchangeInterval = 100ms;
// Intervals until a report of loads has reached every router.
static constexpr size_t reportDelay = 2;
static constexpr Milliseconds failureTime = 3000ms;
static constexpr Milliseconds rejectionWindow = 1000ms;
// How long a router avoids an upstream after a rejection, and after a failed connection.
static constexpr Milliseconds rejectionBackoff = 100ms;
static constexpr Milliseconds connectionBackoff = 1000ms;
static constexpr Milliseconds sharedBackoff = 300ms;
static constexpr Milliseconds grantValidity = 700ms;
static constexpr Milliseconds longestWait = 300ms;
static constexpr size_t maxSends = 2;
// Another upstream is asked for a slot this many times.
static constexpr size_t maxDenials = 3;
// How often a request that waits for a grant looks for one.
static constexpr Milliseconds grantPollInterval = 20ms;

SlotFleet::SlotFleet(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_routers(options.routers)
    , m_upstreams(options.upstreams)
    , m_fragileSince(m_now)
    , m_countedFrom(m_now)
{
    for (auto& upstream : m_upstreams)
        upstream.rate = m_options.slots * 1000 / m_options.serviceMs;
    for (size_t router = 0; router < m_routers.size(); ++router)
        m_routers[router].id = "r" + std::to_string(router);
    for (size_t router = 0; router < m_routers.size(); ++router)
        startRouter(router);
    // Enough keys to be assigned to every candidate.
    static constexpr size_t keys = 1000;
    for (size_t upstream = 0; upstream < keys; ++upstream)
        m_hubs.insert(coordinatorOf(upstream));
    scheduleArrival();
    schedule(m_now + exchangeInterval, [this] { step(); });
}

// The reservations of requests refer to the exchanges of their routers.
SlotFleet::~SlotFleet()
{
    for (auto& router : m_routers)
        router.exchange->setSend([](const auto&, auto) {});
    m_upstreams.clear();
    m_events.clear();
}

void SlotFleet::startRouter(size_t index)
{
    auto& router = m_routers[index];
    router.incarnation = ++m_incarnations;
    router.sent.assign(m_upstreams.size(), 0);
    router.placed.assign(m_upstreams.size(), 0);
    router.avoidedUntil.assign(m_upstreams.size(), {});
    router.grants.assign(m_upstreams.size(), {});
    router.exchange = std::make_unique<SlotExchange>(router.id);
    router.exchange->setIncarnation(router.incarnation);
    router.exchange->setClock([this] { return m_now; });
    std::vector<Routing::SlotCoordinatorRanking::Router> fleet;
    fleet.reserve(m_routers.size());
    for (const auto& each : m_routers)
        fleet.push_back({ each.id, 0 });
    router.exchange->setRouters(fleet);
    router.exchange->setSend([this, index, incarnation = router.incarnation](const auto& to, auto item) {
        ++m_result.messages;
        auto receiver = static_cast<size_t>(std::stoul(to.substr(1)));
        Inner::Mesh::Sender sender { m_routers[index].id, incarnation };
        if (!areConnected(index, receiver))
            return;
        // A process that has ended refuses connections.
        if (!isUp(m_routers[receiver]))
            return scheduleAtRouter(index, m_now + latency(),
                [this, index, to] { m_routers[index].exchange->recordUnreachable(to, m_now); });
        scheduleAtRouter(receiver, m_now + latency(), [this, receiver, sender, item = std::move(item)] {
            m_routers[receiver].exchange->receive(sender, item, m_now);
        });
    });
}

bool SlotFleet::areConnected(size_t a, size_t b) const
{
    return (m_routers[a].cutUntil > m_now) == (m_routers[b].cutUntil > m_now);
}

void SlotFleet::scheduleAtRouter(size_t index, TimePoint when, Event event)
{
    schedule(when, [this, index, incarnation = m_routers[index].incarnation, event = std::move(event)] {
        auto& router = m_routers[index];
        if (router.incarnation != incarnation || !isUp(router))
            return;
        if (router.frozenUntil > m_now)
            return scheduleAtRouter(index, router.frozenUntil, event);
        event();
    });
}

void SlotFleet::runFor(Milliseconds time)
{
    auto until = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = until;
}

void SlotFleet::resetResult()
{
    m_result = {};
    m_countedFrom = m_now;
}

void SlotFleet::kill(size_t index, Milliseconds down)
{
    auto& router = m_routers[index];
    router.downUntil = m_now + down;
    // Upstreams drop the requests whose connections have closed.
    for (size_t upstream = 0; upstream < m_upstreams.size(); ++upstream) {
        auto isOfRouter = [&](const auto& request) { return request->router == index; };
        std::erase_if(m_upstreams[upstream].running, isOfRouter);
        std::erase_if(m_upstreams[upstream].waiting, isOfRouter);
    }
    // The exchange must outlive the reservations of its requests.
    router.exchange->setSend([](const auto&, auto) {});
    static std::vector<std::unique_ptr<SlotExchange>> s_ended;
    s_ended.push_back(std::move(router.exchange));
    for (size_t other = 0; other < m_routers.size(); ++other) {
        if (other != index)
            scheduleAtRouter(other, m_now + latency(),
                [this, other, id = router.id] { m_routers[other].exchange->recordUnreachable(id, m_now); });
    }
    startRouter(index);
}

void SlotFleet::freeze(size_t router, Milliseconds time) { m_routers[router].frozenUntil = m_now + time; }

void SlotFleet::cut(std::span<const size_t> routers, Milliseconds time)
{
    for (auto router : routers)
        m_routers[router].cutUntil = m_now + time;
}

size_t SlotFleet::coordinatorOf(size_t upstream) const
{
    Routing::SlotCoordinatorRanking ranking;
    std::vector<Routing::SlotCoordinatorRanking::Router> fleet;
    fleet.reserve(m_routers.size());
    for (const auto& each : m_routers)
        fleet.push_back({ each.id, 0 });
    ranking.setRouters(fleet);
    auto id = ranking.coordinatorOf(static_cast<uint32_t>(upstream), [](const auto&) { return true; });
    return static_cast<size_t>(std::stoul(id.substr(1)));
}

void SlotFleet::scheduleArrival()
{
    auto capacity = static_cast<double>(m_options.slots * m_upstreams.size()) * 1000 / m_options.serviceMs;
    auto gap = -std::log(1 - uniformRandom()) / (m_options.load * capacity);
    schedule(m_now + std::chrono::microseconds(std::llround(gap * 1e6)), [this] {
        auto request = std::make_shared<Request>();
        request->router = m_random() % m_routers.size();
        request->arrived = m_now;
        // The balancer sends the callers of a router that is down to the others.
        while (!isUp(m_routers[request->router]))
            request->router = m_random() % m_routers.size();
        request->incarnation = m_routers[request->router].incarnation;
        ++m_result.requests;
        m_routers[request->router].lastDemand = m_now;
        scheduleAtRouter(request->router, m_now, [this, request] { place(request); });
        scheduleArrival();
    });
}

void SlotFleet::step()
{
    std::vector<std::vector<unsigned>> sent;
    std::vector<std::vector<unsigned>> placed;
    for (const auto& router : m_routers) {
        sent.push_back(isUp(router) ? router.sent : std::vector<unsigned>(m_upstreams.size(), 0));
        placed.push_back(isUp(router) ? router.placed : std::vector<unsigned>(m_upstreams.size(), 0));
    }
    m_sentHistory.push_back(std::move(sent));
    m_placedHistory.push_back(std::move(placed));
    if (m_sentHistory.size() > reportDelay + 1) {
        m_sentHistory.pop_front();
        m_placedHistory.pop_front();
    }
    stepRates();
    exchangeContacts();
    for (size_t index = 0; index < m_routers.size(); ++index) {
        scheduleAtRouter(index, m_now, [this, index] {
            m_routers[index].exchange->step(
                { [this, index](uint32_t upstream) { return reportedLoad(index, upstream); },
                    [this](uint32_t) { return std::optional(m_fragileSince); }, reachableShare(index) },
                m_now);
        });
    }
    schedule(m_now + exchangeInterval, [this] { step(); });
}

// Hubs send each other their loads.
void SlotFleet::exchangeContacts()
{
    for (auto sender : m_hubs) {
        if (!isUp(m_routers[sender]) || m_routers[sender].frozenUntil > m_now)
            continue;
        for (auto receiver : m_hubs) {
            if (receiver != sender && areConnected(sender, receiver))
                scheduleAtRouter(receiver, m_now + latency(), [this, sender, receiver] {
                    m_routers[receiver].exchange->recordContact(m_routers[sender].id, m_now);
                });
        }
    }
}

unsigned SlotFleet::reportedLoad(size_t router, size_t upstream) const
{
    unsigned sum = m_routers[router].sent[upstream];
    for (size_t other = 0; other < m_routers.size(); ++other) {
        if (other != router && areConnected(router, other))
            sum += m_sentHistory.front()[other][upstream];
    }
    return sum;
}

double SlotFleet::reachableShare(size_t router) const
{
    size_t reachable = 0;
    for (size_t other = 0; other < m_routers.size(); ++other)
        reachable += isUp(m_routers[other]) && areConnected(router, other);
    return static_cast<double>(reachable) / static_cast<double>(m_routers.size());
}

void SlotFleet::stepRates()
{
    if (m_options.strategy != Strategy::Rates)
        return;
    auto highest = m_options.slots * 1000 / m_options.serviceMs;
    auto seconds = Common::toSeconds(Common::Duration(exchangeInterval));
    for (size_t index = 0; index < m_upstreams.size(); ++index) {
        auto& upstream = m_upstreams[index];
        upstream.rate = std::min(highest, upstream.rate * 1.02);
        upstream.tokens = std::min(upstream.tokens + upstream.rate * seconds, 1 + 2 * upstream.rate * seconds);
        // Routers with demand keep one grant each. Those that have waited longest come first.
        for (size_t offset = 0; offset < m_routers.size() && upstream.tokens >= 1; ++offset) {
            auto router = (offset + m_random()) % m_routers.size();
            auto& grants = m_routers[router].grants[index];
            std::erase_if(grants, [&](auto expiry) { return expiry <= m_now; });
            if (grants.size() >= 2 || m_now - m_routers[router].lastDemand > 1s || !isUp(m_routers[router]))
                continue;
            upstream.tokens -= 1;
            scheduleAtRouter(router, m_now + exchangeInterval,
                [this, router, index] { m_routers[router].grants[index].push_back(m_now + grantValidity); });
        }
    }
}

std::optional<size_t> SlotFleet::chooseUpstream(const Request& request)
{
    const auto& router = m_routers[request.router];
    std::optional<size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index = 0; index < m_upstreams.size(); ++index) {
        if (request.attempted.contains(index))
            continue;
        double outstanding = router.placed[index];
        if (!m_placedHistory.empty()) {
            for (size_t other = 0; other < m_routers.size(); ++other)
                outstanding += other == request.router ? 0 : m_placedHistory.front()[other][index];
        }
        double cost = (outstanding + 1) * (1 + 0.02 * uniformRandom());
        bool isShared = m_options.strategy == Strategy::SharedBackoff;
        if (router.avoidedUntil[index] > m_now || (isShared && m_upstreams[index].avoidedUntil > m_now))
            cost += 1e6;
        if (m_options.strategy == Strategy::Rates && router.grants[index].empty())
            continue;
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    bool isAvoided = bestCost >= 1e6;
    if (isAvoided && m_options.strategy == Strategy::SharedBackoff)
        return std::nullopt;
    return best;
}

bool SlotFleet::mayWaitForGrant(const Request& request) const
{
    auto wait = std::min(m_options.objective / 2, longestWait);
    return m_now + grantPollInterval < request.arrived + wait;
}

void SlotFleet::place(const RequestPtr& request)
{
    auto upstream = chooseUpstream(*request);
    if (!upstream) {
        if (m_options.strategy == Strategy::Rates && mayWaitForGrant(*request))
            scheduleAtRouter(request->router, m_now + grantPollInterval, [this, request] { place(request); });
        return;
    }
    request->upstream = *upstream;
    request->attempted.insert(*upstream);
    auto& router = m_routers[request->router];
    ++router.placed[*upstream];
    if (m_options.strategy == Strategy::Rates)
        router.grants[*upstream].pop_front();
    if (m_options.strategy != Strategy::Reservations)
        return send(request);
    auto wait = std::min(m_options.objective / 2, longestWait);
    SlotExchange::Order order { static_cast<uint32_t>(*upstream), m_options.slots, 0, request->arrived + wait,
        request->arrived + m_options.deadline, m_fragileSince };
    reserve(request, router.exchange->begin(order, m_now));
}

void SlotFleet::reserve(const RequestPtr& request, uint64_t sequence)
{
    auto progress = m_routers[request->router].exchange->advance(sequence, m_now);
    if (!progress.outcome) {
        // Messages are looked at every millisecond, which stands for the wake-up of the waiting fiber.
        auto next = std::min(progress.next, m_now + 1ms);
        return scheduleAtRouter(request->router, next, [this, request, sequence] { reserve(request, sequence); });
    }
    if (std::holds_alternative<SlotExchange::Denial>(*progress.outcome))
        return endAttempt(request, End::Denied);
    request->reservation = std::make_shared<SlotReservation>(std::get<SlotReservation>(std::move(*progress.outcome)));
    send(request);
}

void SlotFleet::send(const RequestPtr& request)
{
    ++request->sends;
    ++m_routers[request->router].sent[request->upstream];
    schedule(m_now + latency(), [this, request] { arrive(request); });
}

void SlotFleet::arrive(const RequestPtr& request)
{
    if (m_routers[request->router].incarnation != request->incarnation)
        return;
    auto& upstream = m_upstreams[request->upstream];
    auto respond = [&](End end) {
        scheduleAtRouter(request->router, m_now + latency(), [this, request, end] { endAttempt(request, end); });
    };
    if (upstream.failedUntil > m_now)
        return respond(End::Broken);
    if (upstream.running.size() < m_options.slots)
        startService(request->upstream, request);
    else if (upstream.waiting.size() < m_options.waitingPlaces)
        upstream.waiting.push_back(request);
    else {
        respond(End::Rejected);
        reject(request->upstream, request);
    }
    m_result.mostUnderWay = std::max(m_result.mostUnderWay, upstream.running.size() + upstream.waiting.size());
}

void SlotFleet::startService(size_t index, const RequestPtr& request)
{
    auto& upstream = m_upstreams[index];
    upstream.running.push_back(request);
    auto time = -std::log(1 - uniformRandom()) * m_options.serviceMs * 1000;
    schedule(m_now + std::chrono::microseconds(std::llround(time)),
        [this, index, request, incarnation = upstream.incarnation] {
            if (m_upstreams[index].incarnation == incarnation)
                finishService(index, request);
        });
}

void SlotFleet::finishService(size_t index, const RequestPtr& request)
{
    auto& upstream = m_upstreams[index];
    if (!std::erase(upstream.running, request))
        return;
    scheduleAtRouter(request->router, m_now + latency(), [this, request] { endAttempt(request, End::Served); });
    if (upstream.waiting.empty())
        return;
    auto next = upstream.waiting.front();
    upstream.waiting.pop_front();
    startService(index, next);
}

void SlotFleet::reject(size_t index, const RequestPtr&)
{
    auto& upstream = m_upstreams[index];
    ++m_result.rejected;
    upstream.rejections.push_back(m_now);
    while (m_now - upstream.rejections.front() > rejectionWindow)
        upstream.rejections.pop_front();
    // Reports reach the other routers with the exchange.
    schedule(m_now + exchangeInterval, [this, index] {
        auto& reported = m_upstreams[index];
        reported.avoidedUntil = m_now + sharedBackoff;
        if (m_now - reported.rateLoweredAt < 2 * exchangeInterval)
            return;
        reported.rate *= 0.7;
        reported.rateLoweredAt = m_now;
    });
    if (upstream.rejections.size() > m_options.toleratedRejections)
        fail(index);
}

void SlotFleet::fail(size_t index)
{
    auto& upstream = m_upstreams[index];
    ++m_result.failures;
    ++upstream.incarnation;
    upstream.failedUntil = m_now + failureTime;
    upstream.rejections.clear();
    for (const auto& request : upstream.running)
        scheduleAtRouter(request->router, m_now + latency(), [this, request] { endAttempt(request, End::Broken); });
    for (const auto& request : upstream.waiting)
        scheduleAtRouter(request->router, m_now + latency(), [this, request] { endAttempt(request, End::Broken); });
    upstream.running.clear();
    upstream.waiting.clear();
}

void SlotFleet::endAttempt(const RequestPtr& request, End end)
{
    auto& router = m_routers[request->router];
    auto index = request->upstream;
    --router.placed[index];
    if (end != End::Denied)
        --router.sent[index];
    if (request->reservation && end == End::Rejected)
        request->reservation->setRelease({ true, 0ms });
    request->reservation.reset();
    if (end == End::Served) {
        if (request->arrived >= m_countedFrom) {
            ++m_result.served;
            m_result.inTime += m_now - request->arrived <= m_options.objective;
        }
        return;
    }
    if (end != End::Denied)
        router.avoidedUntil[index] = m_now + (end == End::Rejected ? rejectionBackoff : connectionBackoff);
    bool mayTryAgain = end == End::Denied ? request->attempted.size() < maxDenials : request->sends < maxSends;
    if (mayTryAgain && m_now < request->arrived + m_options.deadline)
        place(request);
}

} // namespace Brassladder::RouteServing::Gateway
