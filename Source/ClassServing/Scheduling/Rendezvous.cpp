// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/Rendezvous.h"

#include "Common/Digest.h"

namespace Brassladder::ClassServing::Scheduling {

std::string rendezvous(std::span<const std::string> nodes, std::string_view subject)
{
    const std::string* best = nullptr;
    uint64_t bestScore = 0;
    uint64_t seed = Common::stableHash(subject);
    for (const auto& node : nodes) {
        uint64_t score = Common::stableHash(node, seed);
        if (!best || score > bestScore || (score == bestScore && node < *best)) {
            best = &node;
            bestScore = score;
        }
    }
    return best ? *best : std::string();
}

} // namespace Brassladder::ClassServing::Scheduling
