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

// Tracks the orders of one holder of the duties and selects the order to send next.
//
// An order without a response may be carried out seconds later, after newer orders. The platform checks its token at
// that time. An order for a different number therefore needs a new token, which makes the platform reject the late one.
// An order for the same number may be repeated with the same token. Not thread-safe.
class CapacityOrders {
public:
    // `boot`: boot time of an engine. An accepted number is ordered again if the upstream list does not reach it within
    // this time plus an allowance.
    explicit CapacityOrders(Common::Milliseconds boot)
        : m_boot(boot)
    {
    }

    // Sets the ordered numbers of each domain.
    void setOrderedNumbers(const std::string& service, std::span<DomainCapacity>, Common::TimePoint now);

    struct Next {
        CapacityOrder order;
        bool needsNewToken { false };
    };
    // Returns the first of the wanted orders that may be sent now. `token`: the holder's token.
    std::optional<Next> next(std::span<const CapacityOrder> wanted, uint64_t token, Common::TimePoint now) const;

    enum class Outcome : uint8_t {
        Accepted,
        NoCapacity, // The platform has no such engines in the domain now.
        NotPerformed,
        NoResponse,
    };
    void record(const CapacityOrder&, uint64_t token, Outcome, Common::TimePoint now);

private:
    using Subject = std::tuple<std::string, std::string, EngineKind>;
    struct State {
        std::optional<unsigned> accepted;
        Common::TimePoint acceptedAt {};
        Common::TimePoint notBefore {};
        std::optional<unsigned> unanswered; // Number that may still be carried out,
        uint64_t unansweredToken { 0 }; // with this token.
    };
    static Subject subjectOf(const CapacityOrder& order) { return { order.service, order.domain, order.kind }; }
    std::optional<unsigned> orderedNumber(const Subject&, unsigned servingEngines, Common::TimePoint now) const;

    Common::Milliseconds m_boot;
    std::map<Subject, State> m_subjects;
};

} // namespace Brassladder::RouteServing::Duties
