// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <span>
#include <string>

// Output of `brassladder-ctl suspects`. Pure functions.
namespace Brassladder::Operator {

// Merges the lists of several routers. Keeps for each suspect the entry with the most evidence (consecutive crashes,
// then all crashes, then trials) and sorts by it, most first. A router lists its own crashes, and those of other
// routers only for requests with two or more crashes.
Common::Json mergeSuspects(std::span<const Common::Json> lists);
// Formats one suspect: its identity, state, crash counts, workspace, target and body size, then one line for each
// crash.
std::string toText(const Common::Json& suspect);

} // namespace Brassladder::Operator
