// SPDX-License-Identifier: Apache-2.0
#include "Routing/LapseGrace.h"

#include <algorithm>

namespace Brassladder::Routing {

using namespace std::chrono_literals;

// The users' platform says that entries are back within about two seconds of the store's return. A store that was away
// for less than that lets no entry run out.
static constexpr Common::Milliseconds grace = 2000ms;

void LapseGrace::regained(Common::TimePoint lastReading, Common::TimePoint now)
{
    if (now - lastReading >= grace)
        m_until = now + grace;
}

std::vector<UpstreamRecord> LapseGrace::fill(
    std::vector<UpstreamRecord> listed, std::span<const UpstreamRecord> known, Common::TimePoint now) const
{
    if (!m_until || now >= *m_until)
        return listed;
    auto isListed = [&](const UpstreamRecord& record) {
        return std::any_of(listed.begin(), listed.end(), [&](const auto& other) { return other.id == record.id; });
    };
    std::vector<UpstreamRecord> missing;
    std::copy_if(
        known.begin(), known.end(), std::back_inserter(missing), [&](const auto& record) { return !isListed(record); });
    std::move(missing.begin(), missing.end(), std::back_inserter(listed));
    return listed;
}

bool LapseGrace::takeEnd(Common::TimePoint now)
{
    if (!m_until || now < *m_until)
        return false;
    m_until.reset();
    return true;
}

} // namespace Brassladder::Routing
