// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Upstream.h"

#include <algorithm>
#include <cstdint>
#include <optional>

// A rate per second that an upstream states in its responses for all routers together: how many requests it accepts
// (SendQuotas), or how many it can reject (FragileUpstreams). Does no I/O and reads no clock.
namespace Brassladder::RouteServing::Routing {

// Upper bound of a stated rate; a higher one has no effect.
inline constexpr double maxStatedRate = 1e6;

// Rounds a rate down to whole thousandths. Routers store and exchange it in this form, so that all have the same value.
double roundedRate(double perSecond);

// What one response states. An empty rate means that the upstream states none, or no longer does.
struct RateStatement {
    std::optional<double> perSecond;
};

enum class StatementChange : uint8_t { None, Stated, Changed, Ended };

// What one upstream incarnation states, learned from responses to any router.
//
// Its times only increase. Routers that exchange their state therefore converge, in whatever order messages arrive.
struct StatedRate {
    double perSecond { 0 }; // Rounded.
    // Arrival time of the newest response that stated the rate.
    Common::TimePoint statedAt { Common::TimePoint::min() };
    // Send time of the newest request whose response stated no rate.
    Common::TimePoint unstatedRequestSentAt { Common::TimePoint::min() };

    // `requestSent`: when the request of the response was sent.
    static StatedRate fromResponse(const RateStatement&, Common::TimePoint requestSent, Common::TimePoint now);

    // Returns whether the rate applies. Responses may arrive out of order, and times from other routers are estimates.
    // Therefore a rate ends only with a response without one to a request that was sent at least `reorderTolerance`
    // after the rate was last stated.
    bool isInForce() const;
    StatementChange merge(const StatedRate&);
    // Whether any response stated a rate.
    bool wasStated() const { return statedAt != Common::TimePoint::min(); }
    // Time of the newest information.
    Common::TimePoint learned() const { return std::max(statedAt, unstatedRequestSentAt); }
};

// Identifies one upstream incarnation in messages between routers. Two incarnations with the same key share what they
// state.
uint32_t statementKey(const UpstreamRecord&);

} // namespace Brassladder::RouteServing::Routing
