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
// If the response to an order is lost, the platform may still execute the order seconds later, after newer ones. It
// checks the token of an order when it executes it. An order for a different number therefore needs a new token, so
// that the platform rejects the late order. An order for the same number may be repeated with the same token.
//
// A domain that has no engines of a kind is asked again after a delay that doubles up to a bound. An accepted order or
// a smaller number resets the delay. Not thread-safe.
class CapacityOrders {
public:
    // `boot`: boot time of an engine. An accepted order is sent again if the upstream list does not contain that many
    // engines after this time plus an allowance.
    explicit CapacityOrders(Common::Milliseconds boot)
        : m_boot(boot)
    {
    }

    // Sets what is known from orders about each domain: all members but the serving engines. `orderedOnDemand` and
    // `orderedSpot` are nullopt if the platform accepted no order, or if the engines did not appear in time;
    // `CapacityPlan::orders` then orders them again.
    void setOrderedNumbers(const std::string& service, std::span<DomainCapacity>, Common::TimePoint now);

    struct Next {
        CapacityOrder order;
        bool needsNewToken { false };
    };
    // Returns the first of the wanted orders that may be sent now. `token`: the current fencing token of the holder.
    std::optional<Next> next(std::span<const CapacityOrder> wanted, uint64_t token, Common::TimePoint now) const;

    // Returns the time until the order may be sent again, zero if it may be sent now.
    Common::Milliseconds retryDelay(const CapacityOrder&, Common::TimePoint now) const;

    enum class Outcome : uint8_t {
        Accepted,
        NoCapacity, // The platform currently has no free engines of this kind in the domain.
        NotPerformed,
        NoResponse,
    };
    void record(const CapacityOrder&, uint64_t token, Outcome, Common::TimePoint now);

private:
    using OrderKey = std::tuple<std::string, std::string, EngineKind>;
    struct State {
        std::optional<unsigned> accepted;
        Common::TimePoint acceptedAt {};
        Common::TimePoint nextOrderAt {};
        std::optional<unsigned> unanswered; // Number of an order without a response, which may still be executed.
        uint64_t unansweredToken { 0 }; // Token of that order.
        std::optional<unsigned> refused; // Number that the platform had no engines for, until an order is accepted.
        unsigned refusals { 0 }; // Consecutive ones.
        bool wasRefused { false }; // Before the last accepted order.
        Common::TimePoint noCapacityUntil {}; // No order for as many engines or more is sent before.
    };
    static OrderKey keyOf(const CapacityOrder& order) { return { order.service, order.domain, order.kind }; }
    unsigned possibleNumber(const OrderKey&) const;
    bool lacksSpot(const OrderKey&, unsigned servingEngines, Common::TimePoint now) const;
    bool lacksOnDemand(const OrderKey&, Common::TimePoint now) const;
    std::optional<unsigned> orderedNumber(const OrderKey&, unsigned servingEngines, Common::TimePoint now) const;

    Common::Milliseconds m_boot;
    std::map<OrderKey, State> m_states;
};

} // namespace Brassladder::RouteServing::Duties
