// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PeerExchange.h"

#include "Common/Digest.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/SnapshotCodec.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;
using Common::Milliseconds;
using Inner::Wire::Item;
using namespace std::chrono_literals;

static constexpr Milliseconds exchangeInterval = 100ms;
// Word of loads is used for so long.
static constexpr Milliseconds loadReportMaxAge = 1500ms;
// A hub that is silent is taken for dead, for a time that doubles.
static constexpr Milliseconds initialHubBackoff = 2000ms;
static constexpr unsigned maxDoublings = 4;
// Those that asked within this time are told news.
static constexpr Milliseconds subscriberTimeout = 1500ms;
// The roster is read anew for peers that have just started and do not ask this router.
static constexpr Milliseconds rosterInterval = 6000ms;
static constexpr Milliseconds rosterRetry = 300ms;

PeerExchange::PeerExchange(Common::FiberRuntime& runtime, Parts parts, std::string id, std::string_view fleetKey)
    : m_parts(std::move(parts))
    , m_id(std::move(id))
    , m_mesh(runtime, { m_id, Common::randomNumber() }, fleetKey)
    , m_subscriberLoads(loadReportMaxAge)
    , m_hubLoads(loadReportMaxAge)
{
    m_parts.watcher.setStoreReaderCheck([this] { return readsStore(); });
    m_parts.watcher.setOnChange([this] { notifySubscribers(); });
}

Common::Result<uint16_t> PeerExchange::listen(const Common::Endpoint& endpoint)
{
    Inner::Mesh::Hooks hooks;
    hooks.onItem = [this](const auto& sender, const auto& item) { onItem(sender, item); };
    hooks.onConnected = [](const std::string&) {};
    hooks.onDisconnected = [](const std::string&) {};
    auto port = m_mesh.listen(endpoint, std::move(hooks));
    if (!isError(port))
        m_endpoint = { endpoint.address, valueOf(port) };
    return port;
}

// Peers

void PeerExchange::watchRoster()
{
    bool announced = false;
    while (true) {
        if (!announced)
            announced = !isError(m_parts.roster.announce({ m_id, m_endpoint }));
        // Read after the own word is there: of two that start together, one at least sees the other.
        auto peers = m_parts.roster.read();
        if (!isError(peers)) {
            for (const auto& peer : valueOf(peers))
                addPeer(peer.id, peer.endpoint);
            std::lock_guard lock(m_mutex);
            m_knowsRoster = true;
        }
        bool mustRetry = !announced || isError(peers);
        do {
            Common::sleepFor(mustRetry ? rosterRetry : rosterInterval);
        } while (!mustRetry && !isHub());
    }
}

void PeerExchange::addPeer(const std::string& id, const Common::Endpoint& endpoint)
{
    if (id == m_id)
        return;
    {
        std::lock_guard lock(m_mutex);
        auto& peer = m_peers[id];
        if (peer.endpoint == endpoint)
            return;
        peer.endpoint = endpoint;
        peer.ignoredUntil = {};
        peer.timeouts = 0;
    }
    setMeshPeers();
}

void PeerExchange::setMeshPeers()
{
    std::vector<Inner::Peer> peers;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [id, peer] : m_peers)
            peers.push_back({ id, peer.endpoint });
    }
    m_mesh.setPeers(peers);
}

Routing::HubRanking PeerExchange::ranking() const
{
    auto now = Common::now();
    std::vector<std::string> ids;
    for (const auto& [id, peer] : m_peers)
        ids.push_back(id);
    return { ids, m_id, [&](const std::string& id) { return m_peers.at(id).ignoredUntil <= now; } };
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
    std::lock_guard lock(m_mutex);
    if (!m_knowsRoster)
        return std::nullopt;
    return m_peers.size() + 1;
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
    std::optional<Routing::HubRanking> ranked;
    {
        std::lock_guard lock(m_mutex);
        checkOverdueHub();
        ranked = ranking();
        if (m_isHub != ranked->isHub() || m_readsStore != ranked->readsStore())
            Common::log(LogLevel::Info, "gateway", "hub.role",
                { { "is_hub", ranked->isHub() }, { "reads_store", ranked->readsStore() },
                    { "asks", ranked->source().value_or("") }, { "peers", m_peers.size() } });
        m_isHub = ranked->isHub();
        m_readsStore = ranked->readsStore();
        m_outstanding.setTarget(ranked->source().value_or(""), ranked->isHub());
        auto others = m_hubLoads.sumExcluding({}, Common::now());
        Routing::addLoads(others, m_subscriberLoads.sumExcluding({}, Common::now()));
        m_parts.registry.setPeerLoads(std::move(others));
    }
    if (ranked->isHub())
        sendLoadsToHubs(ranked->otherHubs());
    if (ranked->source())
        ask(*ranked->source(), ranked->isHub());
}

// The caller holds the lock.
void PeerExchange::checkOverdueHub()
{
    auto now = Common::now();
    if (!m_outstanding.isOverdue(now))
        return;
    auto& source = m_peers[m_outstanding.source()];
    auto doublings = std::min(source.timeouts++, maxDoublings);
    source.ignoredUntil = now + initialHubBackoff * (1U << doublings);
    m_hubLoads.forget(m_outstanding.source());
    Common::log(LogLevel::Warning, "gateway", "hub.silent",
        { { "hub", m_outstanding.source() }, { "times", source.timeouts } });
    m_outstanding.clear();
}

void PeerExchange::ask(const std::string& source, bool asHub)
{
    Item item;
    auto& question = *item.mutable_knowledge_ask();
    auto configuration = m_parts.watcher.configuration();
    question.set_endpoint(m_endpoint.text());
    question.set_configuration_version(configuration ? configuration->table.version() : 0);
    question.set_upstreams_digest(m_parts.watcher.knowsUpstreams() ? m_parts.registry.digest() : 0);
    question.set_is_hub(asHub);
    Routing::LoadsByUpstream loads;
    if (!asHub)
        loads = m_parts.registry.ownLoads();
    {
        std::lock_guard lock(m_mutex);
        if (!asHub)
            Routing::addLoads(loads, m_subscriberLoads.sumExcluding(source, Common::now()));
        question.set_nonce(m_outstanding.add(Common::now()));
    }
    encodeLoads(loads, *question.mutable_loads());
    m_mesh.send(source, std::move(item));
}

void PeerExchange::sendLoadsToHubs(const std::vector<std::string>& hubs)
{
    Item item;
    auto loads = m_parts.registry.ownLoads();
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        Routing::addLoads(loads, m_subscriberLoads.sumExcluding({}, now));
        item.mutable_hub_loads()->set_routers(1 + m_subscriberLoads.routers(now));
    }
    encodeLoads(loads, *item.mutable_hub_loads()->mutable_loads());
    for (const auto& hub : hubs)
        m_mesh.send(hub, item);
}

// What peers say

void PeerExchange::onItem(const Inner::Mesh::Sender& sender, const Item& item)
{
    if (item.has_knowledge_ask())
        onSnapshotRequest(sender.id, item.knowledge_ask());
    else if (item.has_knowledge())
        onSnapshot(sender.id, item.knowledge());
    else if (item.has_hub_loads())
        onHubLoads(sender.id, item.hub_loads());
}

Inner::Wire::Knowledge PeerExchange::buildSnapshot(uint64_t version, uint64_t digest) const
{
    Inner::Wire::Knowledge knowledge;
    auto now = Common::now();
    if (auto configuration = m_parts.watcher.configuration()) {
        knowledge.set_configuration_version(configuration->table.version());
        knowledge.set_configuration_age_ms(encodeAge(m_parts.lease.age(now)));
        if (configuration->table.version() > version)
            knowledge.set_configuration(configuration->text);
    }
    knowledge.set_upstreams_age_ms(encodeAge(m_parts.watcher.upstreamsAge(now)));
    if (m_parts.watcher.knowsUpstreams() && m_parts.registry.digest() != digest) {
        knowledge.set_has_upstreams(true);
        for (const auto& record : m_parts.registry.upstreams())
            encodeUpstream(record, *knowledge.add_upstreams());
    }
    return knowledge;
}

// The knowledge for a peer that asks, without what is under way to it.
Inner::Wire::Knowledge PeerExchange::snapshotFor(const std::string& from, const Inner::Wire::KnowledgeAsk& question)
{
    auto now = Common::now();
    auto configuration = m_parts.watcher.configuration();
    auto version = configuration ? configuration->table.version() : 0;
    auto digest = m_parts.registry.digest();
    auto asksFor = std::pair(question.configuration_version(), question.upstreams_digest());
    {
        std::lock_guard lock(m_mutex);
        auto& peer = m_peers[from];
        if (peer.configuration.isInFlight(version, now))
            asksFor.first = version;
        if (peer.upstreams.isInFlight(digest, now))
            asksFor.second = digest;
    }
    auto knowledge = buildSnapshot(asksFor.first, asksFor.second);
    std::lock_guard lock(m_mutex);
    auto& peer = m_peers[from];
    if (!knowledge.configuration().empty())
        peer.configuration.note(version, now);
    if (knowledge.has_upstreams())
        peer.upstreams.note(digest, now);
    return knowledge;
}

void PeerExchange::onSnapshotRequest(const std::string& from, const Inner::Wire::KnowledgeAsk& question)
{
    if (auto endpoint = Common::parseEndpoint(question.endpoint()); !isError(endpoint))
        addPeer(from, valueOf(endpoint));
    Item item;
    auto& knowledge = *item.mutable_knowledge();
    knowledge = snapshotFor(from, question);
    knowledge.set_nonce(question.nonce());
    Routing::LoadsByUpstream loads;
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        auto& peer = m_peers[from];
        peer.asked = now;
        peer.ignoredUntil = {};
        knowledge.set_leaving(m_leaving);
        // A hub tells its loads to all hubs, and hears theirs.
        if (!question.is_hub()) {
            m_subscriberLoads.record(from, decodeLoads(question.loads()), 1, now);
            loads = m_parts.registry.ownLoads();
            Routing::addLoads(loads, m_subscriberLoads.sumExcluding(from, now));
            Routing::addLoads(loads, m_hubLoads.sumExcluding(from, now));
            knowledge.set_routers(m_subscriberLoads.routers(now) + m_hubLoads.routers(now));
        }
    }
    encodeLoads(loads, *knowledge.mutable_loads());
    m_mesh.send(from, std::move(item));
}

void PeerExchange::onSnapshot(const std::string& from, const Inner::Wire::Knowledge& knowledge)
{
    std::optional<Common::TimePoint> asked;
    {
        std::lock_guard lock(m_mutex);
        // Ages hold only for the answer to our own ask: news may have been under way for any time.
        if (knowledge.nonce()) {
            m_peers[from].timeouts = 0;
            m_peers[from].ignoredUntil = {};
        }
        asked = m_outstanding.take(from, knowledge.nonce());
        if (asked) {
            if (knowledge.leaving())
                m_peers[from].ignoredUntil = Common::now() + initialHubBackoff;
            if (!m_outstanding.asHub())
                m_hubLoads.record(from, decodeLoads(knowledge.loads()), knowledge.routers(), Common::now());
        }
    }
    auto confirmedBy = [&](uint32_t ageMs) { return asked ? *asked - Milliseconds(ageMs) : Common::TimePoint::min(); };
    if (knowledge.configuration_version())
        m_parts.watcher.updateConfigurationFromPeer(knowledge.configuration_version(), knowledge.configuration(),
            confirmedBy(knowledge.configuration_age_ms()));
    if (!knowledge.nonce())
        return Common::FiberRuntime::spawnHere([this] { step(); });
    if (asked)
        m_parts.watcher.updateUpstreamsFromPeer(decodeUpstreams(knowledge), confirmedBy(knowledge.upstreams_age_ms()));
}

void PeerExchange::onHubLoads(const std::string& from, const Inner::Wire::HubLoads& word)
{
    std::lock_guard lock(m_mutex);
    if (m_isHub)
        m_hubLoads.record(from, decodeLoads(word.loads()), word.routers(), Common::now());
}

// A change is told at once to those that ask this router, and they ask for the rest.
void PeerExchange::notifySubscribers()
{
    std::vector<std::string> subscribers;
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        for (const auto& [id, peer] : m_peers) {
            if (now - peer.asked < subscriberTimeout)
                subscribers.push_back(id);
        }
    }
    if (subscribers.empty())
        return;
    Item item;
    *item.mutable_knowledge() = buildSnapshot(0, m_parts.registry.digest());
    for (const auto& asker : subscribers)
        m_mesh.send(asker, item);
}

void PeerExchange::leave()
{
    std::lock_guard lock(m_mutex);
    m_leaving = true;
}

} // namespace Brassladder::RouteServing::Gateway
