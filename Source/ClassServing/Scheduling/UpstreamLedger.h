// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"

#include <array>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Brassladder::ClassServing::Scheduling {

// An upstream as described by the instance list and the configuration.
struct UpstreamInfo {
    std::string id;
    uint32_t slots { 1 }; // Maximum number of concurrent requests.
    bool leaving { false };
};

// The load that an upstream reports. It may be outdated or wrong, so it can only reduce the number of granted slots.
struct LoadReport {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    bool leaving { false };
};

// Counts the granted slots of each upstream of a shard and selects upstreams for requests. The concurrency limit of an
// upstream adapts (AIMD): it decreases while the time per token is far above the median of the shard. Otherwise it
// grows by 1 / limit with each measured response, up to the number of slots. A failed upstream is ejected. The ejection
// time doubles with each consecutive failure, and afterwards the upstream gets one request at a time until one
// succeeds. Not thread-safe.
class UpstreamLedger {
public:
    // Replaces the set of upstreams. An upstream that is no longer listed is kept, marked as leaving, while it has
    // running requests.
    void setUpstreams(std::span<const UpstreamInfo>);
    void markLeaving(std::string_view upstream);
    void report(std::string_view upstream, const LoadReport&);

    void start(std::string_view upstream);
    void finish(std::string_view upstream, const Release&, TimePoint now);

    // Selects an upstream that has room. Prefers the lowest expected cost, or the upstream that has the prefix cached
    // if its cost is not much higher. Returns an empty string if no upstream has room.
    std::string pick(const Ask&, TimePoint now) const;
    // Returns whether a paused request may resume on the upstream, even if the upstream is leaving.
    bool hasRoomToResume(std::string_view upstream, TimePoint now) const;
    // Returns whether the upstream is known, not leaving and not ejected.
    bool acceptsNewRequests(std::string_view upstream, TimePoint now) const;
    bool isKnown(std::string_view upstream) const { return m_upstreams.contains(std::string(upstream)); }
    // Records the upstream that last received the prefix. Cache events of upstreams are delayed and incomplete.
    void rememberPrefix(uint64_t prefix, std::string_view upstream);

    // Returns the sum of the concurrency limits of the upstreams that accept new requests.
    double capacity(TimePoint now) const;
    uint32_t runningOn(std::string_view upstream) const;
    bool isEmpty() const { return m_upstreams.empty(); }
    std::vector<std::string> ids() const;

private:
    struct LedgerEntry {
        UpstreamInfo info;
        double limit { 1 };
        uint32_t running { 0 };
        uint32_t externalLoad { 0 }; // Reported requests that were not granted by this ledger.
        double secondsPerToken { 0 }; // Moving average; 0: unknown.
        uint32_t failures { 0 };
        TimePoint ejectedUntil {};
        TimePoint limitChanged {};
    };

    static bool acceptsNewRequests(const LedgerEntry&, TimePoint now);
    static bool hasRoom(const LedgerEntry&, TimePoint now);
    double costOf(const LedgerEntry&) const;
    void adaptLimit(LedgerEntry&, TimePoint now);
    void refreshMedian();

    std::unordered_map<std::string, LedgerEntry> m_upstreams;
    double m_medianSecondsPerToken { 0 };
    uint32_t m_samplesSinceMedian { 0 };
    // Size of a direct-mapped table, in which new prefixes replace old ones.
    static constexpr size_t prefixSlots = 4096;
    struct PrefixSlot {
        uint64_t prefix { 0 };
        std::string upstream;
    };
    std::vector<PrefixSlot> m_prefixes;
};

} // namespace Brassladder::ClassServing::Scheduling
