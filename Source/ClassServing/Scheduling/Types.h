// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"

#include <cstdint>
#include <string>
#include <variant>

// Pure decisions: no I/O, no clock of their own (time is an argument), no locks.
namespace Brassladder::ClassServing::Scheduling {

using Common::Duration;
using Common::TimePoint;

// Service tiers, 0 being the highest. Four are what the users ask for.
using Tier = uint8_t;
// Tiers in all (the users' two-year target, docs/CAPACITY.md).
inline constexpr size_t tierCount = 4;

// One request for a slot: the entry that asks, and its own number for it.
struct AskId {
    uint64_t entry { 0 };
    uint64_t sequence { 0 };
    bool operator==(const AskId&) const = default;
    auto operator<=>(const AskId&) const = default;
};

// What the scheduler needs to know of a request class.
struct ClassPolicy {
    std::string name;
    Tier tier { 0 };
    Duration target {}; // Wanted time to the first token, or to the answer of a plain service.
    Duration maxWait {}; // After this long without a slot the request is refused.
    Duration guaranteeAfter {}; // After this long without a slot the class may use the guaranteed share.
    bool preemptible { false };
};

struct Ask {
    AskId id;
    const ClassPolicy* policy { nullptr }; // Outlives the scheduler.
    uint64_t workspace { 0 }; // A stable hash of the workspace's name.
    double weight { 1 }; // The workspace's share within its tier.
    uint64_t prefix { 0 }; // Hash of the prompt's prefix; 0: none.
    TimePoint arrived; // At its entry.
    std::string pinned; // The upstream that holds the paused generation; empty: any.
    std::string avoid; // The upstream that failed the last try; empty: none.
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

// Tells the entry to pause a running request and to ask again for the rest of it.
struct Preemption {
    AskId id;
};

using Decision = std::variant<Grant, Refusal, Preemption>;

// How a granted slot was given back.
enum class SlotOutcome : uint8_t {
    Completed,
    Preempted,
    Cancelled, // The caller went away, or the request was withdrawn before it was sent.
    ConnectFailed, // Did not run.
    RefusedByUpstream, // Did not run; the upstream is leaving or full.
    Broken, // The upstream failed while it ran.
};

struct Release {
    AskId id;
    SlotOutcome outcome { SlotOutcome::Completed };
    uint32_t tokens { 0 };
    Duration perToken {}; // Mean time between two tokens; zero when unknown.
};

} // namespace Brassladder::ClassServing::Scheduling

template <> struct std::hash<Brassladder::ClassServing::Scheduling::AskId> {
    size_t operator()(const Brassladder::ClassServing::Scheduling::AskId& id) const noexcept
    {
        // The entry's part is already a hash; the golden ratio (2^64 / phi) spreads the sequence.
        constexpr uint64_t goldenRatio = 0x9e3779b97f4a7c15ULL;
        return id.entry ^ (id.sequence * goldenRatio);
    }
};
