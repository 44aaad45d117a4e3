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
// `brassladder_duties_calls_total{call,outcome}`; `call`: usage or capacity.
void callEnded(std::string_view call, DutyCallOutcome);
// `brassladder_usage_windows_total{how}`; `how`: accepted, rejected or unknown.
void windowEnded(std::string_view how);

std::string_view label(DutyCallOutcome);

} // namespace Brassladder::RouteServing::Gateway::DutyMetrics
