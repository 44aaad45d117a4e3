// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Frontend/RequestContext.h"

namespace Brassladder::ClassServing::Frontend {

// A granted slot, its shard and its upstream.
struct PlacedSlot {
    Dispatch::Slot slot;
    Dispatch::ShardKey shard;
    Membership::Upstream upstream;
};

// Chooses a shard for a request and acquires a slot from the shard's home. Thread-safe.
class SlotPlacement {
public:
    SlotPlacement(Dispatch::GrantClient& grants, Membership::Table& membership)
        : m_grants(grants)
        , m_membership(membership)
    {
    }

    // `pinned`: the upstream that holds the paused generation, or empty. `avoid`: the upstream of the last failed
    // attempt, or empty. Returns the errors of GrantClient::acquire; without `pinned` also UpstreamRefused if the
    // granted upstream is unlisted or leaving, with `pinned` also UpstreamLostState if it is unlisted. Suspends the
    // calling fiber.
    Common::Result<PlacedSlot> place(RequestContext&, const std::string& pinned, const std::string& avoid);
    void release(const PlacedSlot&, Scheduling::SlotOutcome, uint32_t tokens, Common::Duration perToken);

private:
    Dispatch::ShardKey chooseShard(const RequestContext&, const std::string& pinned);

    Dispatch::GrantClient& m_grants;
    Membership::Table& m_membership;
};

} // namespace Brassladder::ClassServing::Frontend
