// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// The second engine of one request, which receives a replica of the run's KV cache while the cache grows. If the first
// engine fails, the same run continues at the second one after the last whole event. The request does not run twice, so
// once-only requests may have a replica as well. Routing/ReplicaPolicy.h decides which runs get a replica.
class KvReplica {
public:
    explicit KvReplica(const UpstreamHeaders& headers)
        : m_headers(headers)
    {
    }

    // Chooses the engine that receives the replica of the next attempt. The attempt has no replica if no other engine
    // is available. `attempted` of the placement request must include the engine of the attempt itself.
    void choose(Routing::UpstreamRegistry&, Routing::UpstreamRegistry::PlacementRequest, Common::TimePoint now);

    // Clears the replica: the next attempt has none.
    void drop() { m_replica.reset(); }

    // Returns where the run continues after its engine failed; nullopt if there is no replica, or if the replica's
    // engine is leaving or in cooldown.
    std::optional<Routing::UpstreamRegistry::Placement> failOver(
        const Routing::UpstreamRegistry&, std::string_view requestId);
    // Sets the name of the copy of the KV cache that the next attempt continues from; empty if it continues from none.
    void setSource(std::string name) { m_source = std::move(name); }

    // Adds the headers of the next attempt: the target of its replica, and the replica that it continues from.
    void addHeaders(Common::HttpClientRequest&) const;

private:
    const UpstreamHeaders& m_headers;
    std::optional<Routing::UpstreamRegistry::Placement> m_replica; // Of the attempt in flight.
    std::string m_source; // Name of the copy that the run continues from; empty if there is none.
};

} // namespace Brassladder::RouteServing::Gateway
