// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Gateway/DemandExchange.h"
#include "RouteServing/Gateway/FragilityExchange.h"
#include "RouteServing/Gateway/PaceExchange.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Gateway/QueueExchange.h"
#include "RouteServing/Gateway/QuotaExchange.h"
#include "RouteServing/Gateway/SuspectExchange.h"
#include "RouteServing/Gateway/UsageExchange.h"
#include "RouteServing/Routing/FleetMember.h"
#include "RouteServing/Routing/PeerLoads.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Builds the snapshots for a router's peers: responses to requests, and notifications of changes. Omits what the peer
// already has and what is in flight to it.
//
// Reads each age before the state that it describes, so the state is at least as recent as the age says. Marks the
// configuration, the list of upstreams and the roster as sent while it holds the lock, before the snapshot is sent.
// Therefore only one of two concurrent snapshots carries them. If the connection ends after sending, the mark is
// already set, and the disconnect handler removes it. Thread-safe.
class SnapshotBuilder {
public:
    struct Parts {
        const PlatformWatcher& watcher;
        const Routing::FreshnessLease& lease;
        const Routing::UpstreamRegistry& registry;
        std::mutex& mutex; // Guards `member` and `loads`. Must not be held when this class is called.
        Routing::FleetMember& member;
        Routing::PeerLoads& loads;
        UsageExchange* usage { nullptr }; // Null if usage is not reported. Thread-safe.
        SuspectExchange* suspects { nullptr }; // Null if suspects are not exchanged. Thread-safe.
        QuotaExchange& quotas; // Thread-safe.
        FragilityExchange& fragility; // Thread-safe.
        PaceExchange& paces; // Thread-safe.
        DemandExchange* demands { nullptr }; // Null if demands of workspaces are not exchanged. Thread-safe.
        QueueExchange* queues { nullptr }; // Null if outstanding generations are not exchanged. Thread-safe.
    };

    SnapshotBuilder(const Parts& parts, uint64_t incarnation)
        : m_parts(parts)
        , m_incarnation(incarnation)
    {
    }

    // Builds the response to a request, and records the loads, usage, suspects and quotas that the request carries.
    Inner::Wire::Knowledge buildResponse(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&);
    // Builds a notification of a change, with the configuration if the subscriber has an older version. `knownVersion`
    // is the version in the subscriber's last request.
    Inner::Wire::Knowledge buildNotification(const std::string& subscriber, uint64_t knownVersion);
    // Called in a planned stop. Later snapshots carry the leaving flag, and subscribers switch to another hub.
    void leave() { m_isLeaving = true; }

private:
    // Records the sender's state and returns whether this router has the complete roster. The caller must hold the
    // lock.
    bool recordSender(const Inner::Mesh::Sender&, const Inner::Wire::KnowledgeAsk&, Common::TimePoint now);
    void addRoster(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    void addConfiguration(const std::string& peer, uint64_t knownVersion, Inner::Wire::Knowledge&);
    void addUpstreams(const std::string& peer, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    std::shared_ptr<const std::string> packedUpstreams(uint64_t digest, bool hasVersions);
    void addLoads(const std::string& peer, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    void addUsage(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    // Does nothing for hubs, which exchange suspects with HubLoads.
    void addSuspects(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    // Does nothing for hubs, which exchange quotas with HubLoads.
    void addQuotas(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    // Does nothing for hubs, which exchange queues with HubLoads.
    void addQueues(const std::string& peer, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    std::shared_ptr<const std::string> packedConfiguration(const Configuration&);

    Parts m_parts;
    const uint64_t m_incarnation; // Of this router's process.
    std::atomic<bool> m_isLeaving { false };
    std::mutex m_packedMutex; // Guards the members below.
    uint64_t m_packedConfigurationVersion { 0 }; // Of the configuration in `m_packedConfiguration`.
    std::shared_ptr<const std::string> m_packedConfiguration;
    uint64_t m_packedUpstreamsDigest { 0 }; // Of the list in `m_packedUpstreams`.
    bool m_packedHasVersions { false }; // Whether that list states software versions.
    std::shared_ptr<const std::string> m_packedUpstreams;
};

} // namespace Brassladder::RouteServing::Gateway
