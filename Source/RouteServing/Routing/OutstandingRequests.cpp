// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/OutstandingRequests.h"

namespace Brassladder::RouteServing::Routing {

void OutstandingRequests::setTarget(std::string target, bool asHub)
{
    if (m_target == target && m_asHub == asHub)
        return;
    m_target = std::move(target);
    m_asHub = asHub;
    m_sent.clear();
}

std::optional<uint64_t> OutstandingRequests::add(std::string_view target, bool asHub, Common::TimePoint now)
{
    if (m_target != target || m_asHub != asHub)
        return std::nullopt;
    m_sent.emplace(++m_last, now);
    return m_last;
}

std::optional<Common::TimePoint> OutstandingRequests::complete(std::string_view from, uint64_t number)
{
    auto found = m_sent.find(number);
    if (m_target != from || found == m_sent.end())
        return std::nullopt;
    auto sent = found->second;
    m_sent.erase(m_sent.begin(), std::next(found));
    return sent;
}

bool OutstandingRequests::isOverdue(Common::TimePoint now) const
{
    return !m_sent.empty() && now - m_sent.begin()->second >= m_responseTimeout;
}

std::optional<Common::Milliseconds> OutstandingRequests::untilOverdue(Common::TimePoint now) const
{
    if (m_sent.empty())
        return std::nullopt;
    auto remaining = m_sent.begin()->second + m_responseTimeout - now;
    return std::max(Common::Milliseconds(0), std::chrono::ceil<Common::Milliseconds>(remaining));
}

bool LastSentVersion::beginSend(uint64_t version, Common::TimePoint now)
{
    bool isInFlight = m_at && m_version == version && now - *m_at < m_lostAfter;
    if (isInFlight)
        return false;
    m_version = version;
    m_at = now;
    return true;
}

} // namespace Brassladder::RouteServing::Routing
