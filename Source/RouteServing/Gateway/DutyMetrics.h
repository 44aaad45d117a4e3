// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PlatformSources.h"

#include <cstdint>
#include <string_view>

// Metrics of the fleet's duties. Thread-safe.
namespace Brassladder::RouteServing::Gateway::DutyMetrics {

enum class LeaseChange : uint8_t { Claimed, Released, Lost };

// Increments `brassladder_duties_lease_changes_total{change}`.
void leaseChanged(LeaseChange);
// Sets `brassladder_duties_token` to the fencing token, or to 0 if this router does not hold the duties. Sets
// `brassladder_usage_reported_before` to the first usage window that is neither reported nor given up. Called whenever
// the metrics are read.
void dutyState(uint64_t ownToken, uint64_t firstUnreported);
// Increments `brassladder_duties_calls_total{call,outcome}`. `call` is usage or capacity.
void callEnded(std::string_view call, DutyCallOutcome);
// Why the platform refused a call with Conflict.
enum class ConflictCause : uint8_t {
    LaterToken, // The log contains a later token, usually of another holder.
    UnknownToken, // The platform has seen a later token, but the log contains none.
    NoCapacity, // The failure domain has no engines of the ordered kind now.
};
std::string_view label(ConflictCause);
// Increments `brassladder_duties_conflicts_total{call,cause}`. `call` is usage or capacity.
void conflictResolved(std::string_view call, ConflictCause);
// Increments `brassladder_usage_windows_total{how}`. `how` is accepted or rejected, or unknown if the counts are
// incomplete.
void usageWindowClosed(std::string_view outcome);

// Sets `brassladder_capacity_engines{service,what}`. `what` is standing (listed engines that are not leaving), lasting
// (needed for the sustained load) or ahead (needed with headroom, without a reserve).
void engineCounts(const std::string& service, unsigned servingEngines, const std::optional<Duties::CapacityNeed>&);
// Sets `brassladder_capacity_need{service,part}`. `part` is prefill, decode, headroom, reserve, or wanted for the sum.
void needParts(const std::string& service, const Duties::CapacityParts&);

std::string_view label(DutyCallOutcome);

} // namespace Brassladder::RouteServing::Gateway::DutyMetrics
