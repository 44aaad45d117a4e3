// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

// Upstreams as listed by the platform, the load that they report, and the requests that routers have outstanding there.
namespace Brassladder::RouteServing::Routing {

// Identifies one process of an upstream. A restarted process has a new id, or the same id and a later `born`.
struct UpstreamIncarnation {
    std::string id;
    uint64_t born { 0 };
    auto operator<=>(const UpstreamIncarnation&) const = default;
};

// One incarnation of an upstream, as listed by the platform. A later incarnation shares no state with an earlier one.
struct UpstreamRecord {
    std::string id;
    std::string service;
    Common::Endpoint endpoint;
    std::string failureDomain;
    unsigned slots { 1 }; // Requests that it serves concurrently.
    bool leaving { false };
    uint64_t born { 0 }; // Start of the process, in milliseconds since the Unix epoch; 0 if unknown.
    bool spot { false }; // May be reclaimed at short notice.
    bool evacuated { false }; // The operators evacuate its failure domain: nothing new is sent to it.
    // Until then the upstream is cold: it has just started, or lost its caches, and accepts only a few requests per
    // second from all routers together. TimePoint {} if its entry states that it is warm.
    Common::TimePoint coldUntil {};
    // Version of the software that the process runs, which does not change; empty if it is unknown.
    std::string softwareVersion {};
    bool operator==(const UpstreamRecord&) const = default;

    UpstreamIncarnation incarnation() const { return { id, born }; }
    // Whether this record of an upstream was written before the other one: it is of an earlier process, or it does not
    // state that the process is leaving although the other one does.
    bool isObsoleteAfter(const UpstreamRecord& other) const
    {
        return born < other.born || (born == other.born && other.leaving && !leaving);
    }
    // Whether its entry states that it is cold. Remains true after `coldUntil`, until the entry is written again.
    bool isListedAsCold() const { return coldUntil != Common::TimePoint {}; }
};

// Requests at an upstream, as reported by the upstream with each response.
struct ReportedLoad {
    unsigned running { 0 };
    unsigned waiting { 0 };
    unsigned slots { 0 };
    // How long work takes at the upstream now, relative to its usual time.
    double slowdown { 1 };
};

// Requests that routers have outstanding at one upstream.
struct UpstreamLoad {
    unsigned requests { 0 };
    unsigned decodeHeavy { 0 }; // Generations among them whose decoding takes longer than their prefill.
    uint64_t prefillTokens { 0 }; // Estimated uncached prompt tokens of requests without a first event.
    // Sum over these requests, including late ones, of their tokens divided by their route's objective in seconds.
    uint64_t prefillRate { 0 };
    // The part of `prefillTokens` that earlier routers reported. It is not included in `prefillRate`.
    uint64_t unratedPrefillTokens { 0 };
    unsigned waiting { 0 }; // Requests among them that wait for a slot and have not been sent.

    unsigned sent() const { return requests - std::min(requests, waiting); }
};

// Returns the key of `LoadsByUpstream`, which is shorter on the wire than the id. Upstreams with the same hash share
// one load.
uint32_t shortHash(std::string_view upstreamId);

using LoadsByUpstream = std::unordered_map<uint32_t, UpstreamLoad>; // Keyed by the short hash.

// Adds each load of the second map to the load of that upstream in the first.
void addLoads(LoadsByUpstream&, const LoadsByUpstream&);

} // namespace Brassladder::RouteServing::Routing
