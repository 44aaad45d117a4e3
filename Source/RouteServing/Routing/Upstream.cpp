// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Upstream.h"

#include "Common/Digest.h"

namespace Brassladder::RouteServing::Routing {

uint32_t shortHash(std::string_view upstreamId) { return static_cast<uint32_t>(Common::stableHash(upstreamId)); }

void addLoads(LoadsByUpstream& sum, const LoadsByUpstream& more)
{
    for (const auto& [upstream, load] : more) {
        auto& total = sum[upstream];
        total.requests += load.requests;
        total.decodeHeavy += load.decodeHeavy;
        total.prefillTokens += load.prefillTokens;
        total.prefillRate += load.prefillRate;
        total.unratedPrefillTokens += load.unratedPrefillTokens;
        total.waiting += load.waiting;
    }
}

} // namespace Brassladder::RouteServing::Routing
