// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/PaceSums.h"
#include "RouteServing/Routing/Upstream.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// How long the engines of a service take for their work, on average.
struct ServicePace {
    double millisecondsPerPrefillToken { 0 };
    double millisecondsPerDecodedToken { 0 }; // Of one generation in a batch.
};

// Bounds of an engine's slowdown.
inline constexpr double minSlowdown = 0.125;
inline constexpr double maxSlowdown = 8;

// How fast each engine is, from the observations of all routers. Synchronized internally.
//
// Routers exchange what they observed within about the last second (PaceSums.h), and each of them accumulates the sum
// of all routers with a half-life of 10 s. If recent observations differ much from the accumulated ones, the engine has
// changed, and the recent ones replace them. Because the exchanged sums are short-lived, all routers notice a change,
// and a router that has just started has the same estimates as the others after one exchange.
class EnginePaces {
public:
    // Registers an engine, or another incarnation of it, which starts without observations. Observations of engines
    // that are not registered are ignored. `upstream` is the short hash of the id.
    void setEngine(uint32_t upstream, const UpstreamRecord&);
    void removeEngine(uint32_t upstream);

    // Records the time to the first event of a generation that had nothing queued before it.
    void recordPrefill(uint32_t upstream, double tokens, Common::Duration, Common::TimePoint now);
    // Records how long one generation took for the output tokens (PauseSampler.h).
    void recordDecode(uint32_t upstream, double tokens, Common::Duration, Common::TimePoint now);

    // Returns this router's recent observations, as reported to other routers. Omits engines without fresh ones.
    PacesByUpstream ownSums(Common::TimePoint now) const;
    // Adds the recent observations of this router and `peers`, those of all other routers, to the estimates. Call it
    // about twice a second; the estimates of the functions below only change here.
    void update(const PacesByUpstream& peers, Common::TimePoint now);
    // When an engine without observations last got some; nullopt if never. Reports sent earlier lack it.
    std::optional<Common::TimePoint> lastFirstObservation() const;
    // Returns the short hashes of the engines whose recent observations, of this router or of all, differ much from the
    // estimate, or did so at the given time or later. Their rows in reports sent earlier are outdated.
    std::vector<uint32_t> changedSince(Common::TimePoint) const;

    // Returns the ratio of the engine's time to the time that the service's average takes for the same work; 1 while
    // there are not enough observations. In [minSlowdown, maxSlowdown].
    double slowdownOf(uint32_t upstream, Common::TimePoint now) const;
    // Returns nullopt while there are no observations.
    std::optional<ServicePace> servicePace(std::string_view service, Common::TimePoint now) const;

    // The slowdowns of a service's engines that have observations.
    struct Range {
        double least { 1 };
        double median { 1 };
        double greatest { 1 };
        size_t engines { 0 };
    };
    // Returns the ranges by service; services without observations are omitted.
    std::map<std::string, Range, std::less<>> ranges(Common::TimePoint now) const;

    // An engine whose slowdown has changed by a factor of two since it was last returned here, or since its start.
    struct Change {
        std::string upstream; // Id.
        std::string service;
        double before { 1 };
        double slowdown { 1 };
    };
    // Returns at most `limit` changes that were not returned before.
    std::vector<Change> takeChanges(size_t limit, Common::TimePoint now);

private:
    struct Engine {
        UpstreamIncarnation incarnation;
        std::string service;
        PaceSums own; // Recent observations of this router.
        PaceSums accumulated; // Of all routers, with the weights as of `accumulated.at`.
        Common::TimePoint ignorePeersUntil {};
        Common::TimePoint settlesUntil {}; // After a change.
        Common::TimePoint changedAt {}; // When the recent observations last differed from the estimate.
        bool isRestarted { false }; // Since the last update.
        double notedSlowdown { 1 }; // As of the last change that takeChanges() returned.
    };
    using Engines = std::unordered_map<uint32_t, Engine>;

    void observe(uint32_t upstream, PaceSums observed, Common::TimePoint now);

    // The functions below require the lock.
    void accumulate(Engine&, const PaceSums& recent, Common::TimePoint now);
    static PaceSums recentSums(const Engine&, uint32_t upstream, const PacesByUpstream& peers, Common::TimePoint now);
    void updateServices();
    const ServicePace* paceOf(const Engine&) const;
    static std::optional<double> differenceFrom(const Engine&, const ServicePace&, const PaceSums& recent);
    double slowdownOf(const Engine&, Common::TimePoint now) const;

    mutable std::mutex m_mutex;
    Engines m_engines; // By short hash.
    std::map<std::string, ServicePace, std::less<>> m_services;
    std::optional<Common::TimePoint> m_lastUpdate;
    std::optional<Common::TimePoint> m_lastFirstObservation;
};

} // namespace Brassladder::RouteServing::Routing
