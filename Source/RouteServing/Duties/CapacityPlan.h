// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/CapacityDemand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Duties {

// Limits and prices that operators set for a service with automatic scaling.
struct ScalingTerms {
    unsigned min { 0 }; // Engines per failure domain, of both kinds together.
    unsigned max { 0 };
    Common::Milliseconds boot { 0 }; // Time from the order until the engine serves.
    double spotPrice { 1 }; // Price of a spot engine relative to an on-demand engine.
    std::map<std::string, double> domainPrices; // Price of an engine per second, by failure domain; 1 if absent.
    bool operator==(const ScalingTerms&) const = default;
};

enum class EngineKind : uint8_t {
    OnDemand,
    Spot, // The platform may reclaim it at short notice, also all spot engines of a failure domain at once.
};

// The wanted number of engines of one kind in a failure domain.
struct CapacityOrder {
    std::string service;
    std::string domain;
    EngineKind kind { EngineKind::OnDemand };
    unsigned desired { 0 };
    bool operator==(const CapacityOrder&) const = default;
};

// State of the engines of one failure domain.
struct DomainCapacity {
    std::string domain;
    unsigned onDemand { 0 }; // Serving and not draining.
    unsigned spot { 0 };
    std::optional<unsigned> orderedOnDemand; // See CapacityOrders::setOrderedNumbers.
    std::optional<unsigned> orderedSpot;
    // Numbers that may be in force at the platform, because it accepted them or did not respond to them. No order of
    // the other kind may add up to more than `max` with them.
    unsigned possibleOnDemand { 0 };
    unsigned possibleSpot { 0 };
    // The platform recently had no free engines of the kind, or those that it has accepted since have not booted yet.
    bool lacksOnDemand { false };
    bool lacksSpot { false };
    bool operator==(const DomainCapacity&) const = default;
};

// What the targets of a service are made of, in engines of all domains. The parts add up to the targets unless the load
// requires more engines than these.
struct CapacityParts {
    double prefill { 0 }; // Required now.
    double decode { 0 }; // Required now.
    double headroom { 0 }; // For peaks, for an unseen burst, or until the load is known.
    double reserve { 0 }; // For the loss of one domain, and from rounding up in each domain.
    unsigned wanted { 0 }; // The targets.
};

// Computes how many engines of each kind a service should have in each failure domain.
//
// If spot engines are cheaper, they carry the load with headroom for bursts. Within `max`, their target suffices even
// if the platform reclaims all spot engines of one domain at once. On-demand engines form a permanent minimum and
// replace missing spot engines. They are released only when spot engines already serve in their place.
//
// While a domain lacks engines of a kind, other domains provide them. Its spot target remains, so that it is asked
// again.
//
// The targets of each domain add up to at least `min` and at most `max`, whatever the need. No side effects.
class CapacityPlan {
public:
    explicit CapacityPlan(ScalingTerms terms)
        : m_terms(std::move(terms))
    {
    }

    // Wanted numbers of engines in one domain.
    struct Target {
        unsigned onDemand { 0 };
        unsigned spot { 0 };
        bool operator==(const Target&) const = default;
    };
    // Returns the targets in the order of `domains`.
    std::vector<Target> targets(std::span<const DomainCapacity> domains, const CapacityNeed&) const;

    static CapacityParts partsOf(std::span<const Target>, const CapacityNeed&, const RequiredEngines&);

    // Returns the next orders towards the targets. Whichever of them the platform accepts, both numbers of a domain
    // together neither exceed `max` nor fall below `min`, as long as this holds before. A change of both kinds may
    // therefore take several rounds.
    std::vector<CapacityOrder> orders(
        const std::string& service, std::span<const DomainCapacity> domains, std::span<const Target> targets) const;

private:
    unsigned spotTargetPerDomain(size_t domains, unsigned needed) const;
    std::vector<size_t> domainsByPrice(std::span<const DomainCapacity> domains) const;

    ScalingTerms m_terms;
};

} // namespace Brassladder::RouteServing::Duties
