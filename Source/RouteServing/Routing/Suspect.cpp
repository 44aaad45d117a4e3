// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Suspect.h"

#include <algorithm>
#include <array>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::TimePoint;

// Number of sequential crashes after which a request is held.
static constexpr unsigned crashesToHold = 3;
// Number of crashes after which only one run of a request at a time is allowed in the whole fleet.
static constexpr unsigned crashesToRunAlone = 2;
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
    if (countCrashes(suspect).sequential < crashesToHold || trials >= holdDurations.size())
        return std::nullopt;
    return lastEventAt(suspect) + holdDurations[trials];
}

Suspicion suspicionOf(const SuspectRecord& suspect, TimePoint now)
{
    auto count = countCrashes(suspect);
    if (count.sequential >= crashesToHold) {
        auto trial = nextTrial(suspect);
        return trial && now >= *trial ? Suspicion::OnTrial : Suspicion::Held;
    }
    if (count.all >= crashesToRunAlone)
        return Suspicion::Repeated;
    return count.all ? Suspicion::Once : Suspicion::None;
}

// Drops the oldest run outside the chain, or the oldest run if all are in the chain.
static void dropOldestOutsideChain(SuspectRecord& suspect)
{
    auto chain = sequentialRuns(suspect);
    auto outsideChain = std::find_if(suspect.runs.begin(), suspect.runs.end(),
        [&](const auto& run) { return std::find(chain.begin(), chain.end(), &run) == chain.end(); });
    suspect.runs.erase(outsideChain == suspect.runs.end() ? suspect.runs.begin() : outsideChain);
}

static bool hasRunAt(const SuspectRecord& suspect, const UpstreamIncarnation& upstream)
{
    return std::any_of(
        suspect.runs.begin(), suspect.runs.end(), [&](const auto& known) { return known.upstream == upstream; });
}

bool addRun(SuspectRecord& suspect, const CrashedRun& run)
{
    if (hasRunAt(suspect, run.upstream) || run.ended <= suspect.cleared)
        return false;
    auto later = std::upper_bound(suspect.runs.begin(), suspect.runs.end(), run.ended,
        [](TimePoint ended, const auto& known) { return ended < known.ended; });
    suspect.runs.insert(later, run);
    if (suspect.runs.size() <= maxCrashedRuns)
        return true;
    dropOldestOutsideChain(suspect);
    // If the new run itself was dropped, the record did not change. Otherwise each repeated report would be a change.
    return hasRunAt(suspect, run.upstream);
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
    bool hasChanged = clear(suspect, other.cleared);
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
