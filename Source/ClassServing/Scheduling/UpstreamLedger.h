// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"

#include <array>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Brassladder::ClassServing::Scheduling {

// An upstream as the instance list and the configuration describe it.
struct UpstreamInfo {
    std::string id;
    uint32_t slots { 1 }; // The most requests it states that it can run at once.
    bool leaving { false };
};

// What an upstream says of itself. It lags, and it may be false: it can narrow our view but never widen it.
struct LoadReport {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    bool leaving { false };
};

// Counts our own grants for each upstream of a shard and decides how many more each can take.
//
// The concurrency limit of an upstream adapts: it shrinks by a fifth while the upstream's time for a token stands at
// more than twice the median of the shard, and grows back by one over the limit with each good answer (AIMD). A
// upstream that fails is left out for a time that doubles with each failure in a row, and then tried with one request.
class UpstreamLedger {
public:
    // Replaces the set of upstreams; what runs on those that stay is kept.
    void setUpstreams(std::span<const UpstreamInfo>);
    void markLeaving(std::string_view upstream);
    void report(std::string_view upstream, const LoadReport&);

    void start(std::string_view upstream);
    void finish(std::string_view upstream, const Release&, TimePoint now);

    // How the best upstream for a request is found: room first, then expected time, then the prefix it has cached.
    // Empty when none has room.
    std::string pick(const Ask&, TimePoint now) const;
    // Room to go on with a paused request: also on an upstream that is leaving, since it is no new work.
    bool hasRoomToResume(std::string_view upstream, TimePoint now) const;
    // Whether a slot freed there could be used by another request.
    bool acceptsNewRequests(std::string_view upstream, TimePoint now) const;
    bool isKnown(std::string_view upstream) const { return m_upstreams.contains(std::string(upstream)); }
    // Where the request's prefix was sent last; the caches' own events come late and with gaps.
    void rememberPrefix(uint64_t prefix, std::string_view upstream);

    // The sum of the limits of the upstreams that take new work.
    double capacity(TimePoint now) const;
    uint32_t runningOn(std::string_view upstream) const;
    bool isEmpty() const { return m_upstreams.empty(); }
    std::vector<std::string> ids() const;

private:
    struct LedgerEntry {
        UpstreamInfo info;
        double limit { 1 };
        uint32_t running { 0 };
        uint32_t externalLoad { 0 }; // Reported load that is not ours.
        double secondsPerToken { 0 }; // Seconds, moving average; 0: unknown.
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
    // A direct-mapped table: old prefixes give way to new ones, and memory is bounded.
    static constexpr size_t prefixSlots = 4096;
    struct PrefixSlot {
        uint64_t prefix { 0 };
        std::string upstream;
    };
    std::vector<PrefixSlot> m_prefixes;
};

} // namespace Brassladder::ClassServing::Scheduling
