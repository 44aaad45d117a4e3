// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Dispatch/Home.h"

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Brassladder::ClassServing::Dispatch {

using Common::ErrorKind;
using Common::LogLevel;
using Common::Milliseconds;
using Inner::Wire::Item;

Home::Home(std::string self, Hooks hooks)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
{
}

uint64_t Home::entryNumber(const Inner::Mesh::Sender& sender)
{
    uint64_t number = Common::stableHash(sender.id, sender.incarnation);
    std::lock_guard lock(m_mutex);
    m_entries.try_emplace(number, sender.id);
    return number;
}

std::string Home::entryName(uint64_t number) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(number);
    return found == m_entries.end() ? std::string() : found->second;
}

std::shared_ptr<Home::Shard> Home::findShard(const ShardKey& key) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_shards.find(key);
    return found == m_shards.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Home::Shard>> Home::shards() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<Shard>> list;
    for (const auto& [key, shard] : m_shards)
        list.push_back(shard);
    return list;
}

std::shared_ptr<Home::Shard> Home::findOrOpenShard(const ShardKey& key)
{
    if (auto existing = findShard(key))
        return existing;
    auto table = m_hooks.table();
    const auto* pool = table->pool(key.pool);
    if (!pool)
        return nullptr;
    auto fresh = std::make_shared<Shard>(Scheduling::ShardOptions { .guaranteedSlots = pool->guaranteedSlots });
    fresh->key = key;
    fresh->scheduler.setCollectionEnd(Common::now() + collectionTime);
    // The shard is locked before it is inserted, and upstreamsOf reads the view after that. If the view changes
    // concurrently, either upstreamsOf reads the new view, or onViewChanged finds the shard and waits for its lock.
    std::lock_guard shardLock(fresh->mutex);
    {
        std::lock_guard lock(m_mutex);
        auto [place, isNew] = m_shards.try_emplace(key, fresh);
        if (!isNew)
            return place->second;
    }
    fresh->scheduler.setUpstreams(upstreamsOf(key));
    Common::log(LogLevel::Info, "dispatch", "shard.opened", { { "shard", key.text() } });
    return fresh;
}

std::vector<Scheduling::UpstreamInfo> Home::upstreamsOf(const ShardKey& key) const
{
    std::vector<Scheduling::UpstreamInfo> ofShard;
    auto view = m_hooks.view();
    auto table = m_hooks.table();
    const auto* pool = table->pool(key.pool);
    auto ofPool = view->pools.find(key.pool);
    if (!pool || ofPool == view->pools.end())
        return ofShard;
    uint32_t count = shardCount(*pool, ofPool->second.size());
    for (const auto& upstream : ofPool->second) {
        if (shardOf(key.pool, upstream.id, count) == key.index)
            ofShard.push_back({ upstream.id, pool->slotsPerUpstream, upstream.leaving });
    }
    return ofShard;
}

void Home::onAsk(const Inner::Mesh::Sender& sender, const Inner::Wire::Ask& message)
{
    auto table = m_hooks.table();
    auto requestClass = table->requestClass(message.request_class());
    auto shard = this->findOrOpenShard({ message.pool(), message.shard() });
    if (!requestClass || !shard)
        return refuse(sender.id, message.sequence(), ErrorKind::NotReady);
    auto now = Common::now();
    Scheduling::Ask ask;
    ask.id = { entryNumber(sender), message.sequence() };
    ask.policy = &requestClass->policy;
    ask.workspace = Common::stableHash(message.workspace());
    if (auto workspace = table->workspaces.find(message.workspace()); workspace != table->workspaces.end())
        ask.weight = workspace->second.weight;
    ask.prefix = message.prefix();
    ask.arrived = now - Milliseconds(message.waited_ms());
    ask.avoid = message.avoid();

    std::lock_guard lock(shard->mutex);
    shard->policies.insert(requestClass);
    if (message.running()) {
        shard->scheduler.restore(ask, message.worker(), message.guaranteed(), now);
        shard->granted[ask.id] = { sender.id, message.sequence(), message.worker(), message.guaranteed() };
        return;
    }
    ask.pinned = message.worker();
    Scheduling::ShardScheduler::Decisions decisions;
    shard->scheduler.ask(ask, now, decisions);
    decideLocked(*shard, decisions);
    // Confirms a queued request of the highest tier at once. Otherwise the entry would report this home as
    // unresponsive.
    bool granted = shard->granted.contains(ask.id);
    if (!granted && requestClass->policy.tier == 0) {
        Item item;
        item.mutable_queued()->set_sequence(message.sequence());
        m_hooks.send(sender.id, std::move(item));
    }
}

void Home::onRelease(const Inner::Mesh::Sender& sender, const Inner::Wire::Release& message)
{
    auto shard = findShard({ message.pool(), message.shard() });
    if (!shard)
        return;
    Scheduling::Release release;
    release.id = { entryNumber(sender), message.sequence() };
    release.outcome = static_cast<Scheduling::SlotOutcome>(message.outcome());
    release.tokens = message.tokens();
    release.perToken = std::chrono::microseconds(message.per_token_us());
    std::lock_guard lock(shard->mutex);
    shard->granted.erase(release.id);
    shard->scheduler.release(release, Common::now());
    Scheduling::ShardScheduler::Decisions decisions;
    decideLocked(*shard, decisions);
    if (!shard->scheduler.runningCount() && shard->scheduler.isIdle())
        shard->policies.clear();
}

void Home::onReset(const Inner::Mesh::Sender& sender, const Inner::Wire::Reset& reset)
{
    uint64_t number = entryNumber(sender);
    std::set<uint64_t> gone { number };
    {
        // Also drops the entries of earlier incarnations of the same instance, since those processes have ended.
        std::lock_guard lock(m_mutex);
        for (const auto& [other, name] : m_entries) {
            if (name == sender.id)
                gone.insert(other);
        }
        std::erase_if(m_entries, [&](const auto& item) { return item.first != number && gone.contains(item.first); });
    }
    for (const auto& shard : shards()) {
        if (!reset.pool().empty() && shard->key != ShardKey { reset.pool(), reset.shard() })
            continue;
        std::lock_guard lock(shard->mutex);
        dropEntriesLocked(*shard, gone);
    }
}

void Home::dropEntriesLocked(Shard& shard, const std::set<uint64_t>& entries)
{
    for (uint64_t entry : entries)
        shard.scheduler.dropEntry(entry, Common::now());
    std::erase_if(shard.granted, [&](const auto& item) { return entries.contains(item.first.entry); });
}

void Home::onEntryConnected(const std::string& entry)
{
    for (const auto& shard : shards()) {
        std::lock_guard lock(shard->mutex);
        for (const auto& [id, granted] : shard->granted) {
            if (granted.entry != entry)
                continue;
            Item item;
            auto& grant = *item.mutable_grant();
            grant.set_sequence(granted.sequence);
            grant.set_worker(granted.upstream);
            grant.set_guaranteed(granted.guaranteed);
            m_hooks.send(entry, std::move(item));
        }
    }
}

void Home::onViewChanged(const Membership::View& view)
{
    std::set<ShardKey> owned;
    for (const auto& [key, upstreams] : ownShards())
        owned.insert(key);
    std::set<ShardKey> before;
    {
        std::lock_guard lock(m_mutex);
        before = std::exchange(m_owned, owned);
    }
    for (const auto& shard : shards()) {
        std::lock_guard lock(shard->mutex);
        // The view is read under the lock, so of two concurrent changes the one applied last uses the later view.
        shard->scheduler.setUpstreams(upstreamsOf(shard->key));
        if (owned.contains(shard->key) && !before.contains(shard->key))
            shard->scheduler.setCollectionEnd(Common::now() + collectionTime);
        // Drops the requests of entries that are no longer alive and frees their slots, although engines may still
        // process these requests.
        std::set<uint64_t> dead;
        for (const auto& [id, granted] : shard->granted) {
            if (granted.entry != m_self && !std::binary_search(view.routers.begin(), view.routers.end(), granted.entry))
                dead.insert(id.entry);
        }
        dropEntriesLocked(*shard, dead);
        Scheduling::ShardScheduler::Decisions decisions;
        decideLocked(*shard, decisions);
    }
}

void Home::report(const ShardKey& key, std::string_view upstream, const Scheduling::LoadReport& load)
{
    auto shard = findShard(key);
    if (!shard)
        return;
    std::lock_guard lock(shard->mutex);
    shard->scheduler.report(upstream, load);
}

void Home::tick()
{
    for (const auto& shard : shards()) {
        std::lock_guard lock(shard->mutex);
        if (shard->scheduler.isIdle())
            continue;
        Scheduling::ShardScheduler::Decisions decisions;
        decideLocked(*shard, decisions);
    }
}

void Home::decideLocked(Shard& shard, Scheduling::ShardScheduler::Decisions& decisions)
{
    shard.scheduler.decide(Common::now(), decisions);
    sendDecisionsLocked(shard, decisions);
}

void Home::sendDecisionsLocked(Shard& shard, const Scheduling::ShardScheduler::Decisions& decisions)
{
    for (const auto& decision : decisions) {
        Item item;
        uint64_t entry = 0;
        if (const auto* grant = std::get_if<Scheduling::Grant>(&decision)) {
            entry = grant->id.entry;
            auto& message = *item.mutable_grant();
            message.set_sequence(grant->id.sequence);
            message.set_worker(grant->upstream);
            message.set_guaranteed(grant->guaranteed);
            shard.granted[grant->id] = { entryName(entry), grant->id.sequence, grant->upstream, grant->guaranteed };
        } else if (const auto* refusal = std::get_if<Scheduling::Refusal>(&decision)) {
            entry = refusal->id.entry;
            auto& message = *item.mutable_refusal();
            message.set_sequence(refusal->id.sequence);
            message.set_kind(static_cast<uint32_t>(refusal->kind));
            message.set_retry_after_ms(static_cast<uint32_t>(refusal->retryAfter.count()));
        } else {
            const auto& preemption = std::get<Scheduling::Preemption>(decision);
            entry = preemption.id.entry;
            item.mutable_preemption()->set_sequence(preemption.id.sequence);
        }
        m_hooks.send(entryName(entry), std::move(item));
    }
}

void Home::refuse(const std::string& entry, uint64_t sequence, ErrorKind kind)
{
    Item item;
    auto& refusal = *item.mutable_refusal();
    refusal.set_sequence(sequence);
    refusal.set_kind(static_cast<uint32_t>(kind));
    refusal.set_retry_after_ms(static_cast<uint32_t>(Common::traits(kind).retryAfter.count()));
    m_hooks.send(entry, std::move(item));
}

std::vector<std::pair<ShardKey, std::vector<Membership::Upstream>>> Home::ownShards() const
{
    std::vector<std::pair<ShardKey, std::vector<Membership::Upstream>>> owned;
    auto view = m_hooks.view();
    auto table = m_hooks.table();
    for (const auto& [name, pool] : table->pools) {
        auto ofPool = view->pools.find(name);
        if (ofPool == view->pools.end())
            continue;
        uint32_t count = shardCount(pool, ofPool->second.size());
        for (uint32_t index = 0; index < count; ++index) {
            ShardKey key { name, index };
            if (homeOf(*view, key) != m_self)
                continue;
            std::vector<Membership::Upstream> ofShard;
            for (const auto& upstream : ofPool->second) {
                if (shardOf(name, upstream.id, count) == index)
                    ofShard.push_back(upstream);
            }
            owned.emplace_back(std::move(key), std::move(ofShard));
        }
    }
    return owned;
}

Common::Json Home::status() const
{
    std::set<ShardKey> owned;
    {
        std::lock_guard lock(m_mutex);
        owned = m_owned;
    }
    auto list = Common::Json::object();
    for (const auto& shard : shards()) {
        std::lock_guard lock(shard->mutex);
        auto byTier = Common::Json::array();
        for (Scheduling::Tier tier = 0; tier < Scheduling::tierCount; ++tier) {
            byTier.push_back({ { "waiting", shard->scheduler.waitingCount(tier) },
                { "running", shard->scheduler.runningCount(tier) } });
        }
        auto upstreams = Common::Json::object();
        for (const auto& id : shard->scheduler.ledger().ids())
            upstreams[id] = shard->scheduler.ledger().runningOn(id);
        list[shard->key.text()]
            = { { "home", owned.contains(shard->key) }, { "tiers", byTier }, { "running_on", upstreams } };
    }
    return list;
}

} // namespace Brassladder::ClassServing::Dispatch
