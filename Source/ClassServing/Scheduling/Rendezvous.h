// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Brassladder::ClassServing::Scheduling {

// Chooses among the nodes by rendezvous hashing: all who see the same nodes choose the same one, and a node that comes
// or goes moves only its own part. Empty when there are no nodes.
std::string rendezvous(std::span<const std::string> nodes, std::string_view subject);

} // namespace Brassladder::ClassServing::Scheduling
