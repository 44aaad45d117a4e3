// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Table.h"
#include "ClassServing/Dispatch/Sharding.h"
#include "ClassServing/Scheduling/ShardScheduler.h"
#include "Inner/Mesh.h"

#include <mutex>
#include <set>

namespace Brassladder::ClassServing::Dispatch {

// Schedules the shards whose home is this router, with one ShardScheduler each. The state is kept in memory only: if
// the home fails, the entries resend their waiting and running requests to the next home. A home accepts every request
// for a slot, even if another router is the home in its own view. Two homes of a shard may therefore briefly grant more
// slots than an engine has; the engine then schedules the requests by their tier. Thread-safe.
class Home {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<std::shared_ptr<const Membership::View>()> view;
        std::function<std::shared_ptr<const Config::Table>()> table;
    };
    // After a shard has moved to this home, lower tiers are not granted for this time, while the entries report their
    // running requests.
    static constexpr Common::Milliseconds collectionTime { 300 };

    Home(std::string self, Hooks);

    void onAsk(const Inner::Mesh::Sender&, const Inner::Wire::Ask&);
    void onRelease(const Inner::Mesh::Sender&, const Inner::Wire::Release&);
    void onReset(const Inner::Mesh::Sender&, const Inner::Wire::Reset&);
    // Called when a new connection to an entry is open. Resends the grants of that entry.
    void onEntryConnected(const std::string& entry);
    void onViewChanged(const Membership::View&);
    void report(const ShardKey&, std::string_view upstream, const Scheduling::LoadReport&);
    // Makes the decisions that depend only on time. Must be called every few milliseconds.
    void tick();

    // Returns the shards whose home is this router in its own view, with their upstreams.
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
        // Keeps the policies alive that the scheduler refers to. Cleared when the scheduler has no requests.
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
