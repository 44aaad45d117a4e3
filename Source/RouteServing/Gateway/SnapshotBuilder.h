// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
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

// Builds the snapshots for a router's peers: what they requested, and news. What a peer has already, or what is in
// flight to it, is left out.
//
// Ages are read before the state: what they are sent with is then at least as new as they say. That something is sent
// is decided and noted in one step, and before it is sent: of two snapshots at once one carries it, and the end of a
// connection that carried it comes after the note. Safe to use from several threads.
class SnapshotBuilder {
public:
    struct Parts {
        const PlatformWatcher& watcher;
        const Routing::FreshnessLease& lease;
        const Routing::UpstreamRegistry& registry;
        std::mutex& mutex; // Guards the rest. The caller must not hold it.
        Routing::FleetMember& member;
        Routing::PeerLoads& loads;
        UsageExchange* usage { nullptr }; // Null where nobody reports usage. Locks itself.
        SuspectExchange* suspects { nullptr }; // Null where none are passed on. Locks itself.
        QuotaExchange& quotas; // Locks itself.
    };

    SnapshotBuilder(const Parts& parts, uint64_t incarnation)
        : m_parts(parts)
        , m_incarnation(incarnation)
    {
    }

    // The response to a request, whose loads are recorded.
    Inner::Wire::Knowledge buildResponse(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&);
    // What a subscriber should hear before it asks: that there is news, and the configuration if it lacks that.
    // `knownVersion`: what it said last.
    Inner::Wire::Knowledge buildNotification(const std::string& subscriber, uint64_t knownVersion);
    // Part of a planned stop: subscribers are told to request snapshots elsewhere.
    void leave() { m_isLeaving = true; }

private:
    // Whether the whole fleet is known.
    bool recordSender(const Inner::Mesh::Sender&, const Inner::Wire::KnowledgeAsk&, Common::TimePoint now);
    void addRoster(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    void addConfiguration(const std::string& peer, uint64_t knownVersion, Inner::Wire::Knowledge&);
    void addUpstreams(const std::string& peer, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    std::shared_ptr<const std::string> packedUpstreams(uint64_t digest);
    void addLoads(const std::string& peer, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    void addUsage(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    // Hubs tell each other instead.
    void addSuspects(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    // Hubs tell each other instead.
    void addQuotas(const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&);
    std::shared_ptr<const std::string> packedConfiguration(const Configuration&);

    Parts m_parts;
    const uint64_t m_incarnation; // Of this router's process.
    std::atomic<bool> m_isLeaving { false };
    std::mutex m_packedMutex; // Guards the next four.
    uint64_t m_packedConfigurationVersion { 0 }; // Of the configuration in `m_packedConfiguration`.
    std::shared_ptr<const std::string> m_packedConfiguration;
    uint64_t m_packedUpstreamsDigest { 0 }; // Of the list in `m_packedUpstreams`.
    std::shared_ptr<const std::string> m_packedUpstreams;
};

} // namespace Brassladder::RouteServing::Gateway
