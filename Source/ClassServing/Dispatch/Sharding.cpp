// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Dispatch/Sharding.h"

#include "ClassServing/Scheduling/Rendezvous.h"

namespace Brassladder::ClassServing::Dispatch {

uint32_t shardCount(const Config::Pool& pool, size_t upstreams)
{
    auto count = (upstreams + pool.shardSize - 1) / pool.shardSize;
    return static_cast<uint32_t>(std::max<size_t>(1, count));
}

uint32_t shardOf(std::string_view pool, std::string_view upstream, uint32_t count)
{
    if (count == 1)
        return 0;
    std::vector<std::string> shards;
    for (uint32_t index = 0; index < count; ++index)
        shards.push_back(ShardKey { std::string(pool), index }.text());
    auto chosen = Scheduling::rendezvous(shards, upstream);
    return static_cast<uint32_t>(std::find(shards.begin(), shards.end(), chosen) - shards.begin());
}

std::string homeOf(const Membership::View& view, const ShardKey& shard)
{
    return Scheduling::rendezvous(view.routers, "shard/" + shard.text());
}

std::string claimRouterOf(const Membership::View& view, uint32_t partition)
{
    return Scheduling::rendezvous(view.routers, "claims/" + std::to_string(partition));
}

} // namespace Brassladder::ClassServing::Dispatch
