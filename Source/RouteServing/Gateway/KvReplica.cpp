// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/KvReplica.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::UpstreamRegistry;

void KvReplica::choose(UpstreamRegistry& registry, UpstreamRegistry::PlacementRequest request, Common::TimePoint now)
{
    // A replica would load an engine that limits its requests, and the run could not continue there without a quota.
    request.excludesLimited = true;
    m_replica = registry.choose(request, now);
    if (!m_replica)
        return;
    // A run that continues from its replica needs no prefill. It counts as on time, since its caller has already
    // waited.
    m_replica->prefillTokens = 0;
    m_replica->prefixSource.reset();
    m_replica->punctuality = Routing::Punctuality::OnTime;
}

std::optional<UpstreamRegistry::Placement> KvReplica::failOver(
    const UpstreamRegistry& registry, std::string_view requestId)
{
    auto replica = std::exchange(m_replica, std::nullopt);
    // An engine in cooldown gets no request, including one that continues a run.
    if (!replica || !registry.isServing(replica->upstream.id)
        || !registry.allowsRequest(replica->upstream, Common::now()))
        return std::nullopt;
    m_source = m_headers.replicaName(replica->upstream.endpoint, requestId);
    return replica;
}

void KvReplica::addHeaders(Common::HttpClientRequest& request) const
{
    if (m_replica)
        request.headers.push_back({ m_headers.replicaTargetHeader, m_replica->upstream.endpoint.text() });
    if (!m_source.empty())
        request.headers.push_back({ m_headers.replicaSourceHeader, m_source });
}

} // namespace Brassladder::RouteServing::Gateway
