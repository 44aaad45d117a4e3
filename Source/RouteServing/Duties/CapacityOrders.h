// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/CapacityPlan.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>

namespace Brassladder::RouteServing::Duties {

// What one holder of the duties has ordered, and which order may be sent next.
//
// An order without an answer may be carried out seconds later, after newer ones. Its token is checked then, so the next
// order that differs from it bears a new token, which makes the platform refuse the late one. The same number may be
// repeated as it is. Not safe for several threads.
class CapacityOrders {
public:
    // A number that the list of upstreams does not reach `boot` and a while after it was accepted is ordered again.
    explicit CapacityOrders(Common::Milliseconds boot)
        : m_boot(boot)
    {
    }

    // Sets what was ordered in each domain.
    void setOrderedNumbers(const std::string& service, std::span<DomainCapacity>, Common::TimePoint now);

    struct Next {
        CapacityOrder order;
        bool needsNewToken { false };
    };
    // The first of the wanted orders that may be sent now. `token`: of the holder.
    std::optional<Next> next(std::span<const CapacityOrder> wanted, uint64_t token, Common::TimePoint now) const;

    enum class Outcome : uint8_t {
        Accepted,
        NoCapacity, // The platform has no such engines in the domain now.
        Rejected,
        NoResponse,
    };
    void record(const CapacityOrder&, uint64_t token, Outcome, Common::TimePoint now);

private:
    using Subject = std::tuple<std::string, std::string, EngineKind>;
    struct State {
        std::optional<unsigned> accepted;
        Common::TimePoint acceptedAt {};
        Common::TimePoint notBefore {};
        std::optional<unsigned> unanswered; // May be carried out yet,
        uint64_t unansweredToken { 0 }; // with this token.
    };
    static Subject subjectOf(const CapacityOrder& order) { return { order.service, order.domain, order.kind }; }
    std::optional<unsigned> orderedNumber(const Subject&, unsigned servingEngines, Common::TimePoint now) const;

    Common::Milliseconds m_boot;
    std::map<Subject, State> m_subjects;
};

} // namespace Brassladder::RouteServing::Duties
