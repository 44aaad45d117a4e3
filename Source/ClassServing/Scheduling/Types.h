// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"

#include <cstdint>
#include <string>
#include <variant>

// Scheduling decisions without I/O, clocks or locks of their own; the time is an argument. RetryBudget alone has a
// lock.
namespace Brassladder::ClassServing::Scheduling {

using Common::Duration;
using Common::TimePoint;

// Service tier; 0 is the highest.
using Tier = uint8_t;
// Number of tiers in the two-year target (docs/CAPACITY.md).
inline constexpr size_t tierCount = 4;

// Identifies a request for a slot: the entry, and the sequence number that the entry assigned.
struct AskId {
    uint64_t entry { 0 };
    uint64_t sequence { 0 };
    bool operator==(const AskId&) const = default;
    auto operator<=>(const AskId&) const = default;
};

// The scheduling parameters of a request class.
struct ClassPolicy {
    std::string name;
    Tier tier { 0 };
    Duration target {}; // Objective for the time to the first token, or to the response of a service.
    Duration maxWait {}; // A request that waits longer is refused.
    Duration guaranteeAfter {}; // A class whose requests wait longer may use a guaranteed slot.
    bool preemptible { false };
};

struct Ask {
    AskId id;
    const ClassPolicy* policy { nullptr }; // Must remain valid while the request is waiting or running.
    uint64_t workspace { 0 }; // A stable hash of the workspace's name.
    double weight { 1 }; // Weight of the workspace within its tier.
    uint64_t prefix { 0 }; // Hash of the prompt's prefix; 0: none.
    TimePoint arrived; // Time of arrival at the entry.
    std::string pinned; // The upstream with the state of the paused generation; empty: any.
    std::string avoid; // The upstream of the last failed attempt; empty: none.
};

struct Grant {
    AskId id;
    std::string upstream;
    bool guaranteed { false };
};

struct Refusal {
    AskId id;
    Common::ErrorKind kind { Common::ErrorKind::Internal };
    Common::Milliseconds retryAfter { 0 };
};

// Instructs the entry to pause a running request and to request a slot for the rest of it.
struct Preemption {
    AskId id;
};

using Decision = std::variant<Grant, Refusal, Preemption>;

// The reason why a slot was released.
enum class SlotOutcome : uint8_t {
    Completed,
    Preempted,
    Cancelled, // The caller disconnected, or the request was withdrawn before it was sent.
    ConnectFailed, // The request did not run.
    RefusedByUpstream, // The request did not run, because the upstream is leaving or full.
    Broken, // The upstream failed while the request was running.
};

struct Release {
    AskId id;
    SlotOutcome outcome { SlotOutcome::Completed };
    uint32_t tokens { 0 };
    Duration perToken {}; // Mean time between two tokens; 0: unknown.
};

} // namespace Brassladder::ClassServing::Scheduling

template <> struct std::hash<Brassladder::ClassServing::Scheduling::AskId> {
    size_t operator()(const Brassladder::ClassServing::Scheduling::AskId& id) const noexcept
    {
        // `entry` is already a hash. The multiplier (2^64 / phi) spreads sequential numbers.
        constexpr uint64_t goldenRatio = 0x9e3779b97f4a7c15ULL;
        return id.entry ^ (id.sequence * goldenRatio);
    }
};
