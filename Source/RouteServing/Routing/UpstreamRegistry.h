// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "RouteServing/Routing/EnginePlacement.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/UpstreamHealth.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// One start of an upstream, as the platform lists it. Another start has another id, also at the same address.
struct UpstreamRecord {
    std::string id;
    std::string service;
    Common::Endpoint endpoint;
    std::string failureDomain;
    unsigned slots { 1 };
    bool leaving { false };
    bool operator==(const UpstreamRecord&) const = default;
};

// What an upstream says of itself with an answer.
struct ReportedLoad {
    unsigned running { 0 };
    unsigned waiting { 0 };
    unsigned slots { 0 };
};

// Requests under way at one upstream.
struct UpstreamLoad {
    unsigned requests { 0 };
    unsigned writers { 0 }; // Of those, the generations that write more than they read.
    uint64_t prefillTokens { 0 }; // Prompt tokens, thought not to be cached, of requests without a first event yet.
};

// Shorter to tell than the id. Two upstreams that share one are thought to have the load of both.
uint32_t shortHash(std::string_view upstreamId);

using LoadsByUpstream = std::unordered_map<uint32_t, UpstreamLoad>; // By the short hash.

// All upstreams that this router knows, what is under way at each, and the choice among them. Safe to use from several
// threads.
class UpstreamRegistry {
public:
    // What a request needs of an upstream.
    struct PlacementRequest {
        std::string_view service;
        const Prompt* prompt { nullptr }; // Of a generation; null else.
        unsigned batch { 1 }; // Requests that one engine runs at once.
        std::span<const std::string> attempted; // Ids of upstreams that this request was already sent to.
    };
    struct Placement {
        UpstreamRecord upstream;
        uint64_t prefillTokens { 0 }; // What the engine has to read of the prompt, as far as we can tell.
        bool isDecodeHeavy { false }; // A generation that writes more than it reads.
        uint64_t queuedPrefillTokens {
            0
        }; // Of other prompts that the engine has to read first, as far as we can tell.
    };

    explicit UpstreamRegistry(std::string failureDomain)
        : m_failureDomain(std::move(failureDomain))
    {
    }

    // Takes over the platform's list, whole.
    void setUpstreams(std::vector<UpstreamRecord>);
    // An upstream said that it is leaving: it gets nothing new, whatever the list says.
    void markLeaving(std::string_view id);
    bool isServing(std::string_view id) const;
    size_t size() const;

    // The upstream where the request is expected to be answered first; none when no upstream may take it.
    std::optional<Placement> choose(const PlacementRequest&, Common::TimePoint now);
    // A request is sent to the chosen one.
    void recordStart(const Placement&);
    // The engine has read the prompt: its first event is here.
    void prefillDone(const Placement&);
    // `wasRead`: `prefillDone` was called before.
    void recordEnd(const Placement&, bool wasRead, TryOutcome, Common::TimePoint now);
    void recordReport(std::string_view id, const ReportedLoad&, Common::TimePoint now);

    // Whether an engine broke off in the middle of an answer lately: copies of runs are worth their price.
    bool enginesFailMidStream(Common::TimePoint now) const;

    // What this router has under way: to tell the others.
    LoadsByUpstream ownLoads() const;
    // What all other routers have under way; replaces what was told before.
    void setPeerLoads(LoadsByUpstream);
    LoadsByUpstream peerLoads() const;

    // The list as it was last set, with what upstreams said of themselves.
    std::vector<UpstreamRecord> upstreams() const;
    // The same for equal lists.
    uint64_t digest() const;

private:
    struct Entry {
        UpstreamRecord record;
        uint32_t hash { 0 };
        UpstreamLoad own;
        ReportedLoad recordReport;
        Common::TimePoint reportedAt {};
        UpstreamHealth health;
    };

    Entry* find(std::string_view id);
    double plainCost(const Entry&, Common::TimePoint now) const;
    double outstanding(const Entry&, Common::TimePoint now) const;
    std::vector<const Entry*> candidates(const PlacementRequest&, Common::TimePoint now) const;
    std::optional<Placement> choosePlain(std::span<const Entry* const>, Common::TimePoint now) const;
    std::optional<Placement> chooseEngine(
        const PlacementRequest&, std::span<const Entry* const>, Common::TimePoint now);
    UpstreamLoad loadOfOthersAt(const Entry&) const;

    std::string m_failureDomain;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, EnginePlacement, std::less<>> m_placements; // By service.
    LoadsByUpstream m_peerLoads;
    std::optional<Common::TimePoint>
        m_lastMidStreamFailure; // The last time that an engine did in the middle of an answer.
};

} // namespace Brassladder::RouteServing::Routing
