// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SnapshotBuilder.h"

#include "Common/Compression.h"
#include "RouteServing/Gateway/SnapshotCodec.h"

namespace Brassladder::RouteServing::Gateway {

// The text of a configuration, packed once for all peers: it says much the same of each route, so that little is left
// of it.
std::shared_ptr<const std::string> SnapshotBuilder::packed(const Configuration& configuration)
{
    auto version = configuration.table.version();
    {
        std::lock_guard lock(m_packedMutex);
        if (m_packed && m_packedVersion == version)
            return m_packed;
    }
    // Not under the lock: it takes some milliseconds.
    auto packed = std::make_shared<const std::string>(Common::deflate(configuration.text));
    std::lock_guard lock(m_packedMutex);
    m_packedVersion = version;
    m_packed = packed;
    return packed;
}

void SnapshotBuilder::addConfiguration(const std::string& peer, uint64_t knownVersion, Inner::Wire::Knowledge& snapshot)
{
    auto now = Common::now();
    snapshot.set_configuration_age_ms(encodeAge(m_parts.lease.age(now)));
    auto configuration = m_parts.watcher.configuration();
    if (!configuration)
        return;
    auto version = configuration->table.version();
    snapshot.set_configuration_version(version);
    if (version <= knownVersion)
        return;
    bool readsPacked = false;
    {
        std::lock_guard lock(m_parts.mutex);
        auto& state = m_parts.peers.state(peer);
        if (!state.configuration.claim(version, now))
            return;
        readsPacked = state.readsPacked;
    }
    if (readsPacked)
        snapshot.set_packed_configuration(*packed(*configuration));
    else
        snapshot.set_configuration(configuration->text);
}

void SnapshotBuilder::addUpstreams(const std::string& peer, uint64_t knownDigest, Inner::Wire::Knowledge& snapshot)
{
    auto now = Common::now();
    snapshot.set_upstreams_age_ms(encodeAge(m_parts.watcher.upstreamsAge(now)));
    auto digest = m_parts.registry.digest();
    if (!m_parts.watcher.knowsUpstreams() || digest == knownDigest)
        return;
    {
        std::lock_guard lock(m_parts.mutex);
        if (!m_parts.peers.state(peer).upstreams.claim(digest, now))
            return;
    }
    snapshot.set_has_upstreams(true);
    for (const auto& record : m_parts.registry.upstreams())
        encodeUpstream(record, *snapshot.add_upstreams());
}

void SnapshotBuilder::addRoster(
    const std::string& peer, uint64_t knownRevision, bool isWhole, Inner::Wire::Knowledge& snapshot)
{
    std::vector<Routing::RosterEntry> entries;
    auto& part = *snapshot.mutable_roster();
    part.set_is_whole(isWhole);
    {
        std::lock_guard lock(m_parts.mutex);
        auto newest = m_parts.peers.rosterRevision();
        auto after = m_parts.peers.state(peer).rosterSent.claim(knownRevision, newest, Common::now());
        part.set_after(after);
        part.set_revision(newest);
        entries = m_parts.peers.rosterAfter(after);
    }
    if (!entries.empty())
        part.set_packed(encodeRoster(entries));
}

} // namespace Brassladder::RouteServing::Gateway
