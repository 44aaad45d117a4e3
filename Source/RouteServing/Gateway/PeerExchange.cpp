// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PeerExchange.h"

#include "Common/BackgroundThread.h"
#include "Common/Digest.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/SlotExchange.h"
#include "RouteServing/Gateway/SnapshotCodec.h"
#include "RouteServing/Gateway/StreamOriginExchange.h"
#include "RouteServing/Routing/ExchangeInterval.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;
using Common::Milliseconds;
using Inner::Wire::Item;
using namespace std::chrono_literals;

PeerExchange::PeerExchange(Common::FiberRuntime& runtime, Parts parts, std::string id, std::string_view fleetKey)
    : m_parts(std::move(parts))
    , m_id(std::move(id))
    , m_mesh(runtime, { m_id, Common::randomNumber() }, fleetKey)
    , m_roster(m_parts.roster,
          { [this] { return locked([](const auto& member) { return member.rosterSituation(Common::now()); }); },
              [this](const auto& entries) { onRosterRead(entries); },
              [this] { locked([](auto& member) { member.recordAnnounced(); }); } })
    , m_member(m_id, m_parts.start, Common::now(), Common::randomUnitFraction(), m_parts.intervals.hubResponseTimeout)
    , m_suspects(m_parts.suspects ? std::make_optional<SuspectExchange>(*m_parts.suspects, m_mesh.self().incarnation)
                                  : std::nullopt)
    , m_quotas(m_parts.registry.quotas(), m_id, m_mesh.self().incarnation)
    , m_fragility(m_parts.registry)
    , m_paces(m_parts.registry.paces())
    , m_demands(m_parts.shares ? std::make_optional<DemandExchange>(*m_parts.shares) : std::nullopt)
    , m_queues(m_parts.queues ? std::make_optional<QueueExchange>(*m_parts.queues) : std::nullopt)
    , m_snapshots({ m_parts.watcher, m_parts.lease, m_parts.registry, m_mutex, m_member, m_loads, m_parts.usage,
                      m_suspects ? &*m_suspects : nullptr, m_quotas, m_fragility, m_paces,
                      m_demands ? &*m_demands : nullptr, m_queues ? &*m_queues : nullptr },
          m_mesh.self().incarnation)
{
    if (m_parts.connections)
        m_mesh.setConnectionBudget(*m_parts.connections);
    m_parts.watcher.setStoreReaderCheck([this] { return readsStore(); });
    m_parts.watcher.setFirstStateCheck(
        [this] { return locked([](const auto& member) { return member.awaitsFirstState(Common::now()); }); });
    m_parts.watcher.setStaleStateCheck(
        [this] { return locked([](const auto& member) { return member.leavesReadingToHub(Common::now()); }); });
    m_parts.watcher.setOnStoreRead([this](bool hasSucceeded) {
        locked([&](auto& member) { member.recordStoreRead(hasSucceeded, Common::now()); });
    });
    m_parts.watcher.setFleetSize([this] { return fleetSize(); });
    m_parts.watcher.setOnChange([this] { notifySubscribers(); });
    if (m_parts.origins)
        m_parts.origins->setSend([this](const auto& router, auto item) { m_mesh.send(router, std::move(item)); });
    if (m_parts.slots) {
        m_parts.slots->setIncarnation(m_mesh.self().incarnation);
        m_parts.slots->setSend([this](const auto& router, auto item) { m_mesh.send(router, std::move(item)); });
    }
}

Common::Result<uint16_t> PeerExchange::listen(const Common::Endpoint& endpoint)
{
    Inner::Mesh::Hooks hooks;
    hooks.onItem = [this](const auto& sender, const auto& item) { onItem(sender, item); };
    hooks.onConnected = [](const std::string&) {};
    hooks.onTunnelRequest
        = [this](auto socket, const auto& onAuthorized) { m_onTunnelRequest(std::move(socket), onAuthorized); };
    hooks.onDisconnected = [this](const std::string& peer) { onDisconnected(peer); };
    // Holds the lock until m_endpoint is set, because a peer may connect and send immediately. Every path from a
    // message to m_endpoint takes the lock first, and m_endpoint never changes afterwards.
    std::lock_guard lock(m_mutex);
    auto port = m_mesh.listen(endpoint, std::move(hooks));
    if (isError(port))
        return port;
    m_endpoint = { endpoint.address, valueOf(port) };
    m_member.setOwnEndpoint(m_endpoint, Common::now(), m_parts.capacity);
    return port;
}

std::vector<Common::Endpoint> PeerExchange::routerEndpoints() const
{
    std::vector<Common::Endpoint> endpoints;
    locked([&](const auto& member) {
        for (const auto& [id, peer] : member.peers().peers()) {
            if (peer.endpoint.port)
                endpoints.push_back(peer.endpoint);
        }
    });
    return endpoints;
}

// Roles

bool PeerExchange::isHub() const
{
    return locked([](const auto& member) { return member.isHub(); });
}

bool PeerExchange::readsStore() const
{
    return locked([](const auto& member) { return member.readsStore(); });
}

bool PeerExchange::isPartitioned() const
{
    std::lock_guard lock(m_mutex);
    return m_connectivity.isPartitioned(Common::now());
}

double PeerExchange::unreachableLoadFactor() const
{
    std::lock_guard lock(m_mutex);
    return m_connectivity.unreachableLoadFactor(Common::now());
}

std::optional<size_t> PeerExchange::fleetSize() const
{
    return locked([](const auto& member) { return member.fleetSize(); });
}

// The caller must hold the lock.
Routing::FleetMember::Target PeerExchange::updateTarget()
{
    auto now = Common::now();
    if (auto hub = m_member.handleOverdueHub(now)) {
        m_loads.forgetHub(*hub);
        m_paces.forgetHub(*hub);
        if (m_demands)
            m_demands->forgetHub(*hub);
        Common::log(LogLevel::Warning, "gateway", "hub.silent",
            { { "hub", *hub }, { "times", m_member.peers().state(*hub).backoff.timeouts() } });
    }
    auto target = m_member.update(now);
    if (target.seedHasChanged)
        setMeshPeers();
    if (target.roleHasChanged)
        Common::log(LogLevel::Info, "gateway", "hub.role",
            { { "is_hub", target.ranking.isHub() }, { "reads_store", target.ranking.readsStore() },
                { "asks", target.ranking.source().value_or("") }, { "peers", m_member.peers().peers().size() } });
    return target;
}

// Exchange

void PeerExchange::run()
{
    while (true) {
        step();
        Common::sleepFor(untilNextStep());
    }
}

Milliseconds PeerExchange::exchangeInterval() const
{
    return Routing::exchangeInterval(fleetSize(), m_parts.intervals.longestExchangeInterval);
}

Milliseconds PeerExchange::untilNextStep() const
{
    bool isStarting = !m_parts.watcher.activeVersion() || !m_parts.watcher.hasUpstreamList();
    if (isStarting || m_parts.registry.quotas().isActive() || m_parts.registry.fragile().isActive())
        return Routing::minExchangeInterval;
    auto interval = exchangeInterval();
    // A silent hub is replaced as soon as its response is overdue, also where the interval is long.
    auto untilOverdue = locked([](const auto& member) { return member.outstanding().untilOverdue(Common::now()); });
    return std::min(interval, untilOverdue.value_or(interval));
}

void PeerExchange::step()
{
    std::optional<Routing::FleetMember::Target> target;
    auto now = Common::now();
    double reachableShare = 1;
    {
        std::lock_guard lock(m_mutex);
        target = updateTarget();
        m_connectivity.record(m_loads.subscriberRouters(now) + m_loads.hubRouters(now), now);
        reachableShare = m_connectivity.reachableShare(now);
        m_parts.registry.setPeerLoads(m_loads.sumOfOthers(now), knownShareOfFleet(now));
    }
    m_paces.step(now);
    m_fragility.step(now);
    stepSlots(reachableShare, now);
    if (m_demands)
        m_demands->step(now);
    if (target->seed)
        return requestRoster(target->seed->id);
    if (target->ranking.isHub())
        m_quotas.stepAsHub(target->ranking.otherHubs(), reachableShare, now);
    else
        m_quotas.stepAsSubscriber(now);
    if (target->ranking.isHub())
        sendLoadsToHubs(target->ranking.otherHubs());
    if (target->ranking.source())
        requestSnapshot(*target->ranking.source(), target->ranking.isHub());
}

void PeerExchange::stepSlots(double reachableShare, Common::TimePoint now)
{
    if (!m_parts.slots || !m_parts.registry.fragile().isActive())
        return;
    const auto& registry = m_parts.registry;
    m_parts.slots->step(
        { [&registry](uint32_t upstream) { return registry.sentRequests(upstream); },
            [&registry](uint32_t upstream) { return registry.fragile().knownSince(upstream); }, reachableShare },
        now);
}

double PeerExchange::knownShareOfFleet(Common::TimePoint now) const
{
    auto routers = m_member.fleetSize();
    if (!routers)
        return 0;
    auto known = 1.0 + m_loads.subscriberRouters(now) + m_loads.hubRouters(now);
    return std::min(1.0, known / static_cast<double>(*routers));
}

// Sets the nonce, this router's address and the received revision of the target's roster. Returns false if a step on
// another thread has chosen another target in the meantime; the request must not be sent then. The caller must hold the
// lock.
bool PeerExchange::addRequestHeader(const std::string& target, bool asHub, Inner::Wire::KnowledgeAsk& request)
{
    auto nonce = m_member.outstanding().add(target, asHub, Common::now());
    if (!nonce)
        return false;
    request.set_nonce(*nonce);
    request.set_endpoint(m_endpoint.text());
    request.set_capacity(m_parts.capacity);
    const auto& received = m_member.rosterPosition(target);
    request.set_roster_incarnation(received.incarnation);
    request.set_roster_revision(received.revision);
    return true;
}

void PeerExchange::requestRoster(const std::string& seed)
{
    Item item;
    auto& request = *item.mutable_knowledge_ask();
    request.set_only_roster(true);
    {
        std::lock_guard lock(m_mutex);
        if (!addRequestHeader(seed, false, request))
            return;
    }
    m_mesh.send(seed, std::move(item));
}

void PeerExchange::requestSnapshot(const std::string& hub, bool asHub)
{
    Item item;
    auto& request = *item.mutable_knowledge_ask();
    request.set_configuration_version(m_parts.watcher.activeVersion());
    request.set_reads_packed(true);
    request.set_reads_packed_upstreams(true);
    request.set_upstreams_digest(m_parts.watcher.hasUpstreamList() ? m_parts.registry.receivedDigest() : 0);
    request.set_reads_upstream_changes(true);
    request.set_lacks_software_versions(m_parts.watcher.lacksSoftwareVersions());
    request.set_is_hub(asHub);
    Routing::LoadsByUpstream loads;
    // A hub sends its loads to all hubs with HubLoads. In a request they would be counted twice.
    if (!asHub)
        loads = m_parts.registry.ownLoads();
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        if (!asHub)
            loads = m_loads.sumWithSubscribers(std::move(loads), now, hub);
        if (!addRequestHeader(hub, asHub, request))
            return;
    }
    encodeLoads(loads, *request.mutable_loads());
    if (m_parts.usage) {
        request.set_own_time_ms(m_parts.usage->ownTime());
        if (!m_parts.usage->addChanges(hub, *request.mutable_usage()))
            request.clear_usage();
    }
    // Hubs exchange suspects with HubLoads instead.
    if (m_suspects && !asHub)
        m_suspects->addTo(request, hub, Routing::SuspectLedger::Scope::All);
    if (!asHub)
        m_quotas.addTo(request, hub, Common::now());
    m_fragility.addTo(request, Common::now());
    if (!asHub)
        m_paces.addTo(request, hub, Common::now());
    if (m_demands && !asHub)
        m_demands->addTo(request, hub, Common::now());
    if (!asHub && m_queues)
        m_queues->addTo(request, hub, Common::now());
    m_mesh.send(hub, std::move(item));
}

void PeerExchange::sendLoadsToHubs(const std::vector<std::string>& hubs)
{
    Item item;
    auto loads = m_parts.registry.ownLoads();
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        loads = m_loads.sumWithSubscribers(std::move(loads), now);
        item.mutable_hub_loads()->set_routers(1 + m_loads.subscriberRouters(now));
    }
    encodeLoads(loads, *item.mutable_hub_loads()->mutable_loads());
    if (m_demands)
        m_demands->addTo(*item.mutable_hub_loads(), Common::now());
    if (m_queues)
        m_queues->addTo(*item.mutable_hub_loads(), Common::now());
    auto dutyHolder = m_dutyHolder();
    for (const auto& hub : hubs) {
        auto toHub = item;
        if (m_parts.usage)
            addUsage(hub, hub == dutyHolder, *toHub.mutable_hub_loads());
        if (m_suspects)
            m_suspects->addTo(*toHub.mutable_hub_loads(), hub, Routing::SuspectLedger::Scope::All);
        m_quotas.addTo(*toHub.mutable_hub_loads(), hub, Common::now());
        m_fragility.addTo(*toHub.mutable_hub_loads(), Common::now());
        m_paces.addTo(*toHub.mutable_hub_loads(), hub, Common::now());
        m_mesh.send(hub, std::move(toHub));
    }
}

// Adds the revision up to which this router has the hub's usage counts. If the hub holds the duties, also adds the
// counts that the hub does not have yet.
void PeerExchange::addUsage(const std::string& hub, bool isDutyHolder, Inner::Wire::HubLoads& message)
{
    auto received = m_parts.usage->received(hub);
    message.set_usage_received(received.revision);
    message.set_usage_received_from(received.incarnation);
    if (isDutyHolder && !m_parts.usage->addChanges(hub, *message.mutable_usage()))
        message.clear_usage();
}

// Notifies the routers that requested a snapshot recently; each of them then requests a new snapshot. A notification
// carries the configuration, which may be large, only for routers with an older version, since most changes affect only
// upstreams.
void PeerExchange::notifySubscribers()
{
    std::map<std::string, uint64_t> knownVersions;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& subscriber : m_member.peers().subscribers(Common::now()))
            knownVersions[subscriber] = m_member.peers().state(subscriber).configurationVersion;
    }
    for (const auto& [subscriber, knownVersion] : knownVersions) {
        Item item;
        *item.mutable_knowledge() = m_snapshots.buildNotification(subscriber, knownVersion);
        m_mesh.send(subscriber, std::move(item));
    }
}

// Messages

void PeerExchange::onItem(const Inner::Mesh::Sender& sender, const Item& item)
{
    if (item.has_knowledge_ask())
        onSnapshotRequest(sender, item.knowledge_ask());
    else if (item.has_knowledge())
        onSnapshot(sender, item.knowledge());
    else if (item.has_hub_loads())
        onHubLoads(sender, item.hub_loads());
    else
        onItemOfExchanges(sender, item);
}

void PeerExchange::onItemOfExchanges(const Inner::Mesh::Sender& sender, const Item& item)
{
    if (m_parts.slots)
        m_parts.slots->receive(sender, item, Common::now());
    if (m_parts.origins)
        m_parts.origins->receive(sender.id, item);
}

// Marks what was in flight to the peer as lost, because the connection has ended. The next response includes it again.
void PeerExchange::onDisconnected(const std::string& id)
{
    if (m_parts.usage)
        m_parts.usage->forgetSent(id);
    if (m_suspects)
        m_suspects->forgetSent(id);
    if (m_parts.origins)
        m_parts.origins->recordUnreachable(id);
    if (m_parts.slots)
        m_parts.slots->recordUnreachable(id, Common::now());
    std::lock_guard lock(m_mutex);
    const auto& seed = m_member.queriedSeed();
    if (seed && seed->id == id)
        m_member.recordSeedFailure();
    else if (auto* peer = m_member.peers().find(id))
        peer->forgetSent();
}

void PeerExchange::onSnapshotRequest(const Inner::Mesh::Sender& sender, const Inner::Wire::KnowledgeAsk& request)
{
    addPeerAddress(sender.id, request);
    Item item;
    *item.mutable_knowledge() = m_snapshots.buildResponse(sender, request);
    m_mesh.send(sender.id, std::move(item));
}

std::optional<Common::TimePoint> PeerExchange::recordSnapshot(
    const std::string& from, const Inner::Wire::Knowledge& snapshot)
{
    std::lock_guard lock(m_mutex);
    auto now = Common::now();
    bool isResponse = snapshot.nonce() != 0;
    if (isResponse)
        m_member.peers().state(from).backoff.recordResponse();
    // A seed's response carries only the roster. The request was recorded under a generated id (FleetMember::Target),
    // because the seed's own id was not known when it was sent.
    auto& outstanding = m_member.outstanding();
    if (const auto& seed = m_member.queriedSeed()) {
        outstanding.complete(seed->id, snapshot.nonce());
        return std::nullopt;
    }
    auto requestedAt = outstanding.complete(from, snapshot.nonce());
    if (!requestedAt)
        return std::nullopt;
    m_member.recordHubResponse(now);
    m_member.recordPeerStoreAvailability(from, !snapshot.store_unavailable(), now);
    if (snapshot.leaving())
        m_member.peers().state(from).backoff.recordUnavailable(now);
    if (!outstanding.asHub())
        m_loads.recordHub(from, decodeLoads(snapshot.loads()), snapshot.routers(), now);
    return requestedAt;
}

void PeerExchange::onSnapshot(const Inner::Mesh::Sender& sender, const Inner::Wire::Knowledge& snapshot)
{
    const auto& from = sender.id;
    auto requestedAt = recordSnapshot(from, snapshot);
    if (snapshot.has_roster())
        onRosterPart(sender, snapshot.roster());
    // Ages are relative to the time when this router sent its request. A notification responds to no request, so its
    // transit time is unknown, and it confirms nothing.
    auto confirmedBy
        = [&](uint32_t ageMs) { return requestedAt ? decodeAge(ageMs, *requestedAt) : Common::TimePoint::min(); };
    onConfiguration(from, snapshot, confirmedBy(snapshot.configuration_age_ms()));
    bool isNotification = snapshot.nonce() == 0;
    if (isNotification)
        return Common::FiberRuntime::spawnOnCurrentThread([this] { step(); });
    if (!requestedAt)
        return;
    if (m_suspects)
        m_suspects->receive(sender, snapshot);
    m_quotas.receive(sender, snapshot, *requestedAt);
    m_fragility.receive(snapshot, *requestedAt);
    if (m_queues)
        m_queues->receive(from, snapshot, Common::now());
    auto now = Common::now();
    m_paces.receive(from, snapshot, now);
    if (m_demands)
        m_demands->receive(sender, snapshot, now);
    m_parts.watcher.updateUpstreamsFromPeer(
        { decodeUpstreams(snapshot, now), decodeUpstreamChanges(snapshot, now), snapshot.upstreams_digest(), from,
            snapshot.upstreams_hops(), snapshot.has_software_versions() },
        confirmedBy(snapshot.upstreams_age_ms()));
    if (m_parts.usage) {
        m_parts.usage->acknowledge(from, snapshot.usage_received());
        m_parts.usage->recordHubTime(snapshot.agreed_time_ms(), *requestedAt);
    }
}

void PeerExchange::onConfiguration(
    const std::string& from, const Inner::Wire::Knowledge& snapshot, Common::TimePoint confirmedAt)
{
    auto version = snapshot.configuration_version();
    // Without a version and an age, the snapshot states nothing about the configuration. An age without a version
    // confirms that there is no configuration yet.
    if (!version && !snapshot.configuration_age_ms())
        return;
    bool hasText = !snapshot.configuration().empty() || !snapshot.packed_configuration().empty();
    if (!hasText || version <= m_parts.watcher.activeVersion())
        return m_parts.watcher.updateConfigurationFromPeer(version, {}, confirmedAt);
    Inner::Wire::Knowledge encoded;
    encoded.set_configuration_version(version);
    encoded.set_configuration(snapshot.configuration());
    encoded.set_packed_configuration(snapshot.packed_configuration());
    // Decoding suspends its fiber, which the fiber that reads the connection must not do within a message.
    Common::FiberRuntime::spawnOnCurrentThread(
        [this, from, confirmedAt, encoded = std::move(encoded)] { adoptConfiguration(from, encoded, confirmedAt); });
}

void PeerExchange::adoptConfiguration(
    const std::string& from, const Inner::Wire::Knowledge& encoded, Common::TimePoint confirmedAt)
{
    auto version = encoded.configuration_version();
    auto text = Common::runInBackground([&] { return decodeConfiguration(encoded); });
    if (isError(text))
        return Common::log(LogLevel::Warning, "gateway", "configuration.unreadable",
            { { "peer", from }, { "version", version }, { "error", errorOf(text).message } });
    m_parts.watcher.updateConfigurationFromPeer(version, valueOf(text), confirmedAt);
}

void PeerExchange::onHubLoads(const Inner::Mesh::Sender& sender, const Inner::Wire::HubLoads& report)
{
    if (m_parts.usage) {
        m_parts.usage->receive(sender, report.usage());
        // An acknowledgement for an earlier process of this router does not apply to this one.
        bool isOfThisProcess = report.usage_received_from() == m_mesh.self().incarnation;
        if (sender.id == m_dutyHolder() && isOfThisProcess)
            m_parts.usage->acknowledge(sender.id, report.usage_received());
    }
    if (m_suspects)
        m_suspects->receive(sender, report);
    m_quotas.receive(sender, report, Common::now());
    m_fragility.receive(report, Common::now() - maxTransitTime);
    if (m_parts.slots)
        m_parts.slots->recordContact(sender.id, Common::now());
    if (m_queues)
        m_queues->receive(sender.id, report, Common::now());
    std::lock_guard lock(m_mutex);
    if (!m_member.isHub())
        return;
    m_loads.recordHub(sender.id, decodeLoads(report.loads()), report.routers(), Common::now());
    m_paces.receive(sender.id, report, Common::now());
    if (m_demands)
        m_demands->receive(sender, report, Common::now());
}

} // namespace Brassladder::RouteServing::Gateway
