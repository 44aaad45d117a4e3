// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Routing/RevisionCursor.h"
#include "RouteServing/Routing/Roster.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <map>
#include <mutex>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Exchanges suspects between routers in the messages of PeerExchange. Each router sends all its suspects to its hub,
// and hubs send all of theirs to each other. A hub sends other routers only suspects with at least two crashes, because
// one crash of an engine creates up to 64 suspects, of which only one matters to the whole fleet. Thread-safe.
class SuspectExchange {
public:
    // `incarnation`: identifies the process of this router.
    SuspectExchange(Routing::SuspectLedger& ledger, uint64_t incarnation)
        : m_ledger(ledger)
        , m_incarnation(incarnation)
    {
    }

    // Adds the changes that the peer lacks, and the revision up to which this router has the peer's suspects. Works for
    // any message with these fields.
    template <typename Message>
    void addTo(Message& message, const std::string& peer, Routing::SuspectLedger::Scope scope)
    {
        if (!addChanges(peer, scope, *message.mutable_suspects()))
            message.clear_suspects();
        auto position = received(peer);
        if (!position.revision)
            return;
        message.set_suspects_received(position.revision);
        message.set_suspects_received_from(position.incarnation);
    }
    template <typename Message> void receive(const Inner::Mesh::Sender& from, const Message& message)
    {
        if (message.has_suspects())
            merge(from, message.suspects());
        acknowledge(from.id, message.suspects_received_from(), message.suspects_received());
    }
    // Must be called when the connection to the peer has ended: unacknowledged changes are sent again.
    void forgetSent(const std::string& peer);

private:
    bool addChanges(const std::string& peer, Routing::SuspectLedger::Scope, Inner::Wire::SuspectTable&);
    void merge(const Inner::Mesh::Sender&, const Inner::Wire::SuspectTable&);
    void acknowledge(const std::string& peer, uint64_t incarnation, uint64_t revision);
    Routing::RosterPosition received(const std::string& peer) const;

    Routing::SuspectLedger& m_ledger;
    const uint64_t m_incarnation;
    mutable std::mutex m_mutex; // Guards the members below.
    std::map<std::string, Routing::RevisionCursor> m_sent; // By peer.
    std::map<std::string, Routing::RosterPosition> m_received; // By peer.
};

} // namespace Brassladder::RouteServing::Gateway
