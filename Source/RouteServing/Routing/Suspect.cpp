// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Suspect.h"

#include <algorithm>
#include <array>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::TimePoint;

// Number of sequential crashes after which a suspect is held.
static constexpr unsigned crashesToHold = 3;
// Number of crashes after which only one run of a suspect at a time is allowed in the whole fleet.
static constexpr unsigned crashesToRunAlone = 2;
// Number of crashes after which either restriction applies to a suspect that has completed before. It may have begun to
// crash upstreams only recently.
static constexpr unsigned crashesAfterCompletion = 5;
// How long a request is held before each trial. After the last trial it remains held until an operator clears it or its
// record expires. The number of trials is limited because a failed trial crashes an engine with all its requests.
// At most three sends are allowed after the third crash.
static constexpr std::array<Common::Milliseconds, 3> holdDurations { 10min, 1h, 6h };
// Two clearings whose times differ by no more than this are the same event. Greater than the message delay, by which
// the times of two routers differ, and less than the time between two crashes by the same request.
static constexpr Common::Milliseconds sameEventTolerance = 300ms;

std::string_view name(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::None:
        return "none";
    case Suspicion::Once:
        return "once";
    case Suspicion::Repeated:
        return "repeated";
    case Suspicion::Held:
        return "held";
    case Suspicion::OnTrial:
        return "on_trial";
    }
    return "none";
}

// Tolerance for comparing the times of two runs. Times of two routers differ by the message delay, and engines that
// crash together do so within a few milliseconds. A run that was sent up to this long before a crash counts as sent
// after it, and a run that ended up to this long after a crash counts as ended by the same event. A request that
// crashes its engine takes longer than that (docs/incidents/crashing-request.md).
static constexpr Common::Milliseconds clockTolerance = 40ms;

static bool isSequential(const CrashedRun& run, const CrashedRun& before)
{
    return run.sent > before.ended - clockTolerance && run.ended > before.ended + clockTolerance;
}

// Returns the longest chain of sequential runs. The runs are ordered by end time, so the greedy choice of the next run
// that ends first gives the longest chain.
static std::vector<const CrashedRun*> sequentialRuns(const SuspectRecord& suspect)
{
    std::vector<const CrashedRun*> chain;
    for (const auto& run : suspect.runs) {
        if (run.ended <= suspect.cleared)
            continue;
        if (chain.empty() || isSequential(run, *chain.back()))
            chain.push_back(&run);
    }
    return chain;
}

CrashCount countCrashes(const SuspectRecord& suspect)
{
    CrashCount count;
    for (const auto& run : suspect.runs)
        count.all += run.ended > suspect.cleared;
    count.sequential = static_cast<unsigned>(sequentialRuns(suspect).size());
    return count;
}

static bool isHeld(const SuspectRecord& suspect)
{
    auto count = countCrashes(suspect);
    return count.sequential >= crashesToHold && (!suspect.hasCompleted || count.all >= crashesAfterCompletion);
}

static bool runsAlone(const SuspectRecord& suspect)
{
    return countCrashes(suspect).all >= (suspect.hasCompleted ? crashesAfterCompletion : crashesToRunAlone);
}

static unsigned trialsSinceCleared(const SuspectRecord& suspect)
{
    return suspect.lastTrial > suspect.cleared ? suspect.trials : 0;
}

TimePoint lastEventAt(const SuspectRecord& suspect)
{
    auto last = std::max(suspect.cleared, suspect.lastTrial);
    return suspect.runs.empty() ? last : std::max(last, suspect.runs.back().ended);
}

std::optional<TimePoint> nextTrial(const SuspectRecord& suspect)
{
    auto trials = trialsSinceCleared(suspect);
    if (!isHeld(suspect) || trials >= holdDurations.size())
        return std::nullopt;
    return lastEventAt(suspect) + holdDurations[trials];
}

Suspicion suspicionOf(const SuspectRecord& suspect, TimePoint now)
{
    if (isHeld(suspect)) {
        auto trial = nextTrial(suspect);
        return trial && now >= *trial ? Suspicion::OnTrial : Suspicion::Held;
    }
    if (runsAlone(suspect))
        return Suspicion::Repeated;
    return countCrashes(suspect).all ? Suspicion::Once : Suspicion::None;
}

// Drops the oldest run outside the chain, or the oldest run if all are in the chain.
static void dropOldestOutsideChain(SuspectRecord& suspect)
{
    auto chain = sequentialRuns(suspect);
    auto outsideChain = std::find_if(suspect.runs.begin(), suspect.runs.end(),
        [&](const auto& run) { return std::find(chain.begin(), chain.end(), &run) == chain.end(); });
    suspect.runs.erase(outsideChain == suspect.runs.end() ? suspect.runs.begin() : outsideChain);
}

static CrashedRun* findRunAt(SuspectRecord& suspect, const UpstreamIncarnation& upstream)
{
    auto found = std::find_if(
        suspect.runs.begin(), suspect.runs.end(), [&](const auto& known) { return known.upstream == upstream; });
    return found == suspect.runs.end() ? nullptr : &*found;
}

bool isExplainedBy(const SuspectRecord& suspect, const SuspectRecord& other)
{
    bool hasDroppedRuns = other.runs.size() == maxCrashedRuns;
    return std::all_of(suspect.runs.begin(), suspect.runs.end(), [&](const auto& run) {
        bool isShared = std::any_of(other.runs.begin(), other.runs.end(),
            [&](const auto& candidate) { return candidate.upstream == run.upstream; });
        return isShared || (hasDroppedRuns && run.ended < other.runs.back().ended);
    });
}

// Of several requests with the same part, the one that was sent last decides whether crashes are sequential.
static bool replaceWithLaterRun(const SuspectRecord& suspect, CrashedRun& known, const CrashedRun& run)
{
    if (!suspect.request.isPromptPart() || run.sent <= known.sent + clockTolerance)
        return false;
    known.requestId = run.requestId;
    known.sent = run.sent;
    return true;
}

bool addRun(SuspectRecord& suspect, const CrashedRun& run)
{
    if (run.ended <= suspect.cleared)
        return false;
    if (auto* known = findRunAt(suspect, run.upstream))
        return replaceWithLaterRun(suspect, *known, run);
    auto later = std::upper_bound(suspect.runs.begin(), suspect.runs.end(), run.ended,
        [](TimePoint ended, const auto& known) { return ended < known.ended; });
    suspect.runs.insert(later, run);
    if (suspect.runs.size() <= maxCrashedRuns)
        return true;
    dropOldestOutsideChain(suspect);
    // If the new run itself was dropped, the record did not change. Otherwise each repeated report would be a change.
    return findRunAt(suspect, run.upstream);
}

bool clear(SuspectRecord& suspect, TimePoint at)
{
    // TimePoint::min() means never cleared.
    bool isKnown = suspect.cleared != TimePoint::min() && at <= suspect.cleared + sameEventTolerance;
    if (at == TimePoint::min() || isKnown)
        return false;
    suspect.cleared = at;
    std::erase_if(suspect.runs, [&](const auto& run) { return run.ended <= at; });
    return true;
}

void countTrial(SuspectRecord& suspect, TimePoint now)
{
    suspect.trials = trialsSinceCleared(suspect) + 1;
    suspect.lastTrial = now;
}

bool merge(SuspectRecord& suspect, const SuspectRecord& other)
{
    bool hasChanged = other.hasCompleted && !suspect.hasCompleted;
    suspect.hasCompleted |= other.hasCompleted;
    hasChanged |= clear(suspect, other.cleared);
    for (const auto& run : other.runs)
        hasChanged |= addRun(suspect, run);
    if (trialsSinceCleared(other) > trialsSinceCleared(suspect) && other.lastTrial > suspect.cleared) {
        suspect.trials = other.trials;
        suspect.lastTrial = other.lastTrial;
        hasChanged = true;
    }
    return hasChanged;
}

} // namespace Brassladder::RouteServing::Routing
