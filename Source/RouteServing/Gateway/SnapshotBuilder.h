// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Routing/PeerDirectory.h"

#include <memory>
#include <mutex>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Adds to a snapshot what a peer lacks. What it has already, or what is in flight to it, is left out.
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
        std::mutex& mutex; // Guards `peers`. The caller must not hold it.
        Routing::PeerDirectory& peers;
    };

    explicit SnapshotBuilder(const Parts& parts)
        : m_parts(parts)
    {
    }

    // The known values are those that the peer stated.
    void addConfiguration(const std::string& peer, uint64_t knownVersion, Inner::Wire::Knowledge&);
    void addUpstreams(const std::string& peer, uint64_t knownDigest, Inner::Wire::Knowledge&);
    // `isWhole`: this router knows the whole fleet.
    void addRoster(const std::string& peer, uint64_t knownRevision, bool isWhole, Inner::Wire::Knowledge&);

private:
    std::shared_ptr<const std::string> packed(const Configuration&);

    Parts m_parts;
    std::mutex m_packedMutex; // Guards the next two.
    uint64_t m_packedVersion { 0 }; // Of the configuration in `m_packed`.
    std::shared_ptr<const std::string> m_packed;
};

} // namespace Brassladder::RouteServing::Gateway
