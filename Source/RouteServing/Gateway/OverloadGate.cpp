// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/OverloadGate.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/OverloadMetrics.h"
#include "RouteServing/Routing/ReturnTime.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::Milliseconds;
using Routing::OverloadDecision;
using Routing::OverloadOutcome;
using Routing::OverloadReason;
using Routing::OverloadView;
using Routing::Refusal;

// Age up to which the fleet's load and a service's engines are used again. Routers exchange loads at this interval.
static constexpr Milliseconds maxStateAge { 100 };
// Age up to which a rejection shows that the queues of the engines are full.
static constexpr Milliseconds maxRejectionAge { 500 };
// Part of the expected output that a generation has at least. Estimates are right in the median, but often far off.
static constexpr double certainPartOfOutput = 0.5;

// Outstanding

OverloadGate::Outstanding::Outstanding(
    OverloadGate& gate, uint64_t number, Common::TimePoint begun, Milliseconds expectedFirstEvent)
    : m_gate(&gate)
    , m_number(number)
    , m_begun(begun)
    , m_expectedFirstEvent(expectedFirstEvent)
{
}

OverloadGate::Outstanding::Outstanding(Outstanding&& other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr))
    , m_number(other.m_number)
    , m_begun(other.m_begun)
    , m_expectedFirstEvent(other.m_expectedFirstEvent)
    , m_firstEvent(other.m_firstEvent)
{
}

OverloadGate::Outstanding& OverloadGate::Outstanding::operator=(Outstanding&& other) noexcept
{
    if (this == &other)
        return *this;
    end();
    m_gate = std::exchange(other.m_gate, nullptr);
    m_number = other.m_number;
    m_begun = other.m_begun;
    m_expectedFirstEvent = other.m_expectedFirstEvent;
    m_firstEvent = other.m_firstEvent;
    return *this;
}

void OverloadGate::Outstanding::recordFirstEvent(Common::TimePoint now)
{
    if (!m_gate)
        return;
    m_gate->m_queues.recordFirstEvent(m_number, now);
    m_firstEvent = now;
    if (m_expectedFirstEvent.count() > 0)
        OverloadMetrics::startError(m_expectedFirstEvent, now - m_begun);
}

void OverloadGate::Outstanding::end()
{
    if (auto* gate = std::exchange(m_gate, nullptr))
        gate->m_queues.end(m_number);
}

// State

Routing::QueueKey OverloadGate::key(const Generation& generation)
{
    return { Routing::shortHash(generation.service), static_cast<uint32_t>(generation.rank) };
}

// The roster also lists routers that have ended, so only the routers that were reachable recently count for the load
// of those that are not reachable now. The share of the roster decides whether enough is known at all.
void OverloadGate::refreshFleet(Common::TimePoint now)
{
    if (m_fleet.at && now - *m_fleet.at < maxStateAge)
        return;
    auto coverage = m_coverage();
    auto known = 1.0 + m_queues.otherRouters(now);
    auto shareOfRoster = coverage.routers ? known / static_cast<double>(std::max<size_t>(1, *coverage.routers)) : 0;
    auto shareOfReachable = 1 / std::max(1.0, coverage.unreachableLoadFactor);
    m_fleet.at = now;
    m_fleet.loads = m_queues.all(now);
    m_fleet.knownShare = Routing::isEnoughKnown(shareOfRoster) ? shareOfReachable : 0;
}

const Routing::EnginePool& OverloadGate::pool(const Generation& generation, Common::TimePoint now)
{
    auto found = m_services.find(generation.service);
    if (found != m_services.end() && now - found->second.at < maxStateAge)
        return found->second.pool;
    auto upstreams = m_registry.upstreams();
    auto engines = std::count_if(upstreams.begin(), upstreams.end(),
        [&](const auto& each) { return each.service == generation.service && !each.leaving && !each.evacuated; });
    auto pool = Routing::EnginePool::of(static_cast<unsigned>(engines), generation.engine,
        m_registry.paces().servicePace(generation.service, now), m_registry.firstEventEstimate(generation.service, now),
        m_decodeTimes.millisecondsPerToken(generation.service));
    auto& state = m_services[std::string(generation.service)];
    state = { now, pool };
    return state.pool;
}

std::optional<size_t> OverloadGate::rejectedRank(const Generation& generation, Common::TimePoint now) const
{
    auto found = m_rejections.find(key(generation).service);
    if (found == m_rejections.end() || now - found->second.at >= maxRejectionAge)
        return std::nullopt;
    return found->second.rank;
}

OverloadView OverloadGate::view(const Generation& generation, Common::TimePoint now)
{
    refreshFleet(now);
    auto tokens = generation.prompt.tokens + m_outputs.expectedTokens(generation.route.name, generation.prompt, now);
    return Routing::overloadView(pool(generation, now), m_fleet.loads, key(generation).service, generation.rank,
        m_fleet.knownShare, tokens, rejectedRank(generation, now));
}

// The prompt may be cached as far as other requests share it.
Routing::OverloadRequest OverloadGate::request(
    const Generation& generation, std::optional<bool>& isOverShare, Common::TimePoint now)
{
    const auto& engines = pool(generation, now);
    auto output = m_outputs.expectedTokens(generation.route.name, generation.prompt, now) * certainPartOfOutput;
    auto ownTokens = generation.prompt.tokens - std::min(generation.prompt.tokens, generation.prompt.sharedTokens());
    Routing::OverloadRequest request { generation.rank, generation.arrived, generation.deadline,
        generation.route.objective, generation.route.timeout,
        engines.prefillTime(ownTokens) + engines.decodeTime(output), {} };
    if (m_isOverShare && generation.workspace)
        request.isOverShare = [this, &generation, &isOverShare, now] {
            if (!isOverShare)
                isOverShare = m_isOverShare(
                    key(generation).service, Routing::shortHash(generation.workspace->name), generation.rank, now);
            return *isOverShare;
        };
    return request;
}

// Decisions

OverloadDecision OverloadGate::decide(
    const Generation& generation, uint64_t number, bool isHeld, std::optional<bool>& isOverShare, OverloadView& view)
{
    auto now = Common::now();
    std::lock_guard lock(m_mutex);
    view = this->view(generation, now);
    auto request = this->request(generation, isOverShare, now);
    bool canBeInTime = now + view.expectedStart <= generation.arrived + generation.route.objective;
    Routing::HeldRequests::Request held { number, key(generation), canBeInTime, generation.arrived };
    // A held request that was dropped for a more urgent one is not held again.
    bool mayHold = isHeld ? m_held.contains(number) : m_held.hasPlaceFor(held);
    auto decision
        = Routing::decide(request, view, { mayHold, m_held.isBehind(held), m_shares.isStarved(held.key, now) }, now);
    if (decision.outcome == OverloadOutcome::Hold)
        m_held.add(held);
    else
        m_held.remove(number);
    if (decision.outcome == OverloadOutcome::Begin)
        m_shares.recordBegin(held.key, now);
    return decision;
}

void OverloadGate::endHold(const Generation& generation, uint64_t number, Common::TimePoint started)
{
    {
        std::lock_guard lock(m_mutex);
        m_held.remove(number);
    }
    m_queues.release(key(generation));
    OverloadMetrics::held(Common::now() - started);
}

std::optional<Refusal> OverloadGate::awaitCapacity(
    const Generation& generation, const std::function<bool()>& isAbandoned)
{
    if (!m_settings.isEnabled)
        return std::nullopt;
    auto number = m_nextNumber.fetch_add(1);
    auto started = Common::now();
    // The share rule may be asked once for each request, also if the request is decided on several times.
    std::optional<bool> isOverShare;
    for (bool isHeld = false; true; isHeld = true) {
        OverloadView view;
        auto decision = decide(generation, number, isHeld, isOverShare, view);
        if (decision.outcome != OverloadOutcome::Hold) {
            if (isHeld)
                endHold(generation, number, started);
            OverloadMetrics::decided(decision, generation.rank);
            return decision.outcome == OverloadOutcome::Begin ? std::nullopt
                                                              : std::make_optional(refusal(generation, decision, view));
        }
        if (!isHeld)
            m_queues.hold(key(generation));
        Common::sleepFor(Routing::holdInterval);
        bool hasCallerGone = isAbandoned();
        if (!hasCallerGone && !m_isStopping)
            continue;
        endHold(generation, number, started);
        if (hasCallerGone)
            return Refusal { ErrorKind::CallerGone, "the caller has disconnected" };
        return Refusal { ErrorKind::Draining, "this instance stops" };
    }
}

Refusal OverloadGate::refusal(
    const Generation& generation, const OverloadDecision& decision, const OverloadView& view) const
{
    auto left = Common::toMilliseconds(generation.deadline - Common::now());
    Routing::RefusedCaller caller { generation.rank, left, view.expectedStart,
        Common::traits(ErrorKind::NoCapacity).retryAfter };
    auto delay = Routing::returnTime(caller, Common::randomUnitFraction());
    Common::log(Common::LogLevel::Info, "gateway", "request.no_capacity",
        { { "request", std::string(generation.requestId) }, { "service", std::string(generation.service) },
            { "rank", generation.rank }, { "cause", std::string(Routing::name(decision.reason)) },
            { "expected_start_ms", view.expectedStart.count() },
            { "backlog", static_cast<uint64_t>(view.backlog.total()) },
            { "backlog_waiting", static_cast<uint64_t>(view.backlog.waiting) }, { "left_ms", left.count() },
            { "retry_after_ms", delay.count() } });
    return { ErrorKind::NoCapacity,
        "the engines have no capacity in time: " + std::string(Routing::name(decision.reason)), delay };
}

// Outstanding generations

OverloadGate::Outstanding OverloadGate::begin(const Generation& generation, uint64_t prefillTokens, bool hasEvents)
{
    if (!m_settings.isEnabled)
        return {};
    auto now = Common::now();
    Routing::ExpectedWork work { prefillTokens };
    Milliseconds expectedFirstEvent { 0 };
    {
        std::lock_guard lock(m_mutex);
        auto output = m_outputs.expectedTokens(generation.route.name, generation.prompt, now);
        const auto& engines = pool(generation, now);
        work.outputTokens = static_cast<uint64_t>(std::llround(output));
        work.decodeTime = engines.decodeTime(output);
        auto current = view(generation, now);
        if (current.isKnown && !hasEvents)
            expectedFirstEvent = current.expectedStart + engines.prefillTime(static_cast<double>(prefillTokens));
    }
    auto number = m_queues.begin(key(generation), work, hasEvents, now);
    return { *this, number, now, expectedFirstEvent };
}

void OverloadGate::recordOutput(const Generation& generation, const Outstanding& outstanding, size_t events)
{
    auto now = Common::now();
    auto tokensPerEvent = std::max(1U, generation.engine.tokensPerEvent);
    auto tokens = static_cast<double>(events) * tokensPerEvent;
    std::lock_guard lock(m_mutex);
    m_outputs.record(generation.route.name, generation.prompt, tokens, now);
    if (auto firstEvent = outstanding.firstEvent())
        m_decodeTimes.record(
            generation.service, tokens - tokensPerEvent, Common::toMilliseconds(now - *firstEvent), now);
}

Milliseconds OverloadGate::recordRejection(const Generation& generation, Milliseconds shortestDelay)
{
    if (!m_settings.isEnabled)
        return shortestDelay;
    auto now = Common::now();
    std::lock_guard lock(m_mutex);
    auto& rejection = m_rejections[key(generation).service];
    if (now - rejection.at >= maxRejectionAge || generation.rank <= rejection.rank)
        rejection = { now, generation.rank };
    auto current = view(generation, now);
    if (!current.isKnown || current.hasRoom || current.expectedStart.count() == 0)
        return shortestDelay;
    Routing::RefusedCaller caller { generation.rank, Common::toMilliseconds(generation.deadline - now),
        current.expectedStart, shortestDelay };
    return Routing::returnTime(caller, Common::randomUnitFraction());
}

void OverloadGate::updateMetrics() const
{
    auto now = Common::now();
    std::lock_guard lock(m_mutex);
    OverloadMetrics::heldNow(m_held.size(), now - m_held.oldestArrival(now));
}

} // namespace Brassladder::RouteServing::Gateway
