// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RequestIdentity.h"
#include "RouteServing/Routing/Upstream.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

// Suspects: requests, and parts of prompts that requests share, that were in flight at upstreams when these crashed,
// and the restrictions that apply to them. Does no I/O and reads no clock.
//
// When an engine crashes, any of its up to 64 requests in flight, or any part of their prompts, may be the cause, so
// all of them are suspects. A suspect that causes crashes never completes and crashes one upstream after another.
// Therefore a completed run clears a suspect, and a suspect is held only after sequential crashes, in which each run
// was sent after the previous crash. If the engines of a failure domain crash together, a request that was in flight at
// all of them has one sequential crash.
//
// A part that many requests share is in flight at most crashes that another part causes. That it has completed before
// is evidence for it, so more crashes are needed to restrict it.
namespace Brassladder::RouteServing::Routing {

// A run that ended with a crash of its upstream.
struct CrashedRun {
    UpstreamIncarnation upstream;
    std::string requestId;
    Common::TimePoint sent;
    Common::TimePoint ended;
};

struct SuspectRecord {
    RequestIdentity request;
    // Of the first request that was in flight at a crash.
    std::string workspace;
    std::string target;
    // At most one per upstream incarnation and `maxCrashedRuns` in total, ordered by end time.
    std::vector<CrashedRun> runs;
    // When a run last completed or an operator cleared the request; TimePoint::min() if neither happened.
    Common::TimePoint cleared { Common::TimePoint::min() };
    bool hasCompleted { false }; // A request with the part has ever completed. Always false for a request.
    // Trial runs that were allowed while the request was held, since `cleared`.
    unsigned trials { 0 };
    Common::TimePoint lastTrial { Common::TimePoint::min() };
};

// Maximum number of runs kept per request. Runs outside the chain of sequential runs are dropped first.
inline constexpr size_t maxCrashedRuns = 8;

enum class Suspicion : uint8_t {
    None,
    Once, // In flight at a crash: served, but the router does not retry a failed attempt.
    // In flight at two crashes, or five if it has completed before: one run at a time in the whole fleet, on a least
    // loaded upstream.
    Repeated,
    // Three sequential crashes, and five in total if it has completed before: not sent to any upstream.
    Held,
    OnTrial, // Held for long enough: one trial run in the whole fleet is allowed.
};
// An engine that has sent events of a run for this long has not been crashed by the prompt. Much longer than a prompt
// that crashes its engine takes to do so after the run begins.
inline constexpr Common::Milliseconds longRunTime { 1000 };

std::string_view name(Suspicion);

struct CrashCount {
    unsigned all { 0 }; // Upstreams that crashed while the request was in flight there.
    unsigned sequential { 0 }; // Longest chain in which each run was sent after the previous crash.
};
// Counts the crashes since the request was last cleared.
CrashCount countCrashes(const SuspectRecord&);
Suspicion suspicionOf(const SuspectRecord&, Common::TimePoint now);
// Returns when the next trial is due, or nullopt if the request is not held or has no trials left.
std::optional<Common::TimePoint> nextTrial(const SuspectRecord&);
// Returns whether each crash of the suspect is also one of the other suspect, or may be one that its record dropped.
bool isExplainedBy(const SuspectRecord&, const SuspectRecord& other);
// Returns the time of the newest crash, trial or clearing.
Common::TimePoint lastEventAt(const SuspectRecord&);

// Adds a run. Returns false if the record did not change: a run at that incarnation is known, the run ended before the
// request was cleared, or the run was dropped because of `maxCrashedRuns`. Several requests with a part may be in
// flight at one incarnation; the one that was sent last is kept.
bool addRun(SuspectRecord&, const CrashedRun&);
// Merges another router's record of the same request. Returns false if it contained nothing new.
bool merge(SuspectRecord&, const SuspectRecord& other);
// Records the start of a trial.
void countTrial(SuspectRecord&, Common::TimePoint);
// Records that a run completed or an operator cleared the request. Returns false if that was already known.
bool clear(SuspectRecord&, Common::TimePoint);

} // namespace Brassladder::RouteServing::Routing
