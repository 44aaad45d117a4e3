// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/KvReplica.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::UpstreamRegistry;

void KvReplica::choose(UpstreamRegistry& registry, UpstreamRegistry::PlacementRequest need, Common::TimePoint now)
{
    m_holder = registry.choose(need, now);
    if (m_holder)
        m_holder->prefillTokens = 0;
}

std::optional<UpstreamRegistry::Placement> KvReplica::failOver(const UpstreamRegistry& registry)
{
    auto holder = std::exchange(m_holder, std::nullopt);
    if (!holder || !registry.isServing(holder->upstream.id))
        return std::nullopt;
    m_source = holder->upstream.endpoint;
    return holder;
}

void KvReplica::addHeaders(Common::HttpClientRequest& call, std::string_view requestId) const
{
    if (m_holder)
        call.headers.push_back({ m_words.replicaTargetHeader, m_holder->upstream.endpoint.text() });
    if (m_source)
        call.headers.push_back({ m_words.replicaSourceHeader, m_words.replicaName(*m_source, requestId) });
}

} // namespace Brassladder::RouteServing::Gateway
