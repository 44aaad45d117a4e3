// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Routing/FleetQueues.h"

#include <string>

namespace Brassladder::RouteServing::Gateway {

// Exchanges the outstanding generations of routers by service and urgency, as part of the messages of PeerExchange. A
// message without a table is from an earlier version of the router and changes nothing. Thread-safe.
class QueueExchange {
public:
    explicit QueueExchange(Routing::FleetQueues& queues)
        : m_queues(queues)
    {
    }

    // Add the table of the routers that this one reports for. Hubs use HubLoads instead of KnowledgeAsk.
    void addTo(Inner::Wire::KnowledgeAsk&, const std::string& hub, Common::TimePoint now) const;
    void addTo(Inner::Wire::HubLoads&, Common::TimePoint now) const;
    // Adds the table of all other routers.
    void addTo(Inner::Wire::Knowledge&, const std::string& subscriber, Common::TimePoint now) const;
    void receive(const std::string& from, const Inner::Wire::KnowledgeAsk&, Common::TimePoint now);
    void receive(const std::string& from, const Inner::Wire::HubLoads&, Common::TimePoint now);
    void receive(const std::string& from, const Inner::Wire::Knowledge&, Common::TimePoint now);

private:
    Routing::FleetQueues& m_queues;
};

// Returns an empty table if the columns differ in length.
Routing::LoadsByQueue decodeQueues(const Inner::Wire::QueueTable&);
void encodeQueues(const Routing::LoadsByQueue&, Inner::Wire::QueueTable&);

} // namespace Brassladder::RouteServing::Gateway
