// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SnapshotBuilder.h"

#include "Common/Compression.h"
#include "RouteServing/Gateway/SnapshotCodec.h"

namespace Brassladder::RouteServing::Gateway {

// Returns the compressed text of the configuration, cached by version for all peers.
std::shared_ptr<const std::string> SnapshotBuilder::packedConfiguration(const Configuration& configuration)
{
    auto version = configuration.table.version();
    {
        std::lock_guard lock(m_packedMutex);
        if (m_packedConfiguration && m_packedConfigurationVersion == version)
            return m_packedConfiguration;
    }
    // Compressed outside the lock, since it takes some milliseconds.
    auto packed = std::make_shared<const std::string>(Common::deflate(configuration.text));
    std::lock_guard lock(m_packedMutex);
    m_packedConfigurationVersion = version;
    m_packedConfiguration = packed;
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
    bool acceptsPackedConfiguration = false;
    {
        std::lock_guard lock(m_parts.mutex);
        auto& state = m_parts.member.peers().state(peer);
        if (!state.configuration.beginSend(version, now))
            return;
        acceptsPackedConfiguration = state.acceptsPackedConfiguration;
    }
    if (acceptsPackedConfiguration)
        snapshot.set_packed_configuration(*packedConfiguration(*configuration));
    else
        snapshot.set_configuration(configuration->text);
}

// Returns the compressed list of upstreams, cached by digest for all peers. The complete list is sent after every
// change of an entry, so its size matters.
std::shared_ptr<const std::string> SnapshotBuilder::packedUpstreams(uint64_t digest, bool hasVersions)
{
    {
        std::lock_guard lock(m_packedMutex);
        if (m_packedUpstreams && m_packedUpstreamsDigest == digest && m_packedHasVersions == hasVersions)
            return m_packedUpstreams;
    }
    auto packed = std::make_shared<const std::string>(packUpstreams(m_parts.registry.upstreams(), Common::now()));
    std::lock_guard lock(m_packedMutex);
    m_packedUpstreamsDigest = digest;
    m_packedHasVersions = hasVersions;
    m_packedUpstreams = packed;
    return packed;
}

void SnapshotBuilder::addUpstreams(
    const std::string& peer, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    auto now = Common::now();
    auto origin = m_parts.watcher.upstreamsOrigin();
    snapshot.set_upstreams_age_ms(encodeAge(origin.age(now)));
    snapshot.set_upstreams_hops(origin.hops);
    auto digest = m_parts.registry.digest();
    snapshot.set_upstreams_digest(digest);
    bool hasVersions = m_parts.watcher.hasUpstreamList() && !m_parts.watcher.lacksSoftwareVersions();
    snapshot.set_has_software_versions(hasVersions);
    // The digest does not cover the versions, so that earlier routers compute the same one.
    bool needsVersions = hasVersions && request.lacks_software_versions();
    if (!m_parts.watcher.hasUpstreamList() || (digest == request.upstreams_digest() && !needsVersions))
        return;
    {
        std::lock_guard lock(m_parts.mutex);
        if (!m_parts.member.peers().state(peer).upstreams.beginSend(digest, now))
            return;
    }
    auto changes = m_parts.registry.changesSince(request.upstreams_digest());
    if (request.reads_upstream_changes() && changes && !needsVersions)
        return snapshot.set_packed_upstream_changes(packUpstreamChanges(*changes, now));
    snapshot.set_has_upstreams(true);
    if (request.reads_packed_upstreams()) {
        snapshot.set_packed_upstreams(*packedUpstreams(digest, hasVersions));
        return;
    }
    for (const auto& record : m_parts.registry.upstreams())
        encodeUpstream(record, now, *snapshot.add_upstreams());
}

bool SnapshotBuilder::recordSender(
    const Inner::Mesh::Sender& sender, const Inner::Wire::KnowledgeAsk& request, Common::TimePoint now)
{
    auto& peer = m_parts.member.peers().state(sender.id);
    if (request.only_roster())
        peer.recordContact(sender.incarnation);
    else
        peer.recordRequest(sender.incarnation, request.configuration_version(), now);
    peer.acceptsPackedConfiguration = request.reads_packed();
    return m_parts.member.hasCompleteRoster(now);
}

void SnapshotBuilder::addRoster(
    const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    // Roster revisions are only meaningful within one process.
    auto known = request.roster_incarnation() == m_incarnation ? request.roster_revision() : 0;
    std::vector<Routing::RosterEntry> entries;
    auto& part = *snapshot.mutable_roster();
    {
        std::lock_guard lock(m_parts.mutex);
        auto now = Common::now();
        part.set_is_whole(recordSender(to, request, now));
        snapshot.set_store_unavailable(!m_parts.member.canReadStore(now));
        auto& peers = m_parts.member.peers();
        auto after = peers.state(to.id).rosterSent.beginSend(known, peers.rosterRevision(), now);
        part.set_after(after);
        part.set_revision(peers.rosterRevision());
        entries = peers.rosterAfter(after);
    }
    if (!entries.empty())
        part.set_packed(encodeRoster(entries));
}

// Does nothing for hubs, which exchange loads with HubLoads.
void SnapshotBuilder::addLoads(
    const std::string& peer, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    if (request.is_hub())
        return;
    Routing::LoadsByUpstream loads;
    {
        std::lock_guard lock(m_parts.mutex);
        auto now = Common::now();
        m_parts.loads.recordSubscriber(peer, decodeLoads(request.loads()), now);
        loads = m_parts.loads.sumForSubscriber(peer, m_parts.registry.ownLoads(), now);
        snapshot.set_routers(m_parts.loads.subscriberRouters(now) + m_parts.loads.hubRouters(now));
    }
    encodeLoads(loads, *snapshot.mutable_loads());
}

void SnapshotBuilder::addUsage(
    const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    if (!m_parts.usage)
        return;
    // Routers of an earlier version do not send their time.
    if (request.own_time_ms())
        m_parts.usage->recordSubscriberTime(to.id, request.own_time_ms());
    m_parts.usage->receive(to, request.usage());
    snapshot.set_usage_received(m_parts.usage->received(to.id).revisionOf(to.incarnation));
    snapshot.set_agreed_time_ms(m_parts.usage->agreedTime());
}

void SnapshotBuilder::addSuspects(
    const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    if (!m_parts.suspects || request.is_hub())
        return;
    m_parts.suspects->receive(to, request);
    m_parts.suspects->addTo(snapshot, to.id, Routing::SuspectLedger::Scope::Repeated);
}

void SnapshotBuilder::addQuotas(
    const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    if (request.is_hub())
        return;
    m_parts.quotas.receive(to, request, Common::now());
    m_parts.quotas.addTo(snapshot, to, Common::now());
}

void SnapshotBuilder::addQueues(
    const std::string& peer, const Inner::Wire::KnowledgeAsk& request, Inner::Wire::Knowledge& snapshot)
{
    if (!m_parts.queues || request.is_hub())
        return;
    m_parts.queues->receive(peer, request, Common::now());
    m_parts.queues->addTo(snapshot, peer, Common::now());
}

Inner::Wire::Knowledge SnapshotBuilder::buildResponse(
    const Inner::Mesh::Sender& to, const Inner::Wire::KnowledgeAsk& request)
{
    Inner::Wire::Knowledge snapshot;
    snapshot.set_nonce(request.nonce());
    snapshot.set_leaving(m_isLeaving);
    addRoster(to, request, snapshot);
    if (request.only_roster())
        return snapshot;
    addConfiguration(to.id, request.configuration_version(), snapshot);
    addUpstreams(to.id, request, snapshot);
    addLoads(to.id, request, snapshot);
    addUsage(to, request, snapshot);
    addSuspects(to, request, snapshot);
    addQuotas(to, request, snapshot);
    m_parts.fragility.receive(request, Common::now() - maxTransitTime);
    m_parts.fragility.addTo(snapshot, Common::now());
    // Hubs exchange paces with HubLoads instead.
    if (!request.is_hub())
        m_parts.paces.exchange(to.id, request, snapshot, Common::now());
    if (m_parts.demands)
        m_parts.demands->respond(to, request, snapshot, Common::now());
    addQueues(to.id, request, snapshot);
    return snapshot;
}

Inner::Wire::Knowledge SnapshotBuilder::buildNotification(const std::string& subscriber, uint64_t knownVersion)
{
    Inner::Wire::Knowledge snapshot;
    addConfiguration(subscriber, knownVersion, snapshot);
    return snapshot;
}

} // namespace Brassladder::RouteServing::Gateway
