// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Brassladder::ClassServing::Scheduling {

// Selects a node for the subject by rendezvous hashing. The result depends only on the set of nodes. A node that is
// added or removed moves only its own subjects. Returns an empty string if there are no nodes.
std::string rendezvous(std::span<const std::string> nodes, std::string_view subject);

} // namespace Brassladder::ClassServing::Scheduling
