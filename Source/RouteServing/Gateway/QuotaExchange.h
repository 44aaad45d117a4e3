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

// Exchanges upstream limits and send quotas between routers, as part of the messages of PeerExchange. A limit applies
// to all routers together. Routers request quotas from their hub, and hubs request them from the hub that assigns the
// limit of the upstream (Routing/QuotaAssigner.h). Adds nothing to a message while no limit is known. Thread-safe.
class QuotaExchange {
public:
    // `incarnation` identifies this router's process.
    QuotaExchange(Routing::SendQuotas& quotas, std::string self, uint64_t incarnation)
        : m_quotas(quotas)
        , m_self(std::move(self))
        , m_incarnation(incarnation)
    {
    }

    // Performs one step of the exchange at a hub: assigns the limits that this hub owns, and divides the quotas that it
    // was granted between itself and its subscribers. `hubs` are the other hubs. `reachableShare` is the share of the
    // fleet's routers that this hub receives loads from, in [0, 1]. It scales the limit, so the parts of a partitioned
    // fleet do not exceed the limit together.
    void stepAsHub(std::span<const std::string> hubs, double reachableShare, Common::TimePoint now);
    void stepAsSubscriber(Common::TimePoint now);

    // Adds the quota table to a message: a request carries the wanted numbers, a snapshot the granted totals, and a
    // message between hubs both.
    void addTo(Inner::Wire::KnowledgeAsk&, const std::string& hub, Common::TimePoint now);
    void addTo(Inner::Wire::Knowledge&, const Inner::Mesh::Sender& subscriber, Common::TimePoint now);
    void addTo(Inner::Wire::HubLoads&, const std::string& hub, Common::TimePoint now);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::KnowledgeAsk&, Common::TimePoint now);
    // `requestedAt` is the time when the request was sent that this snapshot answers.
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::Knowledge&, Common::TimePoint requestedAt);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::HubLoads&, Common::TimePoint now);

private:
    using Key = uint32_t; // Routing::statementKey.
    // Total quotas received from one process, by upstream. A hub also receives quotas from itself.
    struct Received {
        uint64_t incarnation { 0 };
        std::map<Key, uint64_t> counts;
    };
    // The state of one upstream's limit at a hub.
    struct HubLimitState {
        Routing::QuotaOwnership ownership;
        std::string owner; // The hub that assigns the limit, according to this hub.
        Routing::QuotaBucket bucket;
        Routing::QuotaAssigner hubAssigner; // Used by the owner: grants quotas to hubs.
        Routing::QuotaPool pool; // Granted to this hub and not passed on yet.
        Routing::QuotaAssigner routerAssigner; // Grants quotas to this hub and its subscribers.
    };

    // Process and last message of another hub.
    struct HubContact {
        uint64_t incarnation { 0 };
        Common::TimePoint lastReceived {};
    };

    bool hasKnownLimits() const { return m_quotas.isActive(); }
    void updateHubs(std::span<const std::string> hubs, Common::TimePoint now);
    std::string_view ownerOf(Key) const;
    void stepAsHub(const Routing::SendQuotas::KnownLimit&, double reachableShare, Common::TimePoint now);
    void assignLimit(HubLimitState&, double requestsPerSecond, double reachableShare, Common::TimePoint now);
    void distributePool(Key, HubLimitState&, Common::TimePoint now);
    // Whether this process was paused recently. Quotas that were granted to it during the pause may have expired.
    bool wasRecentlyPaused(Common::TimePoint now) const;

    Inner::Wire::QuotaTable tableFor(const std::string& receiver) const;
    static void addLimit(const Routing::SendQuotas::KnownLimit&, Inner::Wire::QuotaTable&, Common::TimePoint now);
    // Merges the limits of a table. Its ages are relative to `sent`, the earliest time at which the table may have been
    // sent. Returns false if the table is malformed.
    bool mergeLimits(const Inner::Wire::QuotaTable&, Common::TimePoint sent);
    uint64_t received(const std::string& from, Key) const;
    // Records the granted total of a row, and returns how many of these requests were not received before.
    unsigned recordGranted(const Inner::Mesh::Sender&, const Inner::Wire::QuotaTable&, int row);
    Routing::QuotaAssigner::Demand demandOf(const Inner::Mesh::Sender&, const Inner::Wire::QuotaTable&, int row) const;

    Routing::SendQuotas& m_quotas;
    const std::string m_self;
    const uint64_t m_incarnation;
    std::mutex m_mutex; // Guards the members below.
    std::map<Key, HubLimitState> m_limitStates; // Cleared at each step if this router is not a hub.
    std::map<std::string, Received> m_received; // By the id of the granting router, which may be this one.
    std::map<std::string, HubContact> m_hubContacts;
    std::vector<std::string> m_reachableHubs; // Hubs that sent a message recently, and this hub.
    Routing::QuotaOwnership::StableSince m_stableSince;
    std::optional<Common::TimePoint> m_lastStep;
};

} // namespace Brassladder::RouteServing::Gateway
