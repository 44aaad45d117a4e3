// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RequestIdentity.h"
#include "RouteServing/Routing/Upstream.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

// A request that was under way at upstreams when they crashed, and what follows for it. Pure.
//
// Of up to 64 requests that an engine takes with it one is guilty, and all are suspects. What tells them apart: the
// guilty one never ends well, so any run that does clears a request; and it crashes one upstream after the other, so
// crashes count in turn, each by a run that was sent after the crash before. A popular request that was under way at
// twenty engines of one rack has one crash in turn; a request that is never finished has as many as it was sent on for.
namespace Brassladder::RouteServing::Routing {

// One run that an upstream's crash ended.
struct CrashedRun {
    UpstreamIncarnation upstream;
    std::string requestId;
    Common::TimePoint sent;
    Common::TimePoint ended;
};

struct SuspectRecord {
    RequestIdentity request;
    std::string workspace;
    std::string target;
    // One for each start of an upstream, by the time of their end; the oldest may be missing (maxCrashedRuns).
    std::vector<CrashedRun> runs;
    // When a run of it ended well last, or an operator lifted it; the earliest time when neither was.
    Common::TimePoint cleared { Common::TimePoint::min() };
    // Runs that were allowed while it was held, since then.
    unsigned trials { 0 };
    Common::TimePoint lastTrial { Common::TimePoint::min() };
};

// Kept of one request: enough for the crashes in turn and the newest ones.
inline constexpr size_t maxCrashedRuns = 8;

enum class Suspicion : uint8_t {
    None,
    Once, // It was there when one upstream crashed: served, but a failed attempt is not tried again by the router.
    Repeated, // Two: it runs alone, one run in the whole fleet at a time.
    Held, // Three in turn: it is not sent on.
    OnTrial, // Held for long enough: one run in the whole fleet may be tried.
};
std::string_view name(Suspicion);

struct CrashCount {
    unsigned all { 0 }; // Upstreams that crashed while it was under way there.
    unsigned sequential { 0 }; // The longest chain of them in which each run was sent after the crash before.
};
// Of the runs that nothing has cleared since.
CrashCount countCrashes(const SuspectRecord&);
Suspicion suspicionOf(const SuspectRecord&, Common::TimePoint now);
// When the next trial is due; none when it is not held, or no more are made.
std::optional<Common::TimePoint> nextTrial(const SuspectRecord&);
// The newest thing that happened to it.
Common::TimePoint lastEventAt(const SuspectRecord&);

// Adds a run; false when that start of the upstream is known, or the run was cleared.
bool addRun(SuspectRecord&, const CrashedRun&);
// Adds what another router knows of the same request; false when there was nothing new in it.
bool merge(SuspectRecord&, const SuspectRecord& other);
// A trial begins.
void countTrial(SuspectRecord&, Common::TimePoint);
// It has ended well, or was lifted; false when that is no news.
bool clear(SuspectRecord&, Common::TimePoint);

} // namespace Brassladder::RouteServing::Routing
