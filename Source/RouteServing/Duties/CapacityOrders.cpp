// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityOrders.h"

#include <algorithm>

namespace Brassladder::RouteServing::Duties {

using Common::TimePoint;
using namespace std::chrono_literals;

// Delay before the next order for a failure domain that had no capacity. Doubles with each further refusal.
static constexpr Common::Milliseconds initialNoCapacityDelay = 2000ms;
static constexpr Common::Milliseconds maxNoCapacityDelay = 8000ms;
// Delay before the next order after another rejection or a missing response.
static constexpr Common::Milliseconds failureRetryDelay = 500ms;
// Allowance for the delay until a started engine appears in the upstream list.
static constexpr Common::Milliseconds upstreamListLag = 3000ms;

// Returns the last accepted number. Returns nullopt, which causes a new order, if there is none, or if fewer engines
// serve although the time for them to boot has passed.
std::optional<unsigned> CapacityOrders::orderedNumber(const OrderKey& key, unsigned servingEngines, TimePoint now) const
{
    auto found = m_states.find(key);
    if (found == m_states.end() || !found->second.accepted)
        return std::nullopt;
    const auto& state = found->second;
    bool isMissing = servingEngines < *state.accepted && now - state.acceptedAt > m_boot + upstreamListLag;
    return isMissing ? std::nullopt : state.accepted;
}

unsigned CapacityOrders::possibleNumber(const OrderKey& key) const
{
    auto found = m_states.find(key);
    if (found == m_states.end())
        return 0;
    return std::max(found->second.accepted.value_or(0), found->second.unanswered.value_or(0));
}

// Returns whether the platform recently had no engines of this kind, or whether those that it has accepted since are
// still booting.
bool CapacityOrders::lacksSpot(const OrderKey& key, unsigned servingEngines, TimePoint now) const
{
    auto found = m_states.find(key);
    if (found == m_states.end())
        return false;
    const auto& state = found->second;
    bool isBooting = state.wasRefused && state.accepted && servingEngines < *state.accepted
        && now - state.acceptedAt <= m_boot + upstreamListLag;
    return state.refused || isBooting;
}

bool CapacityOrders::lacksOnDemand(const OrderKey& key, TimePoint now) const
{
    auto found = m_states.find(key);
    return found != m_states.end() && found->second.refused && now < found->second.noCapacityUntil;
}

void CapacityOrders::setOrderedNumbers(const std::string& service, std::span<DomainCapacity> domains, TimePoint now)
{
    for (auto& domain : domains) {
        OrderKey onDemand { service, domain.domain, EngineKind::OnDemand };
        OrderKey spot { service, domain.domain, EngineKind::Spot };
        domain.orderedOnDemand = orderedNumber(onDemand, domain.onDemand, now);
        domain.orderedSpot = orderedNumber(spot, domain.spot, now);
        domain.possibleOnDemand = possibleNumber(onDemand);
        domain.possibleSpot = possibleNumber(spot);
        domain.lacksOnDemand = lacksOnDemand(onDemand, now);
        domain.lacksSpot = lacksSpot(spot, domain.spot, now);
    }
}

Common::Milliseconds CapacityOrders::retryDelay(const CapacityOrder& order, TimePoint now) const
{
    auto found = m_states.find(keyOf(order));
    if (found == m_states.end())
        return 0ms;
    auto next = std::max(found->second.nextOrderAt, found->second.noCapacityUntil);
    return std::max(0ms, Common::toMilliseconds(next - now));
}

std::optional<CapacityOrders::Next> CapacityOrders::next(
    std::span<const CapacityOrder> wanted, uint64_t token, TimePoint now) const
{
    for (const auto& order : wanted) {
        auto found = m_states.find(keyOf(order));
        if (found == m_states.end())
            return Next { order, false };
        const auto& state = found->second;
        bool isLess = state.refused && order.desired < *state.refused;
        if (now < state.nextOrderAt || (now < state.noCapacityUntil && !isLess))
            continue;
        bool conflictsWithUnanswered
            = state.unanswered && *state.unanswered != order.desired && state.unansweredToken >= token;
        return Next { order, conflictsWithUnanswered };
    }
    return std::nullopt;
}

static Common::Milliseconds noCapacityDelay(unsigned refusals)
{
    auto delay = initialNoCapacityDelay;
    for (unsigned refusal = 1; refusal < refusals && delay < maxNoCapacityDelay; ++refusal)
        delay *= 2;
    return std::min(delay, maxNoCapacityDelay);
}

void CapacityOrders::record(const CapacityOrder& order, uint64_t token, Outcome outcome, TimePoint now)
{
    auto& state = m_states[keyOf(order)];
    switch (outcome) {
    case Outcome::Accepted:
        state.accepted = order.desired;
        state.acceptedAt = now;
        state.wasRefused = state.refused.has_value();
        state.refused.reset();
        state.refusals = 0;
        state.noCapacityUntil = {};
        // The platform now rejects the unanswered order if its token is lower. With the same number, it has no effect.
        if (state.unansweredToken < token || state.unanswered == order.desired)
            state.unanswered.reset();
        return;
    case Outcome::NoCapacity:
        if (state.refused && order.desired < *state.refused)
            state.refusals = 0;
        state.refused = order.desired;
        state.noCapacityUntil = now + noCapacityDelay(++state.refusals);
        return;
    case Outcome::NotPerformed:
        state.nextOrderAt = now + failureRetryDelay;
        return;
    case Outcome::NoResponse:
        state.nextOrderAt = now + failureRetryDelay;
        state.unanswered = order.desired;
        state.unansweredToken = token;
        return;
    }
}

} // namespace Brassladder::RouteServing::Duties
