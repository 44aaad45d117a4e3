// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RetryWindow.h"

namespace Brassladder::RouteServing::Routing {

// The share of the ratio that is used. The rest is a margin, because the windows of different routers are not aligned.
static constexpr double ratioSafetyFactor = 0.9;
// The share of the fleet's allowance that is used. The rest is a margin for routers that have just started and do not
// have the complete roster yet.
static constexpr double allowanceSafetyFactor = 0.8;

double retryAllowanceShare(double fleetAllowance, size_t routers)
{
    return fleetAllowance * allowanceSafetyFactor / static_cast<double>(routers);
}

Common::TimePoint retryAllowanceStart(Common::TimePoint started, Common::Milliseconds window)
{
    return started + window;
}

RetryWindow::RetryWindow(Bounds bounds)
    : m_bounds(bounds)
{
}

int64_t RetryWindow::sliceNumber(Common::TimePoint now) const
{
    return Common::toMilliseconds(now.time_since_epoch()).count() * static_cast<int64_t>(sliceCount - 1)
        / m_bounds.window.count();
}

RetryWindow::Slice& RetryWindow::slice(Common::TimePoint now)
{
    auto number = sliceNumber(now);
    auto& found = m_slices[static_cast<size_t>(number) % sliceCount];
    if (found.number != number)
        found = { number, 0, 0 };
    return found;
}

void RetryWindow::setAllowance(double allowance)
{
    std::lock_guard lock(m_mutex);
    m_bounds.allowance = allowance;
}

void RetryWindow::countRequest(Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    ++slice(now).requests;
}

bool RetryWindow::takeRetry(Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto& current = slice(now);
    auto oldest = sliceNumber(now) - static_cast<int64_t>(sliceCount - 1);
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (const auto& each : m_slices) {
        if (each.number < oldest)
            continue;
        retries += each.retries;
        if (each.number > oldest)
            requests += each.requests;
    }
    if (retries + 1 > m_bounds.ratio * ratioSafetyFactor * requests + m_bounds.allowance)
        return false;
    ++current.retries;
    return true;
}

} // namespace Brassladder::RouteServing::Routing
