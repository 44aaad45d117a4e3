// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Model.h"
#include "ClassServing/Membership/Membership.h"

#include <string>
#include <string_view>
#include <vector>

// The two sides of granting: the home, which schedules a shard, and the entry, which asks for slots.
namespace Brassladder::ClassServing::Dispatch {

struct ShardKey {
    std::string pool;
    uint32_t index { 0 };
    auto operator<=>(const ShardKey&) const = default;
    std::string text() const { return pool + "/" + std::to_string(index); }
};

// How many shards a pool of this many upstreams is divided into.
uint32_t shardCount(const Config::Pool&, size_t upstreams);
// The shard of an upstream, by rendezvous hashing, so that a change of the count moves few upstreams.
uint32_t shardOf(std::string_view pool, std::string_view upstream, uint32_t count);
// The router that schedules the shard, in this view; empty when no router is alive.
std::string homeOf(const Membership::View&, const ShardKey&);
// The claim router of a partition, in this view.
std::string claimRouterOf(const Membership::View&, uint32_t partition);

} // namespace Brassladder::ClassServing::Dispatch
