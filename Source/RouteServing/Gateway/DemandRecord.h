// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "RouteServing/Routing/WorkspaceShares.h"

#include <string>

namespace Brassladder::RouteServing::Gateway {

// Records what one generation requests and whether it is admitted, once for all its attempts. Records nothing without
// recordArrival(), so requests to plain services do not count.
class DemandRecord {
public:
    // `shares` is null if shares are not computed.
    explicit DemandRecord(Routing::WorkspaceShares* shares)
        : m_shares(shares)
    {
    }

    void recordArrival(
        std::string service, std::string workspace, size_t rank, const Routing::Prompt&, Common::TimePoint now);
    // Called when an attempt begins.
    void recordAdmitted(Common::TimePoint now);
    // Called when the router refuses the request. Counts it as refused if the kind means a lack of capacity.
    void recordRefused(Common::ErrorKind, Common::TimePoint now);

private:
    Routing::WorkspaceShares::Work work() const;

    Routing::WorkspaceShares* m_shares;
    std::string m_service;
    std::string m_workspace;
    unsigned m_rank { 0 };
    uint64_t m_tokens { 0 }; // 0 until the arrival is recorded.
    bool m_isAdmitted { false };
};

} // namespace Brassladder::RouteServing::Gateway
