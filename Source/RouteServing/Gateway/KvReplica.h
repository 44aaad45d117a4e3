// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// A second engine that is sent the memory of a run while it grows. When the first engine breaks off, the same run goes
// on at the second one after its last whole event; it is no second run, so this also serves requests that may run only
// once. Belongs to one request.
class KvReplica {
public:
    explicit KvReplica(const UpstreamHeaders& words)
        : m_words(words)
    {
    }

    // Picks the second engine for a run that is about to be sent to `chosen`; none when no other engine may take it.
    // `tried` holds the engines that had the request, `chosen` included.
    void choose(Routing::UpstreamRegistry&, Routing::UpstreamRegistry::PlacementRequest, Common::TimePoint now);

    // No copy is kept of what is sent next.
    void drop() { m_holder.reset(); }

    // The first engine broke off: the engine where the run goes on. None when there is no backup or it is leaving.
    std::optional<Routing::UpstreamRegistry::Placement> failOver(const Routing::UpstreamRegistry&);

    // What the next call has to say: where the copy is to be kept, and which copy the run goes on from.
    void addHeaders(Common::HttpClientRequest&, std::string_view requestId) const;

private:
    const UpstreamHeaders& m_words;
    std::optional<Routing::UpstreamRegistry::Placement> m_holder; // Keeps the copy of the run under way.
    std::optional<Common::Endpoint> m_source; // The run goes on from the copy kept there.
};

} // namespace Brassladder::RouteServing::Gateway
