// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityOrders.h"

namespace Brassladder::RouteServing::Duties {

using Common::TimePoint;
using namespace std::chrono_literals;

// When none are to be had; the users' sheets name eight to ten seconds of that. Chosen, not measured: one call in two
// seconds and failure domain.
static constexpr Common::Milliseconds noCapacityRetryDelay = 2000ms;
// After a refusal for other reasons or no answer. Chosen, not measured.
static constexpr Common::Milliseconds failureRetryDelay = 500ms;
// The list of upstreams lags (`DrainMs` is 2 to 4 s in the users' sheets). Chosen, not measured.
static constexpr Common::Milliseconds upstreamListLag = 3000ms;

// None, so that it is ordered again, when the platform accepted a number long ago and fewer stand.
std::optional<unsigned> CapacityOrders::orderedNumber(
    const Subject& subject, unsigned servingEngines, TimePoint now) const
{
    auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || !found->second.accepted)
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
        auto found = m_subjects.find(subjectOf(order));
        if (found == m_subjects.end())
            return Next { order, false };
        const auto& state = found->second;
        if (now < state.notBefore)
            continue;
        bool conflictsWithUnanswered
            = state.unanswered && *state.unanswered != order.desired && state.unansweredToken >= token;
        return Next { order, conflictsWithUnanswered };
    }
    return std::nullopt;
}

void CapacityOrders::record(const CapacityOrder& order, uint64_t token, Outcome outcome, TimePoint now)
{
    auto& state = m_subjects[subjectOf(order)];
    switch (outcome) {
    case Outcome::Accepted:
        state.accepted = order.desired;
        state.acceptedAt = now;
        // A late one with a lower token is refused from now on; one with the same number does no harm.
        if (state.unansweredToken < token || state.unanswered == order.desired)
            state.unanswered.reset();
        return;
    case Outcome::NoCapacity:
        state.notBefore = now + noCapacityRetryDelay;
        return;
    case Outcome::Rejected:
        state.notBefore = now + failureRetryDelay;
        return;
    case Outcome::NoResponse:
        state.notBefore = now + failureRetryDelay;
        state.unanswered = order.desired;
        state.unansweredToken = token;
        return;
    }
}

} // namespace Brassladder::RouteServing::Duties
