// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/ExpectedStart.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

// Decides whether a generation is sent to an engine now, waits at its router, or is refused, while the engines of its
// service are overloaded. Pure.
//
// An engine serves its queue by urgency, which a router cannot do for the generations of other routers. Therefore a
// generation waits at its router only while the engines would reject it, and only briefly.
namespace Brassladder::RouteServing::Routing {

// Interval at which a held request is decided on again.
inline constexpr Common::Milliseconds holdInterval { 20 };

enum class OverloadOutcome : uint8_t { Begin, Hold, Refuse };

// Why a request gets its outcome.
enum class OverloadReason : uint8_t {
    LoadUnknown, // Too few routers are known, or no pace: begins.
    Room, // Slots are free for its rank: begins.
    InTime, // It has to wait at an engine, but ends in time: begins.
    Late, // It has waited too long for a refusal, or was probably refused before: begins.
    GuaranteedShare, // Its rank would starve otherwise: begins.
    EnginesFull, // The engines would reject it: held or refused.
    Behind, // More urgent or earlier requests are held: held.
    CannotEnd, // It cannot end before its deadline even if it begins now: refused.
    Backlog, // The generations before it leave no time to end before its deadline: refused.
    OverShare, // Its workspace is over its share: refused.
};

std::string_view name(OverloadOutcome);
std::string_view name(OverloadReason);

struct OverloadDecision {
    OverloadOutcome outcome { OverloadOutcome::Begin };
    OverloadReason reason { OverloadReason::LoadUnknown };
    bool operator==(const OverloadDecision&) const = default;
};

// A generation that nothing was sent of yet.
struct OverloadRequest {
    size_t rank { 0 }; // Urgency; 0 is the highest.
    Common::TimePoint arrived {};
    Common::TimePoint deadline {};
    Common::Milliseconds objective { 0 };
    Common::Milliseconds usualTimeout { 0 }; // Of its route. A shorter one suggests that its caller has returned.
    Common::Milliseconds shortestRun { 0 }; // Least time that it takes on an engine with room.
    // Whether its workspace asks for more than its share. Called only if the request can be refused for that; empty if
    // no shares are computed.
    std::function<bool()> isOverShare;
};

// What a router knows of the engines of the request's service, for the request's rank.
struct OverloadView {
    bool isKnown { false }; // The pace of the engines and the load of enough routers are known.
    bool hasRoom { false }; // Fewer generations of this and more urgent ranks than slots.
    bool areEnginesFull { false }; // Slots and queues are full with them.
    bool hasRecentRejection { false }; // An engine has rejected a generation of this or a more urgent rank.
    bool hasMoreUrgentRejection { false }; // Of a more urgent rank.
    bool othersWait { false }; // Generations of the service still wait after the age of the view.
    Common::Milliseconds expectedStart { 0 };
    Backlog backlog;
};

// Whether the load of that share of the fleet's routers suffices to refuse anything.
bool isEnoughKnown(double share);

// `knownShare` is the share of the fleet's routers whose load is in `loads`, in [0, 1]. `rejectedRank` is the most
// urgent rank that an engine of the service has rejected recently.
OverloadView overloadView(const EnginePool&, const LoadsByQueue& loads, uint32_t service, size_t rank,
    double knownShare, double tokensPerGeneration, std::optional<size_t> rejectedRank);

// State of this router that the decision depends on.
struct RouterQueueState {
    bool mayHold { false }; // The request is held already, or there is place for it.
    bool isBehind { false }; // Requests that go before it are held for the same service.
    bool isRankStarved { false }; // BeginShares::isStarved.
};

OverloadDecision decide(const OverloadRequest&, const OverloadView&, const RouterQueueState&, Common::TimePoint now);

// Until when the request may be refused. A caller that has waited longer is better served late.
Common::TimePoint refusableUntil(const OverloadRequest&);

// Counts the generations that begin, by service and rank, so that each rank that is refused keeps a twentieth of them.
// The counts decay. Not thread-safe.
class BeginShares {
public:
    void recordBegin(QueueKey, Common::TimePoint now);
    bool isStarved(QueueKey, Common::TimePoint now) const;

private:
    struct Count {
        double value { 0 };
        Common::TimePoint at {};
    };
    static double valueAt(const Count&, Common::TimePoint now);

    std::map<QueueKey, Count> m_counts;
};

// The requests that this router holds: the most urgent rank first, then those that can still be in time, then by
// arrival. Not thread-safe.
class HeldRequests {
public:
    struct Request {
        uint64_t number { 0 }; // Unique.
        QueueKey key;
        bool canBeInTime { false };
        Common::TimePoint arrived {};
    };

    explicit HeldRequests(size_t maxCount)
        : m_maxCount(maxCount)
    {
    }

    // Whether the request is held or may be. A full queue has place for requests that go before its last one.
    bool hasPlaceFor(const Request&) const;
    // Adds the request unless it is held, and drops the last one if there are too many.
    void add(const Request&);
    void remove(uint64_t number);
    bool contains(uint64_t number) const;
    // Whether another request for the same service is held that goes before this one.
    bool isBehind(const Request&) const;
    size_t size() const { return m_requests.size(); }
    // Returns when the longest held request has arrived; `now` if none is held.
    Common::TimePoint oldestArrival(Common::TimePoint now) const;

private:
    static bool goesBefore(const Request&, const Request&);

    size_t m_maxCount;
    std::vector<Request> m_requests; // In their order.
};

} // namespace Brassladder::RouteServing::Routing
