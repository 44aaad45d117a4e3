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

// Limits and prices that operators set for a service whose engines the fleet orders.
struct ScalingTerms {
    unsigned min { 0 }; // Engines per failure domain, of both kinds together.
    unsigned max { 0 };
    Common::Milliseconds boot { 0 }; // Time from the order until the engine serves.
    double spotPrice { 1 }; // Price of a spot engine relative to an on-demand engine.
    std::map<std::string, double> domainPrices; // Price of an engine per second, by failure domain.
    bool operator==(const ScalingTerms&) const = default;
};

enum class EngineKind : uint8_t {
    OnDemand,
    Spot, // May be taken away at short notice, all of one failure domain at once.
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
    std::optional<unsigned> orderedOnDemand; // The last number that the platform accepted from this holder.
    std::optional<unsigned> orderedSpot;
    bool operator==(const DomainCapacity&) const = default;
};

// Computes how many engines of each kind a service should have in each failure domain.
//
// Spot engines are cheaper and carry the load with headroom for bursts. Their number suffices even if the spot engines
// of one domain are all taken away at once. On-demand engines form a permanent minimum and fill in while there are
// fewer spot engines than needed. They are released only when spot engines already serve in their place.
//
// Targets are within `min` and `max` of their domain, for both kinds together, independent of the need. Pure.
class CapacityPlan {
public:
    explicit CapacityPlan(ScalingTerms terms)
        : m_terms(std::move(terms))
    {
    }

    // Numbers that are wanted now, in the order of `domains`.
    struct Target {
        unsigned onDemand { 0 };
        unsigned spot { 0 };
        bool operator==(const Target&) const = default;
    };
    std::vector<Target> targets(std::span<const DomainCapacity> domains, const CapacityNeed&) const;

    // Returns the next orders towards the targets. A kind is raised only into the room that the ordered number of the
    // other kind leaves below `max`, because only some orders may be accepted. On-demand engines are also raised as far
    // as `min` requires.
    std::vector<CapacityOrder> orders(
        const std::string& service, std::span<const DomainCapacity> domains, std::span<const Target> targets) const;

private:
    unsigned spotTargetPerDomain(size_t domains, unsigned needed) const;
    std::vector<size_t> domainsByPrice(std::span<const DomainCapacity> domains) const;

    ScalingTerms m_terms;
};

} // namespace Brassladder::RouteServing::Duties
