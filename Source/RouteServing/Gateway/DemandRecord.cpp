// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/DemandRecord.h"

#include <utility>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::TimePoint;

static bool meansLackOfCapacity(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::NoCapacity:
    case ErrorKind::QueueFull:
    case ErrorKind::DeadlineUnreachable:
    case ErrorKind::WaitExpired:
    case ErrorKind::UpstreamRefused:
    case ErrorKind::UpstreamsResting:
    case ErrorKind::UpstreamsLimited:
        return true;
    default:
        return false;
    }
}

Routing::WorkspaceShares::Work DemandRecord::work() const { return { m_service, m_workspace, m_rank, m_tokens }; }

void DemandRecord::recordArrival(
    std::string service, std::string workspace, size_t rank, const Routing::Prompt& prompt, TimePoint now)
{
    if (!m_shares)
        return;
    m_service = std::move(service);
    m_workspace = std::move(workspace);
    m_rank = static_cast<unsigned>(rank);
    m_tokens = Routing::demandTokens(prompt);
    if (m_tokens)
        m_shares->recordDemand(work(), now);
}

void DemandRecord::recordAdmitted(TimePoint now)
{
    if (!m_tokens || std::exchange(m_isAdmitted, true))
        return;
    m_shares->recordAdmitted(work(), now);
}

void DemandRecord::recordRefused(ErrorKind kind, TimePoint now)
{
    if (!m_tokens || !meansLackOfCapacity(kind))
        return;
    if (std::exchange(m_isAdmitted, false))
        m_shares->withdrawAdmitted(work(), now);
    m_shares->recordRefused(work(), now);
}

} // namespace Brassladder::RouteServing::Gateway
