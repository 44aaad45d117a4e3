// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Table.h"
#include "ClassServing/Dispatch/Sharding.h"
#include "ClassServing/Scheduling/ShardScheduler.h"
#include "Inner/Mesh.h"

#include <mutex>
#include <set>

namespace Brassladder::ClassServing::Dispatch {

// Schedules the shards that this router is the home of, by Scheduling/ShardScheduler.h. Its state is soft: when it is
// lost, the entries report to the next home what waits and what runs. It accepts every request, also when its own view
// names another home: two homes for a moment admit too much at worst, which the engines' priorities absorb. Safe to use
// from several threads.
class Home {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<std::shared_ptr<const Membership::View>()> view;
        std::function<std::shared_ptr<const Config::Table>()> table;
    };
    // After a shard moved here, lower tiers wait this long for the entries to report what runs. Chosen, not measured:
    // one heartbeat and a round trip.
    static constexpr Common::Milliseconds collectionTime { 300 };

    Home(std::string self, Hooks);

    void onAsk(const Inner::Mesh::Sender&, const Inner::Wire::Ask&);
    void onRelease(const Inner::Mesh::Sender&, const Inner::Wire::Release&);
    void onReset(const Inner::Mesh::Sender&, const Inner::Wire::Reset&);
    // Sends an entry its grants again, since its connection is new.
    void onEntryConnected(const std::string& entry);
    void onViewChanged(const Membership::View&);
    void report(const ShardKey&, std::string_view upstream, const Scheduling::LoadReport&);
    // Expires, preempts and grants where only time decides. To be called every few milliseconds.
    void tick();

    // The shards whose home this router is, in its own view, with their upstreams.
    std::vector<std::pair<ShardKey, std::vector<Membership::Upstream>>> ownShards() const;
    Common::Json status() const;

private:
    struct GrantedSlot {
        std::string entry;
        uint64_t sequence { 0 };
        std::string upstream;
        bool guaranteed { false };
    };
    struct Shard {
        ShardKey key;
        std::mutex mutex;
        Scheduling::ShardScheduler scheduler;
        std::unordered_map<Scheduling::AskId, GrantedSlot> granted;
        // Policies that the scheduler still refers to; cleared when it holds nothing.
        std::set<std::shared_ptr<const Config::RequestClass>> policies;
        explicit Shard(Scheduling::ShardOptions options)
            : scheduler(options)
        {
        }
    };

    std::shared_ptr<Shard> findOrOpenShard(const ShardKey&);
    std::shared_ptr<Shard> findShard(const ShardKey&) const;
    std::vector<std::shared_ptr<Shard>> shards() const;
    std::vector<Scheduling::UpstreamInfo> upstreamsOf(const ShardKey&) const;
    static void dropEntriesLocked(Shard&, const std::set<uint64_t>& entries);
    void decideLocked(Shard&, Scheduling::ShardScheduler::Decisions&);
    void sendDecisionsLocked(Shard&, const Scheduling::ShardScheduler::Decisions&);
    void refuse(const std::string& entry, uint64_t sequence, Common::ErrorKind);
    uint64_t entryNumber(const Inner::Mesh::Sender&);
    std::string entryName(uint64_t number) const;

    std::string m_self;
    Hooks m_hooks;
    mutable std::mutex m_mutex;
    std::map<ShardKey, std::shared_ptr<Shard>> m_shards;
    std::set<ShardKey> m_owned;
    std::map<uint64_t, std::string> m_entries;
};

} // namespace Brassladder::ClassServing::Dispatch
