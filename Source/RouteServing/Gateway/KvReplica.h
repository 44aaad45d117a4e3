// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <optional>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// The second engine of one request, which gets a replica of the run's KV cache as it grows. When the first engine
// breaks off, the same run goes on at the second one after its last whole event. That is no second run, so it also
// serves requests that must run only once. When a run gets a replica is decided by Routing/ReplicaPolicy.h.
class KvReplica {
public:
    explicit KvReplica(const UpstreamHeaders& headers)
        : m_headers(headers)
    {
    }

    // Chooses the engine for the replica of the next attempt; none when no other engine may take it. `attempted` of the
    // request holds the engine of that attempt as well.
    void choose(Routing::UpstreamRegistry&, Routing::UpstreamRegistry::PlacementRequest, Common::TimePoint now);

    // The next attempt has no replica.
    void drop() { m_replica.reset(); }

    // The first engine broke off: where the run goes on. None when there is no replica, or its engine is leaving
    // or rests.
    std::optional<Routing::UpstreamRegistry::Placement> failOver(const Routing::UpstreamRegistry&);

    // Adds what the next attempt must state: where its replica goes, and the replica that it continues from.
    void addHeaders(Common::HttpClientRequest&, std::string_view requestId) const;

private:
    const UpstreamHeaders& m_headers;
    std::optional<Routing::UpstreamRegistry::Placement> m_replica; // Of the attempt under way.
    std::optional<Common::Endpoint> m_source; // The engine whose replica the run continues from.
};

} // namespace Brassladder::RouteServing::Gateway
