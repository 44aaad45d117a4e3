// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Suspect.h"

#include <algorithm>
#include <array>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::TimePoint;

// The users' rule: a request that has crashed three is not sent on.
static constexpr unsigned crashesToHold = 3;
static constexpr unsigned crashesToRunAlone = 2;
// How long a request is held before each trial; after the last one it stays held until an operator lifts it or it is
// forgotten. A trial of a guilty request costs an engine with what runs there, and the users allow three sends after
// the third crash at most. Chosen, not measured.
static constexpr std::array<Common::Milliseconds, 3> holdDurations { 10min, 1h, 6h };
// Two routers' notes of one event differ by the way that the messages took. Above that, and below the time from one
// crash of an engine until the next by the same request (0.4 s at least in the played day).
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

// Two routers' notes of moments differ by the way of their messages, some milliseconds; engines that crash together do
// so within 2.4 ms. A run that began this long before a crash may have begun after it, and one that ended this soon
// after it may have ended with it. A request that ends its engine takes 100 ms and more from its start until then
// (docs/incidents/crashing-request.md).
static constexpr Common::Milliseconds clockTolerance = 40ms;

static bool isSequential(const CrashedRun& run, const CrashedRun& before)
{
    return run.sent > before.ended - clockTolerance && run.ended > before.ended + clockTolerance;
}

// The longest chain of runs that followed each other: of those that come next, the one that ended first.
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

// Drops the oldest run that the chain does without.
static void dropOldestOutsideChain(SuspectRecord& suspect)
{
    auto chain = sequentialRuns(suspect);
    auto dispensable = std::find_if(suspect.runs.begin(), suspect.runs.end(),
        [&](const auto& run) { return std::find(chain.begin(), chain.end(), &run) == chain.end(); });
    suspect.runs.erase(dispensable == suspect.runs.end() ? suspect.runs.begin() : dispensable);
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
    // It may have been the one: said again and again, it is never news.
    return hasRunAt(suspect, run.upstream);
}

bool clear(SuspectRecord& suspect, TimePoint at)
{
    // The earliest time has no distance to anything.
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
    bool isNews = clear(suspect, other.cleared);
    for (const auto& run : other.runs)
        isNews |= addRun(suspect, run);
    if (trialsSinceCleared(other) > trialsSinceCleared(suspect) && other.lastTrial > suspect.cleared) {
        suspect.trials = other.trials;
        suspect.lastTrial = other.lastTrial;
        isNews = true;
    }
    return isNews;
}

} // namespace Brassladder::RouteServing::Routing
