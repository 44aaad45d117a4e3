// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/DepartedUpstreams.h"
#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/EnginePlacement.h"
#include "RouteServing/Routing/FirstEventEstimate.h"
#include "RouteServing/Routing/FragileUpstreams.h"
#include "RouteServing/Routing/HomeRegions.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/RefusalBackoff.h"
#include "RouteServing/Routing/ReplicaPolicy.h"
#include "RouteServing/Routing/SendPermit.h"
#include "RouteServing/Routing/SendQuotas.h"
#include "RouteServing/Routing/Upstream.h"
#include "RouteServing/Routing/UpstreamHealth.h"
#include "RouteServing/Routing/UpstreamListDigest.h"
#include "RouteServing/Routing/UpstreamStatements.h"
#include "RouteServing/Routing/Urgency.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Holds the upstreams known to this router with their load and health, and chooses one for each request. Counts the
// requests that this router has outstanding. PlainPlacement and EnginePlacement implement the placement rules.
// Thread-safe.
class UpstreamRegistry {
public:
    // What a request requires of an upstream.
    struct PlacementRequest {
        std::string_view service;
        const Prompt* prompt { nullptr }; // Null for a plain service.
        EngineCapabilities engine {}; // For generations only. The registry fills in the pace.
        // How an earlier placement classified the generation; nullopt before the first one.
        std::optional<bool> isDecodeHeavy;
        Common::TimePoint due {}; // Deadline for the first event of a generation.
        Common::Milliseconds objective { 0 }; // Of the request's route; 0 if it states none.
        std::span<const std::string> attempted; // Ids of upstreams that were already attempted.
        // Excludes upstreams with a limit, and fragile ones. Set when no request is sent now, so that no quota and no
        // slot can be taken.
        bool excludesLimited { false };
        // Only the least loaded upstreams are candidates.
        bool onlyLeastLoaded { false };
        size_t rank { 0 }; // Urgency, 0 is the highest; decides who may use a scarce quota.
        // Failure domains of the upstreams that may serve the request; null if all may.
        const DomainSet* allowedDomains { nullptr };
        // Only upstreams of this software version may serve the request, and none if it is empty, since an empty
        // version is unknown. Any may if it is nullopt.
        std::optional<std::string_view> softwareVersion;
        bool isWaitingForQuota { false }; // An earlier search found no upstream, so the demand is recorded already.
    };
    struct Placement {
        UpstreamRecord upstream;
        uint64_t prefillTokens { 0 }; // Estimated prompt tokens that the engine has not cached.
        bool isDecodeHeavy { false };
        uint64_t queuedPrefillTokens { 0 }; // Estimated tokens of prompts that the engine prefills earlier.
        std::optional<Common::Endpoint> prefixSource; // The engine to fetch the shared prefix from.
        Punctuality punctuality { Punctuality::OnTime };
        Common::Milliseconds expectedFirstEvent { 0 }; // Relative to `placed`; zero if there is no estimate.
        Common::TimePoint placed {};
        size_t rank { 0 }; // Rank of the request.
        uint32_t upstreamHash { 0 }; // Short hash of the engine's id.
        unsigned tokensPerEvent { 0 }; // See EngineTraits; 0 for a plain service.
        Common::Milliseconds objective { 0 }; // Of the request's route; 0 if it states none.

        // Prefill tokens that later requests at the engine have to wait for. A late generation yields to others and
        // counts as 0.
        uint64_t blockingPrefillTokens() const { return punctuality == Punctuality::Late ? 0 : prefillTokens; }
        // Prefill tokens per second of the objective; 0 without an objective. Includes late generations, since they
        // need an engine too.
        uint64_t prefillRate() const;
    };

    explicit UpstreamRegistry(std::string failureDomain)
        : m_failureDomain(std::move(failureDomain))
    {
    }

    // Replaces the list of upstreams with the platform's list. `born` orders the incarnations of an id. An incarnation
    // that was listed as leaving remains so, even if a delayed list states otherwise. A later incarnation is a new
    // upstream: it does not inherit the leaving state or the outstanding requests. An earlier incarnation than the
    // known one is a delayed write and is ignored. Returns which upstreams started to leave, are gone or are back.
    std::vector<UpstreamDeparture> setUpstreams(std::vector<UpstreamRecord>);
    // Applies the difference between the last list and the next one. Returns the same.
    std::vector<UpstreamDeparture> applyChanges(UpstreamListChanges);
    // Sets how many requests per second a cold upstream of each service accepts from all routers together. A service
    // that is not listed does not limit them.
    void setColdRates(std::map<std::string, double, std::less<>> requestsPerSecond);
    // Returns whether the upstream is listed and neither its entry nor one of its responses states that it is leaving.
    bool isServing(std::string_view id) const;

    // Returns whether an upstream of the service at this software version is listed, even if it is leaving.
    bool listsVersion(std::string_view service, std::string_view softwareVersion) const;
    // Returns the endpoint of an upstream if isServing() holds for it.
    std::optional<Common::Endpoint> servingEndpoint(std::string_view id) const;

    // Returns the upstream that is expected to respond first, or nullopt if no upstream may receive the request.
    std::optional<Placement> choose(const PlacementRequest&, Common::TimePoint now);
    // Returns the earliest end of a cooldown among the eligible upstreams, or nullopt if none of them is in a cooldown.
    std::optional<Common::TimePoint> earliestCooldownEnd(const PlacementRequest&, Common::TimePoint now) const;
    // Returns the expected time until this router's quotas cover its recent unsent requests, or nullopt if none of the
    // eligible upstreams has a limit. Upstreams that are leaving or in a cooldown are not considered.
    std::optional<Common::Milliseconds> quotaWait(const PlacementRequest&, Common::TimePoint now) const;
    // Returns whether some upstream may receive the request and is neither ejected nor backed off.
    bool hasHealthyUpstream(const PlacementRequest&, Common::TimePoint now) const;
    // Returns a permit to send one request to the chosen upstream, and consumes one request of its quota if it has a
    // limit. Returns nullopt if the upstream is in a cooldown, is leaving or no longer listed, states another software
    // version, or has a limit and this router's quota is used up. Call it right before the first byte is sent, because
    // the list may have changed, or the upstream may have made a statement, since it was chosen.
    std::optional<SendPermit> permitSend(const UpstreamRecord&, Common::TimePoint now, size_t rank = 0);
    // Returns whether permitSend would return a permit, without consuming quota.
    bool allowsRequest(const UpstreamRecord&, Common::TimePoint now) const;

    // Records what the head of a response states about the upstream. Returns whether that is new information.
    bool recordStatement(const UpstreamRecord&, const UpstreamStatement&, Common::TimePoint now);
    // Records that a response has begun that is not a refusal.
    void recordResponse(const UpstreamRecord&);
    // The limits that upstreams set for all routers together. Synchronized internally.
    SendQuotas& quotas() { return m_quotas; }
    const SendQuotas& quotas() const { return m_quotas; }
    // Which upstreams are fragile. Synchronized internally.
    FragileUpstreams& fragile() { return m_fragile; }
    const FragileUpstreams& fragile() const { return m_fragile; }
    // Returns the service of the listed upstream with this statementKey, or an empty text.
    std::string serviceOf(uint32_t statementKey) const;
    // Returns how many requests all routers, as far as they report, have sent to the upstream with this statementKey
    // and not seen the end of.
    unsigned sentRequests(uint32_t statementKey) const;
    // How fast the engines are. Synchronized internally.
    EnginePaces& paces() { return m_paces; }
    const EnginePaces& paces() const { return m_paces; }
    // Returns the number of upstreams in a cooldown.
    size_t cooldownCount(Common::TimePoint now) const;

    // Call it when the request is about to be sent to the chosen upstream.
    void recordStart(const Placement&);
    // Records whether the started request waits for a slot of its upstream, and has not been sent.
    void recordWaiting(const Placement&, bool isWaiting);
    // Call it when the first event of a generation has arrived, which ends its prefill.
    void recordPrefillDone(const Placement&, Common::TimePoint now);
    // Call it at the end of the attempt. `hadPrefillDone`: whether `recordPrefillDone` was called for it.
    void recordEnd(const Placement&, bool hadPrefillDone, AttemptOutcome, Common::TimePoint now);
    void recordReport(std::string_view id, const ReportedLoad&, Common::TimePoint now);

    // Returns whether an engine recently failed in the middle of a response. Generations are replicated only while this
    // is the case.
    bool midStreamFailuresAreLikely(Common::TimePoint now) const;

    // Returns the load that this router has outstanding, as reported to other routers.
    LoadsByUpstream ownLoads() const;
    // Sets the load that all other routers have outstanding. Replaces the previous values. `knownShare` is the share of
    // the fleet's routers whose load is included, in [0, 1].
    void setPeerLoads(LoadsByUpstream, double knownShare = 1);
    LoadsByUpstream peerLoads() const;
    // Returns the load that all routers have outstanding at the upstreams of a service.
    UpstreamLoad outstandingOf(std::string_view service) const;
    // Estimates the time to the first event from those of the service's engines that this router relayed.
    FirstEventEstimate firstEventEstimate(std::string_view service, Common::TimePoint now) const;

    // Returns the upstreams of the last list. `leaving` is also set if an earlier list stated it for the incarnation;
    // statements of the upstreams themselves are not included.
    std::vector<UpstreamRecord> upstreams() const;
    // Returns the failure domains whose upstreams are marked as evacuated.
    std::set<std::string, std::less<>> evacuatedDomains() const;
    // Returns the digest of upstreams(). Equal lists have equal digests; that of an empty list is not 0.
    uint64_t digest() const;
    // Returns the digest of the last list as it was received. It differs from digest() if entries of the list were
    // ignored or are known to be leaving.
    uint64_t receivedDigest() const;
    // Returns how upstreams() differs from the list with the digest, or nullopt if that list is not known any more.
    std::optional<UpstreamListChanges> changesSince(uint64_t digest) const;

private:
    struct Entry {
        UpstreamRecord record;
        uint32_t hash { 0 };
        uint32_t statementKey { 0 };
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
    const Entry* find(const UpstreamRecord&) const;
    static Entry updatedEntry(const Entry& known, UpstreamRecord);
    // The functions below return whether upstreams() has changed.
    bool setEntry(UpstreamRecord);
    bool removeEntry(const std::string& id);
    std::vector<UpstreamDeparture> apply(UpstreamListChanges);
    struct ServingState {
        bool isListed { false };
        bool isLeaving { false };
        uint64_t born { 0 };
    };
    ServingState servingState(const std::string& id) const;
    // Returns what the list newly states about an upstream whose entry has changed.
    std::optional<UpstreamDeparture> departureSince(const ServingState& before, const std::string& id) const;
    void limitColdUpstream(const Entry&);
    // Whether the list has this incarnation at this software version and allows to send it new requests.
    bool isListedAsServing(const UpstreamRecord&) const;
    double outstanding(const Entry&, Common::TimePoint now) const;
    // Returns whether the upstream serves the requested service at the required version, is not listed as leaving, and
    // has not been attempted.
    static bool isEligible(const Entry&, const PlacementRequest&);
    // Returns whether the upstream is eligible and no statement of it forbids sending the request now. `limited`:
    // m_quotas.inForce(now).
    bool mayReceive(
        const Entry&, const PlacementRequest&, std::span<const uint32_t> limited, Common::TimePoint now) const;
    Candidates candidates(const PlacementRequest&, std::span<const uint32_t> limited, Common::TimePoint now) const;
    // Records demand for the quotas of all limited upstreams that are eligible, and whether any upstream was found.
    void recordDemand(const PlacementRequest&, std::span<const uint32_t> limited, bool hasFound, Common::TimePoint now);
    void keepLeastLoaded(Candidates&, Common::TimePoint now) const;
    std::optional<Placement> choosePlain(const Candidates&, Common::TimePoint now) const;
    std::optional<Placement> chooseEngine(
        const PlacementRequest&, const Candidates&, std::span<const uint32_t> limited, Common::TimePoint now);
    bool mayFetchPrefix(const UpstreamRecord& engine, const Entry& source, std::span<const uint32_t> limited,
        Common::TimePoint now) const;
    const Entry* findByStatementKey(uint32_t) const;
    EngineState engineState(const Entry&, double lowestErrorRate, Common::TimePoint now) const;
    FirstEventEstimate firstEventEstimate(const Entry&, Common::TimePoint now) const;
    ServicePace paceOf(std::string_view service, Common::TimePoint now) const;
    UpstreamLoad peerLoadOf(const Entry&) const;

    std::string m_failureDomain;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry, std::less<>> m_entries; // By id.
    UpstreamListDigest m_received; // Of the last list as it was received.
    UpstreamListDigest m_digest; // Of the records in `m_entries`.
    UpstreamChangeLog m_changes; // Of the records in `m_entries`.
    std::map<std::string, double, std::less<>> m_coldRates; // Requests per second, by service.
    std::map<std::string, EnginePlacement, std::less<>> m_placements; // By service.
    std::map<std::string, FirstEventObservations, std::less<>> m_firstEvents; // By service.
    LoadsByUpstream m_peerLoads;
    double m_knownShare { 1 }; // Of the fleet's routers, see setPeerLoads().
    MidStreamFailures m_midStreamFailures;
    DepartedUpstreams m_departed;
    UpstreamStatements m_statements;
    SendQuotas m_quotas;
    FragileUpstreams m_fragile;
    EnginePaces m_paces;
};

} // namespace Brassladder::RouteServing::Routing
