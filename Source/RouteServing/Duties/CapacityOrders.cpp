// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityOrders.h"

namespace Brassladder::RouteServing::Duties {

using Common::TimePoint;
using namespace std::chrono_literals;

// Delay before the next order for a failure domain that had no capacity.
static constexpr Common::Milliseconds noCapacityRetryDelay = 2000ms;
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

void CapacityOrders::setOrderedNumbers(const std::string& service, std::span<DomainCapacity> domains, TimePoint now)
{
    for (auto& domain : domains) {
        domain.orderedOnDemand = orderedNumber({ service, domain.domain, EngineKind::OnDemand }, domain.onDemand, now);
        domain.orderedSpot = orderedNumber({ service, domain.domain, EngineKind::Spot }, domain.spot, now);
    }
}

std::optional<CapacityOrders::Next> CapacityOrders::next(
    std::span<const CapacityOrder> wanted, uint64_t token, TimePoint now) const
{
    for (const auto& order : wanted) {
        auto found = m_states.find(keyOf(order));
        if (found == m_states.end())
            return Next { order, false };
        const auto& state = found->second;
        if (now < state.nextOrderAt)
            continue;
        bool conflictsWithUnanswered
            = state.unanswered && *state.unanswered != order.desired && state.unansweredToken >= token;
        return Next { order, conflictsWithUnanswered };
    }
    return std::nullopt;
}

void CapacityOrders::record(const CapacityOrder& order, uint64_t token, Outcome outcome, TimePoint now)
{
    auto& state = m_states[keyOf(order)];
    switch (outcome) {
    case Outcome::Accepted:
        state.accepted = order.desired;
        state.acceptedAt = now;
        // The platform now rejects the unanswered order if its token is lower. With the same number, it has no effect.
        if (state.unansweredToken < token || state.unanswered == order.desired)
            state.unanswered.reset();
        return;
    case Outcome::NoCapacity:
        state.nextOrderAt = now + noCapacityRetryDelay;
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
