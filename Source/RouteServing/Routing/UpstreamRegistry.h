// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/DepartedUpstreams.h"
#include "RouteServing/Routing/EnginePlacement.h"
#include "RouteServing/Routing/FirstEventEstimate.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/RefusalBackoff.h"
#include "RouteServing/Routing/ReplicaPolicy.h"
#include "RouteServing/Routing/SendPermit.h"
#include "RouteServing/Routing/SendQuotas.h"
#include "RouteServing/Routing/Upstream.h"
#include "RouteServing/Routing/UpstreamHealth.h"
#include "RouteServing/Routing/UpstreamStatements.h"
#include "RouteServing/Routing/Urgency.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// All upstreams that this router knows, with their load and health, and the choice of one for a request. Owns the load
// that this router has outstanding; relies on PlainPlacement and EnginePlacement for the rules of the choice. Safe to
// use from several threads.
class UpstreamRegistry {
public:
    // What a request needs of an upstream.
    struct PlacementRequest {
        std::string_view service;
        const Prompt* prompt { nullptr }; // Of a generation; null for a plain service.
        EngineLimits engine {}; // Of a generation.
        Common::TimePoint due {}; // When the first event of a generation is wanted.
        std::span<const std::string> attempted; // Ids of upstreams that had this request before.
        bool isolated { false }; // It may crash its upstream: only those with the fewest requests may take it.
        // Nothing is sent now, so no quota helps: upstreams with a limit are left out.
        bool excludesLimited { false };
        size_t rank { 0 }; // How urgent it is, 0 the most: who gets what little a limited upstream takes.
        bool isWaitingForQuota { false }; // It has looked for an upstream before, and waits for a quota.
    };
    struct Placement {
        UpstreamRecord upstream;
        uint64_t prefillTokens { 0 }; // Estimated tokens of the prompt that the engine has not cached.
        bool isDecodeHeavy { false };
        uint64_t queuedPrefillTokens { 0 }; // Estimated tokens of other prompts that the engine prefills first.
        std::optional<Common::Endpoint> prefixSource; // The engine from which the shared prefix is to be fetched.
        Punctuality punctuality { Punctuality::OnTime };
        Common::Milliseconds expectedFirstEvent { 0 }; // After the placement; zero while nothing is known.
        Common::TimePoint placed {};
        size_t rank { 0 }; // Of the request.

        // What those behind it wait for. A late generation lets them go first.
        uint64_t blockingPrefillTokens() const { return punctuality == Punctuality::Late ? 0 : prefillTokens; }
    };

    explicit UpstreamRegistry(std::string failureDomain)
        : m_failureDomain(std::move(failureDomain))
    {
    }

    // Replaces the list by the platform's, whole. A start that was leaving stays leaving, whatever a late list says; a
    // later start under the same id is another upstream: it is not leaving and has nothing outstanding. An entry of an
    // earlier start than the known one is a late write: the known one stands. `born` orders the starts of one id.
    void setUpstreams(std::vector<UpstreamRecord>);
    // Whether it is listed, and neither its entry nor a response of its own says that it leaves.
    bool isServing(std::string_view id) const;

    // The upstream that is expected to respond first; none when no upstream may take the request.
    std::optional<Placement> choose(const PlacementRequest&, Common::TimePoint now);
    // When no upstream may take the request: when the first of those that have asked for rest may; none when none
    // rests.
    std::optional<Common::TimePoint> earliestCooldownEnd(const PlacementRequest&, Common::TimePoint now) const;
    // The same for those that have named a limit: how long it takes until this router may send them what it could not.
    std::optional<Common::Milliseconds> quotaWait(const PlacementRequest&, Common::TimePoint now) const;
    // Whether an upstream may take the request that neither rests nor was refusing or failing lately.
    bool hasHealthyUpstream(const PlacementRequest&, Common::TimePoint now) const;
    // Leave to send a request to the chosen upstream; none when it has asked for rest, or said that it leaves, since it
    // was chosen, or when it has a limit and this router's quota is used up. Asked right before the first byte: one
    // request of a quota is taken by it.
    std::optional<SendPermit> permitSend(const UpstreamRecord&, Common::TimePoint now, size_t rank = 0);
    // Whether permitSend would give leave.
    bool allowsRequest(const UpstreamRecord&, Common::TimePoint now) const;

    // What a response stated about its upstream, when its head came. Returns whether that is news.
    bool recordStatement(const UpstreamRecord&, const UpstreamStatement&, Common::TimePoint now);
    // A response has begun that is no refusal.
    void recordResponse(const UpstreamRecord&);
    // Limits that upstreams have named for all routers together. Locks itself.
    SendQuotas& quotas() { return m_quotas; }
    const SendQuotas& quotas() const { return m_quotas; }
    // Upstreams that rest now.
    size_t cooldownCount(Common::TimePoint now) const;

    // The request is about to be sent to the chosen upstream.
    void recordStart(const Placement&);
    // The first event of a generation arrived: its prefill is done.
    void recordPrefillDone(const Placement&, Common::TimePoint now);
    // The attempt is over. `hadPrefillDone`: `recordPrefillDone` was called for it.
    void recordEnd(const Placement&, bool hadPrefillDone, AttemptOutcome, Common::TimePoint now);
    void recordReport(std::string_view id, const ReportedLoad&, Common::TimePoint now);

    // Whether an engine broke off in the middle of a response lately: replicas of runs are worth their cost.
    bool midStreamFailuresAreLikely(Common::TimePoint now) const;

    // What this router has outstanding, to report it to other routers.
    LoadsByUpstream ownLoads() const;
    // What all other routers have outstanding; replaces the loads that were set before.
    void setPeerLoads(LoadsByUpstream);
    LoadsByUpstream peerLoads() const;
    // What all routers have outstanding at the upstreams of a service.
    UpstreamLoad outstandingOf(std::string_view service) const;
    // Learned from the first events of the service's engines that this router relayed.
    FirstEventEstimate firstEventEstimate(std::string_view service, Common::TimePoint now) const;

    // The list as it was last set, with `leaving` as this router knows it.
    std::vector<UpstreamRecord> upstreams() const;
    // Equal for equal lists.
    uint64_t digest() const;

private:
    struct Entry {
        UpstreamRecord record;
        uint32_t hash { 0 };
        uint32_t limitKey { 0 };
        UpstreamLoad own;
        ReportedLoad reported;
        Common::TimePoint reportedAt {};
        UpstreamHealth health;
        RefusalBackoff refusals;
        FirstEventObservations firstEvents;
    };
    using Candidates = std::vector<const Entry*>;

    Entry* find(std::string_view id);
    Entry* find(const UpstreamRecord&);
    static Entry updatedEntry(const Entry& known, UpstreamRecord);
    double outstanding(const Entry&, Common::TimePoint now) const;
    // Whether the upstream serves what is asked for, and the request has not been there.
    static bool isEligible(const Entry&, const PlacementRequest&);
    // Whether nothing that the upstream has stated forbids to send it the request now. `limited`: m_quotas.inForce().
    bool mayTake(const Entry&, const PlacementRequest&, std::span<const uint32_t> limited, Common::TimePoint now) const;
    Candidates candidates(const PlacementRequest&, std::span<const uint32_t> limited, Common::TimePoint now) const;
    // Tells the quotas that the request could go to limited upstreams, and whether it found any upstream.
    void recordDemand(const PlacementRequest&, std::span<const uint32_t> limited, bool hasFound, Common::TimePoint now);
    void keepLeastLoaded(Candidates&, Common::TimePoint now) const;
    std::optional<Placement> choosePlain(const Candidates&, Common::TimePoint now) const;
    std::optional<Placement> chooseEngine(
        const PlacementRequest&, const Candidates&, std::span<const uint32_t> limited, Common::TimePoint now);
    EngineState engineState(const Entry&, double lowestErrorRate, Common::TimePoint now) const;
    FirstEventEstimate firstEventEstimate(const Entry&, Common::TimePoint now) const;
    UpstreamLoad peerLoadOf(const Entry&) const;

    std::string m_failureDomain;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry, std::less<>> m_entries; // By id.
    std::map<std::string, EnginePlacement, std::less<>> m_placements; // By service.
    std::map<std::string, FirstEventObservations, std::less<>> m_firstEvents; // By service.
    LoadsByUpstream m_peerLoads;
    MidStreamFailures m_midStreamFailures;
    DepartedUpstreams m_departed;
    UpstreamStatements m_statements;
    SendQuotas m_quotas;
};

} // namespace Brassladder::RouteServing::Routing
