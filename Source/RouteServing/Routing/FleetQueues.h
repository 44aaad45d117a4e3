// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/PeerLoads.h"

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

// The generations that the routers of the fleet have outstanding, by service and urgency.
namespace Brassladder::RouteServing::Routing {

struct QueueKey {
    uint32_t service { 0 }; // Short hash of the service's name.
    uint32_t rank { 0 }; // Urgency; 0 is the highest.
    auto operator<=>(const QueueKey&) const = default;
};

// Outstanding generations of one rank at the engines of one service.
struct QueueLoad {
    uint64_t waiting { 0 }; // At engines, without an event yet.
    uint64_t waitingPrefillTokens { 0 }; // Of those, estimated.
    uint64_t running { 0 }; // With an event.
    uint64_t remainingOutputTokens { 0 }; // Expected, of `waiting` and `running` together.
    uint64_t held { 0 }; // At routers, not sent yet.

    bool operator==(const QueueLoad&) const = default;
};

using LoadsByQueue = std::map<QueueKey, QueueLoad>;

// Adds each load of the second map to the load of that key in the first.
void addLoads(LoadsByQueue&, const LoadsByQueue&);

// What a router expects of one generation when it sends it to an engine.
struct ExpectedWork {
    uint64_t prefillTokens { 0 };
    uint64_t outputTokens { 0 };
    Common::Milliseconds decodeTime { 0 }; // From the first to the last event; zero if unknown.
};

// Counts the outstanding generations of this router and sums those of the others (PeerSums). Thread-safe.
class FleetQueues {
public:
    using Number = uint64_t; // Of an outstanding generation of this router.

    FleetQueues();

    // Call it when a generation is about to be sent to an engine. `hasEvents` is whether it continues one that already
    // had events.
    Number begin(QueueKey, const ExpectedWork&, bool hasEvents, Common::TimePoint now);
    void recordFirstEvent(Number, Common::TimePoint now);
    void end(Number);
    // Counts a generation that waits at this router.
    void hold(QueueKey);
    void release(QueueKey);

    // Record the tables of other routers (PeerSums). A table that covers no router is ignored.
    void recordSubscriber(const std::string& id, LoadsByQueue, Common::TimePoint now);
    void recordHub(const std::string& id, LoadsByQueue, unsigned routers, Common::TimePoint now);

    // Returns the outstanding generations of this router.
    LoadsByQueue own(Common::TimePoint now) const;
    // Returns those of all known routers, including this one.
    LoadsByQueue all(Common::TimePoint now) const;
    // Return what this router reports to its hub or to other hubs, and to a subscriber (PeerSums).
    LoadsByQueue sumWithSubscribers(Common::TimePoint now, const std::string& target = {}) const;
    LoadsByQueue sumForSubscriber(const std::string& id, Common::TimePoint now) const;
    // Returns the number of other routers whose generations are known.
    unsigned otherRouters(Common::TimePoint now) const;

private:
    struct Generation {
        QueueKey key;
        ExpectedWork work;
        bool hasEvents { false };
        Common::TimePoint firstEvent {};
    };
    static uint64_t remainingOutput(const Generation&, Common::TimePoint now);
    LoadsByQueue ownLocked(Common::TimePoint now) const;

    mutable std::mutex m_mutex; // Guards the members below.
    std::map<Number, Generation> m_generations;
    std::map<QueueKey, uint64_t> m_held;
    Number m_next { 1 };
    PeerSums<LoadsByQueue> m_peers;
};

} // namespace Brassladder::RouteServing::Routing
