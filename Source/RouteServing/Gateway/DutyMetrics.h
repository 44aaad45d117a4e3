// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PlatformSources.h"

#include <cstdint>
#include <string_view>

// Counters of the fleet's duties. Safe to use from several threads.
namespace Brassladder::RouteServing::Gateway::DutyMetrics {

enum class LeaseChange : uint8_t { Claimed, Released, Lost };

// `brassladder_duties_lease_changes_total{change}`.
void leaseChanged(LeaseChange);
// When the metrics are read: `brassladder_duties_token`, 0 unless this router holds the duties, and
// `brassladder_usage_reported_before`, a window's number.
void dutyState(uint64_t ownToken, uint64_t firstUnreported);
// `brassladder_duties_calls_total{call,outcome}`; `call`: usage or capacity.
void callEnded(std::string_view call, DutyCallOutcome);
// `brassladder_usage_windows_total{how}`; `how`: accepted, rejected or unknown.
void usageWindowClosed(std::string_view how);

// `brassladder_capacity_engines{service,what}`; `what`: standing, lasting (needed) or ahead (with headroom).
void capacity(const std::string& service, unsigned servingEngines, const std::optional<Duties::CapacityNeed>&);

std::string_view label(DutyCallOutcome);

} // namespace Brassladder::RouteServing::Gateway::DutyMetrics
