// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Routing/PeerLoads.h"
#include "RouteServing/Routing/WorkspaceShares.h"

#include <mutex>
#include <optional>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Adds rows to a table. Rates above the range of a column are clamped.
void encodeDemands(const Routing::WorkspaceDemands&, Inner::Wire::DemandTable&);
// Logs a warning and returns nullopt if the columns have different lengths.
std::optional<Routing::WorkspaceDemands> decodeDemands(const Inner::Wire::DemandTable&);

// Exchanges what workspaces request between routers, as part of the messages of PeerExchange. A message carries the
// table at most once a second, so that its size does not grow with the exchange interval. A hub responds with a table
// to each request that carries one; earlier versions send none and receive none. Thread-safe.
class DemandExchange {
public:
    // How often a router sends its table to one receiver.
    static constexpr Common::Milliseconds sendInterval { 1000 };
    // Reports older than this are ignored: the loss of two in a row changes nothing.
    static constexpr Common::Milliseconds reportMaxAge { 3000 };
    // Rows of a table for single workspaces, 1.7 KB. The smallest workspaces beyond share one row for each service and
    // rank.
    static constexpr size_t maxRows = 128;

    explicit DemandExchange(Routing::WorkspaceShares& shares)
        : m_shares(shares)
    {
    }

    // Recomputes the shares from the last reports if they are due. Logs workspaces that have become limited or no
    // longer are.
    void step(Common::TimePoint now);

    // Adds this router's table, with those of its subscribers, if it is due.
    void addTo(Inner::Wire::KnowledgeAsk&, const std::string& hub, Common::TimePoint now);
    void addTo(Inner::Wire::HubLoads&, Common::TimePoint now); // The same message goes to all other hubs.
    // Records the table of a request, and adds that of all other routers to the response. Does nothing for hubs, which
    // exchange tables with HubLoads.
    void respond(const Inner::Mesh::Sender& subscriber, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&,
        Common::TimePoint now);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::Knowledge&, Common::TimePoint now);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::HubLoads&, Common::TimePoint now);
    // Drops the last report of a hub that does not respond.
    void forgetHub(const std::string& hub);

private:
    // Encodes the largest rows and counts what is sent.
    static void encode(Routing::WorkspaceDemands, Inner::Wire::DemandTable&);
    // The caller must hold the lock.
    void logChanges(Common::TimePoint now);
    // A router that requests snapshots has the sum of all others from one hub. The report of an earlier hub would
    // count them twice. The caller must hold the lock.
    void setSource(const std::string& hub);

    Routing::WorkspaceShares& m_shares;
    std::mutex m_mutex; // Guards the members below.
    Routing::PeerSums<Routing::WorkspaceDemands> m_sums { reportMaxAge };
    std::string m_source; // The hub whose snapshot was received last; empty at a hub.
    std::string m_askedHub; // The hub that the last table was sent to.
    std::optional<Common::TimePoint> m_asked;
    std::optional<Common::TimePoint> m_sentToHubs;
    std::optional<Common::TimePoint> m_updated;
    Common::TimePoint m_logWindow {};
    size_t m_loggedInWindow { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
