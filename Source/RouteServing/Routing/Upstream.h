// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

// What is known of an upstream: its entry in the platform's list, what it reports, and what routers have sent to it.
namespace Brassladder::RouteServing::Routing {

// Which process of an upstream: another start has another id, or the same one and a later `born`.
struct UpstreamIncarnation {
    std::string id;
    uint64_t born { 0 };
    auto operator<=>(const UpstreamIncarnation&) const = default;
};

// One start of an upstream, as the platform lists it. Another start has another id, or the same one and a later `born`;
// it holds and knows nothing of before.
struct UpstreamRecord {
    std::string id;
    std::string service;
    Common::Endpoint endpoint;
    std::string failureDomain;
    unsigned slots { 1 }; // Requests that it serves at once.
    bool leaving { false };
    uint64_t born { 0 }; // When this start began, in milliseconds since the start of 1970; 0 when it does not say.
    bool spot { false }; // May be taken away at short notice.
    bool operator==(const UpstreamRecord&) const = default;

    UpstreamIncarnation incarnation() const { return { id, born }; }
};

// Requests at an upstream, as it reports them itself with a response.
struct ReportedLoad {
    unsigned running { 0 };
    unsigned waiting { 0 };
    unsigned slots { 0 };
};

// Requests that routers have outstanding at one upstream.
struct UpstreamLoad {
    unsigned requests { 0 };
    unsigned decodeHeavy { 0 }; // Of those, the generations whose decoding takes longer than their prefill.
    uint64_t prefillTokens { 0 }; // Prompt tokens, estimated as not cached, of requests without a first event yet.
};

// Keys of `LoadsByUpstream`: shorter on the wire than the id. Two upstreams with the same hash are each assumed to have
// the load of both.
uint32_t shortHash(std::string_view upstreamId);

using LoadsByUpstream = std::unordered_map<uint32_t, UpstreamLoad>; // By the short hash.

// Adds the second to the first.
void addLoads(LoadsByUpstream&, const LoadsByUpstream&);

} // namespace Brassladder::RouteServing::Routing
