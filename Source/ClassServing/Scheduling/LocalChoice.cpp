// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/LocalChoice.h"

namespace Brassladder::ClassServing::Scheduling {

std::string LocalChoice::choose(std::span<const Candidate> candidates)
{
    if (candidates.empty())
        return {};
    if (m_placement == Placement::RoundRobin)
        return candidates[m_next++ % candidates.size()].id;
    std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
    const auto& first = candidates[any(m_random)];
    const auto& second = candidates[any(m_random)];
    return second.reportedLoad < first.reportedLoad ? second.id : first.id;
}

} // namespace Brassladder::ClassServing::Scheduling
