// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Routing/QuotaAssigner.h"
#include "RouteServing/Routing/SendQuotas.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Passes on, with the messages of PeerExchange, what routers know of limits that upstreams have named for all of them
// together, and who may send how much there: routers ask their hub, hubs ask the one that assigns an upstream's limit
// (Routing/QuotaAssigner.h). Adds nothing to a message while no limit is known. Safe to use from several threads.
class QuotaExchange {
public:
    // `incarnation`: of this router's process.
    QuotaExchange(Routing::SendQuotas& quotas, std::string self, uint64_t incarnation)
        : m_quotas(quotas)
        , m_self(std::move(self))
        , m_incarnation(incarnation)
    {
    }

    // A hub assigns the limits that are its own, and divides what it was given among itself and its subscribers; called
    // at each step of the exchange. `hubs`: the other hubs. `reachableShare`: of the routers of this fleet, how many
    // this one hears, in [0, 1]: parts of a fleet that is cut in two use no more of a limit than their share.
    void stepAsHub(std::span<const std::string> hubs, double reachableShare, Common::TimePoint now);
    void stepAsSubscriber(Common::TimePoint now);

    // To a hub, what this router could use; to a subscriber, what it was allowed; between hubs, both.
    void addTo(Inner::Wire::KnowledgeAsk&, const std::string& hub, Common::TimePoint now);
    void addTo(Inner::Wire::Knowledge&, const Inner::Mesh::Sender& subscriber, Common::TimePoint now);
    void addTo(Inner::Wire::HubLoads&, const std::string& hub, Common::TimePoint now);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::KnowledgeAsk&, Common::TimePoint now);
    // `requestedAt`: when the request was sent that this answers.
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::Knowledge&, Common::TimePoint requestedAt);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::HubLoads&, Common::TimePoint now);

private:
    using Key = uint32_t; // Routing::limitKey.
    // What this router has received of one other process, by upstream.
    struct Received {
        uint64_t incarnation { 0 };
        std::map<Key, uint64_t> counts;
    };
    // One upstream's limit at a hub.
    struct HubLimitState {
        Routing::QuotaOwnership ownership;
        std::string owner; // The hub that assigns the limit, as far as this one knows.
        Routing::QuotaBucket source;
        Routing::QuotaAssigner hubAssigner; // To whom the owner gives.
        Routing::QuotaPool pool; // Given to this hub.
        Routing::QuotaAssigner routerAssigner; // To whom this hub gives: its subscribers and itself.
    };

    // Another hub.
    struct HubContact {
        uint64_t incarnation { 0 };
        Common::TimePoint lastReceived {}; // Last.
    };

    bool hasKnownLimits() const { return m_quotas.isActive(); }
    void updateHubs(std::span<const std::string> hubs, Common::TimePoint now);
    std::string_view ownerOf(Key) const;
    void stepAsHub(const Routing::SendQuotas::KnownLimit&, double reachableShare, Common::TimePoint now);
    void assignLimit(HubLimitState&, const Routing::UpstreamLimit&, double reachableShare, Common::TimePoint now);
    void distributePool(Key, HubLimitState&, Common::TimePoint now);
    // Whether this router was not at work lately: what was given to it meanwhile may be too old.
    bool wasRecentlyPaused(Common::TimePoint now) const;

    Inner::Wire::QuotaTable tableFor(const std::string& receiver) const;
    static void addLimit(const Routing::SendQuotas::KnownLimit&, Inner::Wire::QuotaTable&, Common::TimePoint now);
    // Merges the limits of a table whose ages counted up to `sent`, at the latest.
    bool mergeLimits(const Inner::Wire::QuotaTable&, Common::TimePoint sent);
    uint64_t received(const std::string& from, Key) const;
    // The requests of a row that are new to this router.
    unsigned recordGranted(const Inner::Mesh::Sender&, const Inner::Wire::QuotaTable&, int row);
    Routing::QuotaAssigner::Demand demandOf(const Inner::Mesh::Sender&, const Inner::Wire::QuotaTable&, int row) const;

    Routing::SendQuotas& m_quotas;
    const std::string m_self;
    const uint64_t m_incarnation;
    std::mutex m_mutex; // Guards the rest.
    std::map<Key, HubLimitState> m_limitStates; // Empty on other routers.
    std::map<std::string, Received> m_received; // By the peer that gave.
    std::map<std::string, HubContact> m_hubContacts;
    std::vector<std::string> m_reachableHubs; // That this hub hears, itself included.
    Routing::QuotaOwnership::StableSince m_since;
    std::optional<Common::TimePoint> m_lastStep;
};

} // namespace Brassladder::RouteServing::Gateway
