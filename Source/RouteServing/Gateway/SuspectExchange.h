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

// Passes suspects on with the messages of PeerExchange: each router tells its hub all that it saw, hubs tell each other
// all, and a hub tells the routers that ask it those with two crashes or more: a crash of an engine makes up to 64
// suspects, of which one needs to be known everywhere. Safe to use from several threads.
class SuspectExchange {
public:
    // `incarnation`: of this router's process.
    SuspectExchange(Routing::SuspectLedger& ledger, uint64_t incarnation)
        : m_ledger(ledger)
        , m_incarnation(incarnation)
    {
    }

    // Adds what the peer lacks, and up to where this router has the peer's; to any message that has these fields.
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
    // The connection to the peer has ended.
    void forgetSent(const std::string& peer);

private:
    bool addChanges(const std::string& peer, Routing::SuspectLedger::Scope, Inner::Wire::SuspectTable&);
    void merge(const Inner::Mesh::Sender&, const Inner::Wire::SuspectTable&);
    void acknowledge(const std::string& peer, uint64_t ofProcess, uint64_t revision);
    Routing::RosterPosition received(const std::string& peer) const;

    Routing::SuspectLedger& m_ledger;
    const uint64_t m_incarnation;
    mutable std::mutex m_mutex; // Guards the rest.
    std::map<std::string, Routing::RevisionCursor> m_sent; // By peer.
    std::map<std::string, Routing::RosterPosition> m_received; // By peer.
};

} // namespace Brassladder::RouteServing::Gateway
