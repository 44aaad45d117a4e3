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

// What the operators allow and pay for a service whose engines the fleet orders.
struct ScalingTerms {
    unsigned min { 0 }; // Engines of a failure domain, of both kinds together.
    unsigned max { 0 };
    Common::Milliseconds boot { 0 }; // From the order until the engine serves.
    double spotPrice { 1 }; // Of an engine that may be taken away, as a share of one that may not.
    std::map<std::string, double> domainPrices; // Of an engine's second, by failure domain.
    bool operator==(const ScalingTerms&) const = default;
};

enum class EngineKind : uint8_t {
    OnDemand,
    Spot, // May be taken away at short notice, all of one failure domain at once.
};

// So many engines of a kind are wanted in a failure domain.
struct CapacityOrder {
    std::string service;
    std::string domain;
    EngineKind kind { EngineKind::OnDemand };
    unsigned desired { 0 };
    bool operator==(const CapacityOrder&) const = default;
};

// Engines of one failure domain.
struct DomainCapacity {
    std::string domain;
    unsigned onDemand { 0 }; // Serving, not leaving.
    unsigned spot { 0 };
    std::optional<unsigned> orderedOnDemand; // The last number that the platform accepted from this holder.
    std::optional<unsigned> orderedSpot;
    bool operator==(const DomainCapacity&) const = default;
};

// How many engines of each kind a service should have in each failure domain.
//
// Spot engines cost a fraction, so they carry the load, with headroom for bursts that are over before another engine
// has booted: as many as are needed when the largest domain's spot engines are taken away at once. On-demand engines
// are the floor that is never taken away, and fill in while spot engines are fewer than needed. On-demand engines are
// given back only for spot engines that serve already.
//
// Every order is within `min` and `max` of its domain, both kinds together, whatever is needed. Pure.
class CapacityPlan {
public:
    explicit CapacityPlan(ScalingTerms terms)
        : m_terms(std::move(terms))
    {
    }

    // The numbers wanted now, in the order of `domains`.
    struct Target {
        unsigned onDemand { 0 };
        unsigned spot { 0 };
        bool operator==(const Target&) const = default;
    };
    std::vector<Target> targets(std::span<const DomainCapacity> domains, const CapacityNeed&) const;

    // The next orders towards the targets: what is lowered first, so that both kinds together stay within the bounds
    // at each step, also when only some are accepted.
    std::vector<CapacityOrder> orders(
        const std::string& service, std::span<const DomainCapacity> domains, std::span<const Target> targets) const;

private:
    unsigned spotTarget(size_t domains, unsigned needed) const;
    std::vector<size_t> domainsByPrice(std::span<const DomainCapacity> domains) const;

    ScalingTerms m_terms;
};

} // namespace Brassladder::RouteServing::Duties
