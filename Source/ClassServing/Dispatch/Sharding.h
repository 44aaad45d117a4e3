// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Model.h"
#include "ClassServing/Membership/Membership.h"

#include <string>
#include <string_view>
#include <vector>

// Slots are granted by homes and used by entries. The home of a shard schedules its slots; the entry is the router
// that received the request from its caller.
namespace Brassladder::ClassServing::Dispatch {

struct ShardKey {
    std::string pool;
    uint32_t index { 0 };
    auto operator<=>(const ShardKey&) const = default;
    std::string text() const { return pool + "/" + std::to_string(index); }
};

// Returns the number of shards of a pool with this many upstreams; at least 1.
uint32_t shardCount(const Config::Pool&, size_t upstreams);
// Returns the shard of an upstream by rendezvous hashing. A change of `count` moves few upstreams.
uint32_t shardOf(std::string_view pool, std::string_view upstream, uint32_t count);
// Returns the router that schedules the shard in this view, or an empty string if no router is alive.
std::string homeOf(const Membership::View&, const ShardKey&);
// Returns the claim router of a partition in this view, or an empty string if no router is alive.
std::string claimRouterOf(const Membership::View&, uint32_t partition);

} // namespace Brassladder::ClassServing::Dispatch
