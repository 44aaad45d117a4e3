// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PeerExchange.h"

#include "Common/Compression.h"
#include "Common/Digest.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/SnapshotCodec.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;
using Common::Milliseconds;
using Inner::Wire::Item;
using namespace std::chrono_literals;

// How often a router requests a snapshot, and hubs send their loads. Measured in bursts on 80 routers and
// 90 engines: worth 0.793 and 0.631 at 250 ms, 0.832 and 0.718 at 100 ms; 50 ms gained little for half as much
// processor time again (docs/DESIGN.md, "how often loads are sent").
static constexpr Milliseconds exchangeInterval = 100ms;

PeerExchange::PeerExchange(Common::FiberRuntime& runtime, Parts parts, std::string id, std::string_view fleetKey)
    : m_parts(std::move(parts))
    , m_id(std::move(id))
    , m_mesh(runtime, { m_id, Common::randomNumber() }, fleetKey)
    , m_roster(m_parts.roster,
          { [this](const Inner::Peer& peer) { addPeer(peer.id, peer.endpoint); }, [this] { return isHub(); } })
    , m_peers(m_id)
{
    m_parts.watcher.setStoreReaderCheck([this] { return readsStore(); });
    m_parts.watcher.setOnChange([this] { notifySubscribers(); });
}

Common::Result<uint16_t> PeerExchange::listen(const Common::Endpoint& endpoint)
{
    Inner::Mesh::Hooks hooks;
    hooks.onItem = [this](const auto& sender, const auto& item) { onItem(sender, item); };
    hooks.onConnected = [](const std::string&) {};
    hooks.onDisconnected = [this](const std::string& peer) { onDisconnected(peer); };
    // Held until the address is set, which never changes afterwards: a peer may connect and send at once, and each way
    // from its message to our address takes the lock.
    std::lock_guard lock(m_mutex);
    auto port = m_mesh.listen(endpoint, std::move(hooks));
    if (!isError(port))
        m_endpoint = { endpoint.address, valueOf(port) };
    return port;
}

// Roles

void PeerExchange::addPeer(const std::string& id, const Common::Endpoint& endpoint)
{
    // Held until the mesh has the list: of two threads that each add a peer, the one with the shorter list must not be
    // the last. The mesh calls no hook while it takes the list.
    std::lock_guard lock(m_mutex);
    if (!m_peers.add(id, endpoint))
        return;
    std::vector<Inner::Peer> peers;
    for (const auto& [peerId, peer] : m_peers.peers())
        peers.push_back({ peerId, peer.endpoint });
    m_mesh.setPeers(peers);
}

bool PeerExchange::isHub() const
{
    std::lock_guard lock(m_mutex);
    return m_isHub;
}

bool PeerExchange::readsStore() const
{
    std::lock_guard lock(m_mutex);
    return m_readsStore;
}

std::optional<size_t> PeerExchange::fleetSize() const
{
    if (!m_roster.isKnown())
        return std::nullopt;
    std::lock_guard lock(m_mutex);
    return m_peers.peers().size() + 1;
}

void PeerExchange::leave()
{
    std::lock_guard lock(m_mutex);
    m_leaving = true;
}

// The caller holds the lock.
void PeerExchange::checkOverdueHub(Common::TimePoint now)
{
    if (!m_outstanding.isOverdue(now))
        return;
    const auto& hub = m_outstanding.target();
    if (auto* peer = m_peers.find(hub)) {
        peer->backoff.recordTimeout(now);
        Common::log(
            LogLevel::Warning, "gateway", "hub.silent", { { "hub", hub }, { "times", peer->backoff.timeouts() } });
    }
    m_loads.forgetHub(hub);
    m_outstanding.clear();
}

// The caller holds the lock.
Routing::HubRanking PeerExchange::updateRole()
{
    auto ranking = m_peers.ranking(Common::now());
    auto target = ranking.source().value_or("");
    if (m_isHub != ranking.isHub() || m_readsStore != ranking.readsStore())
        Common::log(LogLevel::Info, "gateway", "hub.role",
            { { "is_hub", ranking.isHub() }, { "reads_store", ranking.readsStore() }, { "asks", target },
                { "peers", m_peers.peers().size() } });
    m_isHub = ranking.isHub();
    m_readsStore = ranking.readsStore();
    m_outstanding.setTarget(target, ranking.isHub());
    return ranking;
}

// Exchange

void PeerExchange::exchange()
{
    while (true) {
        step();
        Common::sleepFor(exchangeInterval);
    }
}

void PeerExchange::step()
{
    std::optional<Routing::HubRanking> ranking;
    {
        std::lock_guard lock(m_mutex);
        checkOverdueHub(Common::now());
        ranking = updateRole();
        m_parts.registry.setPeerLoads(m_loads.ofOthers(Common::now()));
    }
    if (ranking->isHub())
        sendLoadsToHubs(ranking->otherHubs());
    if (ranking->source())
        requestSnapshot(*ranking->source(), ranking->isHub());
}

void PeerExchange::requestSnapshot(const std::string& hub, bool asHub)
{
    Item item;
    auto& request = *item.mutable_knowledge_ask();
    request.set_endpoint(m_endpoint.text());
    request.set_configuration_version(m_parts.watcher.versionInForce());
    request.set_reads_packed(true);
    request.set_upstreams_digest(m_parts.watcher.knowsUpstreams() ? m_parts.registry.digest() : 0);
    request.set_is_hub(asHub);
    Routing::LoadsByUpstream loads;
    // Hubs send their loads to all hubs instead; here they would be counted twice.
    if (!asHub)
        loads = m_parts.registry.ownLoads();
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        if (!asHub)
            loads = m_loads.withSubscribers(std::move(loads), now, hub);
        auto nonce = m_outstanding.add(hub, asHub, now);
        if (!nonce)
            return; // A step on another thread has chosen another target meanwhile.
        request.set_nonce(*nonce);
    }
    encodeLoads(loads, *request.mutable_loads());
    m_mesh.send(hub, std::move(item));
}

void PeerExchange::sendLoadsToHubs(const std::vector<std::string>& hubs)
{
    Item item;
    auto loads = m_parts.registry.ownLoads();
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        loads = m_loads.withSubscribers(std::move(loads), now);
        item.mutable_hub_loads()->set_routers(1 + m_loads.subscriberRouters(now));
    }
    encodeLoads(loads, *item.mutable_hub_loads()->mutable_loads());
    for (const auto& hub : hubs)
        m_mesh.send(hub, item);
}

// Sends a change at once to the routers that rely on this one; they request the rest. The configuration goes only to
// those that lack it: most changes are of upstreams alone, and a large one fills the link.
void PeerExchange::notifySubscribers()
{
    std::map<std::string, uint64_t> knownVersions;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& subscriber : m_peers.subscribers(Common::now()))
            knownVersions[subscriber] = m_peers.state(subscriber).configurationVersion;
    }
    for (const auto& [subscriber, knownVersion] : knownVersions) {
        Item item;
        addConfiguration(subscriber, knownVersion, *item.mutable_knowledge());
        m_mesh.send(subscriber, std::move(item));
    }
}

// Snapshots. What a peer has already, or what is in flight to it, is left out. Ages are read first: what they are sent
// with is then at least as new as they say. That something is sent is decided and noted in one step, and before it is
// sent: of two snapshots at once one carries it, and the end of a connection that carried it comes after the note.

// The text of a configuration, packed once for all peers: it says much the same of each route, so that little is left
// of it.
std::shared_ptr<const std::string> PeerExchange::packed(const Configuration& configuration)
{
    auto version = configuration.table.version();
    {
        std::lock_guard lock(m_mutex);
        if (m_packed && m_packedVersion == version)
            return m_packed;
    }
    // Not under the lock: it takes some milliseconds.
    auto packed = std::make_shared<const std::string>(Common::deflate(configuration.text));
    std::lock_guard lock(m_mutex);
    m_packedVersion = version;
    m_packed = packed;
    return packed;
}

void PeerExchange::addConfiguration(const std::string& peer, uint64_t knownVersion, Inner::Wire::Knowledge& snapshot)
{
    auto now = Common::now();
    auto age = m_parts.lease.age(now);
    auto configuration = m_parts.watcher.configuration();
    if (!configuration)
        return;
    auto version = configuration->table.version();
    snapshot.set_configuration_version(version);
    snapshot.set_configuration_age_ms(encodeAge(age));
    if (version <= knownVersion)
        return;
    bool readsPacked = false;
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_peers.state(peer);
        if (!state.configuration.claim(version, now))
            return;
        readsPacked = state.readsPacked;
    }
    if (readsPacked)
        snapshot.set_packed_configuration(*packed(*configuration));
    else
        snapshot.set_configuration(configuration->text);
}

void PeerExchange::addUpstreams(const std::string& peer, uint64_t knownDigest, Inner::Wire::Knowledge& snapshot)
{
    auto now = Common::now();
    snapshot.set_upstreams_age_ms(encodeAge(m_parts.watcher.upstreamsAge(now)));
    auto digest = m_parts.registry.digest();
    if (!m_parts.watcher.knowsUpstreams() || digest == knownDigest)
        return;
    {
        std::lock_guard lock(m_mutex);
        if (!m_peers.state(peer).upstreams.claim(digest, now))
            return;
    }
    snapshot.set_has_upstreams(true);
    for (const auto& record : m_parts.registry.upstreams())
        encodeUpstream(record, *snapshot.add_upstreams());
}

// Messages

void PeerExchange::onItem(const Inner::Mesh::Sender& sender, const Item& item)
{
    if (item.has_knowledge_ask())
        onSnapshotRequest(sender, item.knowledge_ask());
    else if (item.has_knowledge())
        onSnapshot(sender.id, item.knowledge());
    else if (item.has_hub_loads())
        onHubLoads(sender.id, item.hub_loads());
}

// Its next request is answered as if nothing had been sent.
void PeerExchange::onDisconnected(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    if (auto* peer = m_peers.find(id))
        peer->forgetSent();
}

void PeerExchange::onSnapshotRequest(const Inner::Mesh::Sender& sender, const Inner::Wire::KnowledgeAsk& request)
{
    const auto& from = sender.id;
    // Without its address the peer cannot be answered unless the roster has it: the mesh drops the response then.
    if (auto endpoint = Common::parseEndpoint(request.endpoint()); !isError(endpoint))
        addPeer(from, valueOf(endpoint));
    else
        Common::log(LogLevel::Warning, "gateway", "peer.bad_address",
            { { "peer", from }, { "address", request.endpoint() }, { "error", errorOf(endpoint).message } });
    {
        std::lock_guard lock(m_mutex);
        auto& peer = m_peers.state(from);
        peer.recordRequest(sender.incarnation, request.configuration_version(), Common::now());
        peer.readsPacked = request.reads_packed();
    }
    Item item;
    auto& snapshot = *item.mutable_knowledge();
    addConfiguration(from, request.configuration_version(), snapshot);
    addUpstreams(from, request.upstreams_digest(), snapshot);
    snapshot.set_nonce(request.nonce());
    Routing::LoadsByUpstream loads;
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        snapshot.set_leaving(m_leaving);
        // Hubs exchange loads among all hubs instead.
        if (!request.is_hub()) {
            m_loads.recordSubscriber(from, decodeLoads(request.loads()), now);
            loads = m_loads.forSubscriber(from, m_parts.registry.ownLoads(), now);
            snapshot.set_routers(m_loads.subscriberRouters(now) + m_loads.hubRouters(now));
        }
    }
    encodeLoads(loads, *snapshot.mutable_loads());
    m_mesh.send(from, std::move(item));
}

std::optional<Common::TimePoint> PeerExchange::recordSnapshot(
    const std::string& from, const Inner::Wire::Knowledge& snapshot)
{
    std::lock_guard lock(m_mutex);
    auto now = Common::now();
    bool isResponse = snapshot.nonce() != 0;
    if (isResponse)
        m_peers.state(from).backoff.recordResponse();
    auto requested = m_outstanding.take(from, snapshot.nonce());
    if (!requested)
        return std::nullopt;
    if (snapshot.leaving())
        m_peers.state(from).backoff.recordLeaving(now);
    if (!m_outstanding.asHub())
        m_loads.recordHub(from, decodeLoads(snapshot.loads()), snapshot.routers(), now);
    return requested;
}

void PeerExchange::onSnapshot(const std::string& from, const Inner::Wire::Knowledge& snapshot)
{
    auto requested = recordSnapshot(from, snapshot);
    // Ages count back from the moment when we sent our request. A notification may have been in flight for any time, so
    // it confirms nothing.
    auto confirmedBy
        = [&](uint32_t ageMs) { return requested ? *requested - Milliseconds(ageMs) : Common::TimePoint::min(); };
    onConfiguration(from, snapshot, confirmedBy(snapshot.configuration_age_ms()));
    bool isNotification = snapshot.nonce() == 0;
    if (isNotification)
        return Common::FiberRuntime::spawnHere([this] { step(); });
    if (requested)
        m_parts.watcher.updateUpstreamsFromPeer(decodeUpstreams(snapshot), confirmedBy(snapshot.upstreams_age_ms()));
}

void PeerExchange::onConfiguration(
    const std::string& from, const Inner::Wire::Knowledge& snapshot, Common::TimePoint confirmed)
{
    auto version = snapshot.configuration_version();
    if (!version)
        return;
    bool isNews = version > m_parts.watcher.versionInForce();
    auto text = isNews ? decodeConfiguration(snapshot) : std::string();
    if (isError(text))
        return Common::log(LogLevel::Warning, "gateway", "configuration.unreadable",
            { { "peer", from }, { "version", version }, { "error", errorOf(text).message } });
    m_parts.watcher.updateConfigurationFromPeer(version, valueOf(text), confirmed);
}

void PeerExchange::onHubLoads(const std::string& from, const Inner::Wire::HubLoads& report)
{
    std::lock_guard lock(m_mutex);
    if (m_isHub)
        m_loads.recordHub(from, decodeLoads(report.loads()), report.routers(), Common::now());
}

} // namespace Brassladder::RouteServing::Gateway
