// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PendingAsks.h"

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

// A way there and back takes at most so long, unless the other side is dead or cut off.
static constexpr Common::Milliseconds longestWay = 500ms;

void PendingAsks::askFrom(std::string source, bool asHub)
{
    if (m_source == source && m_asHub == asHub)
        return;
    m_source = std::move(source);
    m_asHub = asHub;
    m_sent.clear();
}

uint64_t PendingAsks::add(Common::TimePoint now)
{
    m_sent.emplace(++m_last, now);
    return m_last;
}

std::optional<Common::TimePoint> PendingAsks::take(std::string_view from, uint64_t number)
{
    auto found = m_sent.find(number);
    if (m_source != from || found == m_sent.end())
        return std::nullopt;
    auto sent = found->second;
    m_sent.erase(m_sent.begin(), std::next(found));
    return sent;
}

bool PendingAsks::isSilent(Common::TimePoint now) const
{
    return !m_sent.empty() && now - m_sent.begin()->second >= longestWay;
}

void LastSent::note(uint64_t version, Common::TimePoint now)
{
    m_version = version;
    m_at = now;
}

bool LastSent::mayBeUnderWay(uint64_t version, Common::TimePoint now) const
{
    return m_at && m_version == version && now - *m_at < longestWay;
}

} // namespace Brassladder::RouteServing::Gateway
