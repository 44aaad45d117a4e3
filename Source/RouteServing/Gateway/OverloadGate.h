// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/FleetQueues.h"
#include "RouteServing/Routing/OverloadPolicy.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Carries out the decisions of Routing/OverloadPolicy.h: holds and refuses generations while the engines of their
// service are overloaded, and counts those that are outstanding. Thread-safe.
class OverloadGate {
public:
    struct Settings {
        bool isEnabled { true };
        size_t maxHeld { 0 };
    };

    // Whether a workspace asks for more than its share of a service (short hashes of their names).
    using ShareRule
        = std::function<bool(uint32_t serviceHash, uint32_t workspaceHash, size_t rank, Common::TimePoint now)>;

    // How many of the fleet's routers are known.
    struct FleetCoverage {
        std::optional<size_t> routers; // Ever announced, including this one; nullopt until the roster is known.
        double unreachableLoadFactor { 1 }; // From the known load to that of the whole fleet.
    };

    // A generation of a caller. Refers to the state of its request.
    struct Generation {
        std::string_view requestId;
        const Routing::Route& route;
        const Routing::Workspace* workspace { nullptr };
        std::string_view service;
        const Routing::EngineTraits& engine;
        const Routing::Prompt& prompt;
        size_t rank { 0 };
        Common::TimePoint arrived {};
        Common::TimePoint deadline {};
    };

    // Counts a generation as outstanding while it exists.
    class Outstanding {
    public:
        Outstanding() = default;
        Outstanding(OverloadGate&, uint64_t number, Common::TimePoint begun, Common::Milliseconds expectedFirstEvent);
        Outstanding(Outstanding&&) noexcept;
        Outstanding& operator=(Outstanding&&) noexcept;
        ~Outstanding() { end(); }

        void recordFirstEvent(Common::TimePoint now);
        void end();
        // Returns nullopt if the first event was not recorded.
        std::optional<Common::TimePoint> firstEvent() const { return m_firstEvent; }

    private:
        OverloadGate* m_gate { nullptr };
        uint64_t m_number { 0 };
        Common::TimePoint m_begun {};
        Common::Milliseconds m_expectedFirstEvent { 0 }; // Zero if there is no estimate.
        std::optional<Common::TimePoint> m_firstEvent;
    };

    OverloadGate(Routing::UpstreamRegistry& registry, Settings settings)
        : m_registry(registry)
        , m_settings(settings)
        , m_held(settings.maxHeld)
    {
    }

    // Must be called before requests are served. Without it, only a router that is alone refuses anything.
    void setFleetCoverage(std::function<FleetCoverage()> coverage) { m_coverage = std::move(coverage); }
    // Empty by default: no workspace is over its share.
    void setShareRule(ShareRule rule) { m_isOverShare = std::move(rule); }
    Routing::FleetQueues& queues() { return m_queues; }

    // Blocks the fiber while the generation is held. Returns nullopt if it may begin. Call it before anything is sent
    // to an upstream.
    std::optional<Routing::Refusal> awaitCapacity(const Generation&, const std::function<bool()>& isAbandoned);
    // Call it when the generation is sent to an engine. `prefillTokens`: estimated tokens that are not cached there.
    Outstanding begin(const Generation&, uint64_t prefillTokens, bool hasEvents);
    // Records the events of a generation that ended normally.
    void recordOutput(const Generation&, const Outstanding&, size_t events);
    // Records that all engines that were tried have rejected the generation. Returns when its caller should return;
    // `shortestDelay` if no backlog is known.
    Common::Milliseconds recordRejection(const Generation&, Common::Milliseconds shortestDelay);
    // Called in a planned stop: refuses what is held.
    void stop() { m_isStopping = true; }
    // Sets the gauges; called when the metrics are read.
    void updateMetrics() const;

private:
    // State of a service, which is expensive to compute.
    struct ServiceState {
        Common::TimePoint at {};
        Routing::EnginePool pool;
    };
    struct Rejection {
        Common::TimePoint at {};
        size_t rank { 0 };
    };
    struct FleetState {
        std::optional<Common::TimePoint> at;
        Routing::LoadsByQueue loads;
        double knownShare { 0 };
    };

    // Decides once, and adds the request to the held ones or removes it.
    Routing::OverloadDecision decide(
        const Generation&, uint64_t number, bool isHeld, std::optional<bool>& isOverShare, Routing::OverloadView&);
    void endHold(const Generation&, uint64_t number, Common::TimePoint started);

    // The functions below require the lock, except the last two.
    void refreshFleet(Common::TimePoint now);
    const Routing::EnginePool& pool(const Generation&, Common::TimePoint now);
    Routing::OverloadView view(const Generation&, Common::TimePoint now);
    // `isOverShare`: the response of the share rule, once it was asked for this generation.
    Routing::OverloadRequest request(const Generation&, std::optional<bool>& isOverShare, Common::TimePoint now);
    std::optional<size_t> rejectedRank(const Generation&, Common::TimePoint now) const;
    Routing::Refusal refusal(const Generation&, const Routing::OverloadDecision&, const Routing::OverloadView&) const;
    static Routing::QueueKey key(const Generation&);

    Routing::UpstreamRegistry& m_registry;
    const Settings m_settings;
    std::function<FleetCoverage()> m_coverage { [] { return FleetCoverage { 1, 1 }; } };
    ShareRule m_isOverShare;
    Routing::FleetQueues m_queues;
    std::atomic<bool> m_isStopping { false };
    std::atomic<uint64_t> m_nextNumber { 1 }; // Of requests.

    mutable std::mutex m_mutex; // Guards the members below.
    FleetState m_fleet;
    std::map<std::string, ServiceState, std::less<>> m_services;
    std::map<uint32_t, Rejection> m_rejections; // By the short hash of the service: the most urgent recent one.
    Routing::OutputEstimates m_outputs;
    Routing::DecodeTimes m_decodeTimes;
    Routing::BeginShares m_shares;
    Routing::HeldRequests m_held;
};

} // namespace Brassladder::RouteServing::Gateway
