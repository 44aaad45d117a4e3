// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <span>
#include <string>

// What `brassladder-ctl suspects` shows. Pure.
namespace Brassladder::Operator {

// The lists of several routers as one: of each request the entry of the router that knows most of it, the most
// suspicious first. A router knows its own crashes, and of others those of requests with two or more.
Common::Json mergeSuspects(std::span<const Common::Json> lists);
// One suspect: its state, caller, target and identity, then a line for each run that a crash ended.
std::string toText(const Common::Json& suspect);

} // namespace Brassladder::Operator
