// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

namespace Brassladder::RouteServing::Gateway {

// Exchanges what upstreams state about the rejections that they tolerate, as part of the messages of PeerExchange. Each
// router sends all that it knows, and times only increase, so lost or repeated messages cause no error. Adds nothing to
// a message while no upstream has stated anything. Thread-safe.
class FragilityExchange {
public:
    explicit FragilityExchange(Routing::UpstreamRegistry& registry)
        : m_registry(registry)
    {
    }

    // Removes expired statements. Called at each interval of the exchange.
    void step(Common::TimePoint now) { m_registry.fragile().evictExpired(now); }

    template <typename Message> void addTo(Message& message, Common::TimePoint now) const
    {
        if (m_registry.fragile().isActive())
            encode(*message.mutable_fragile(), now);
    }
    // `sent`: the earliest time at which the message may have been sent, which its ages are relative to.
    template <typename Message> void receive(const Message& message, Common::TimePoint sent) const
    {
        if (message.has_fragile())
            merge(message.fragile(), sent);
    }

private:
    void encode(Inner::Wire::FragilityTable&, Common::TimePoint now) const;
    void merge(const Inner::Wire::FragilityTable&, Common::TimePoint sent) const;

    Routing::UpstreamRegistry& m_registry;
};

} // namespace Brassladder::RouteServing::Gateway
