// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SuspectGuard.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/CrashDetector.h"
#include "RouteServing/Gateway/SuspectCodec.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using Common::Milliseconds;
using Common::TimePoint;
using Routing::RequestIdentity;
using Routing::Suspicion;
using namespace std::chrono_literals;

// How often a waiting request checks whether it may run: on this router, and in the store while another router has the
// claim.
static constexpr Milliseconds localPollInterval = 10ms;
static constexpr Milliseconds storePollInterval = 100ms;
// How often a store reader checks for suspects to be stored, and its minimum wait after a failed call.
static constexpr Milliseconds storeSyncInterval = 300ms;
static constexpr Milliseconds storeBackoff = 1s;
// How often a router checks whether it has become a store reader. Often at startup, to load the stored suspects before
// the first requests; later rarely, since each check wakes the process.
static constexpr Milliseconds startupRoleCheckInterval = 100ms;
static constexpr Milliseconds startupDuration = 3s;
static constexpr Milliseconds roleCheckInterval = 1s;
// Suspects per batch; each one is a call to the store.
static constexpr size_t maxStoredPerBatch = 8;
// Added to the deadline of a claim: covers the detection of a crash and clock differences of up to 2 s between
// instances.
static constexpr Milliseconds claimMargin = 3s;
// Maximum number of attempts to release a claim when other routers write at the same time. If all fail, no other router
// runs the request until the claim expires.
static constexpr unsigned maxReleaseAttempts = 5;

// Exclusive runs

bool SuspectGuard::beginLocalRun(const RequestIdentity& request)
{
    std::lock_guard lock(m_mutex);
    return m_exclusiveRuns.insert(request).second;
}

void SuspectGuard::endLocalRun(const RequestIdentity& request)
{
    std::lock_guard lock(m_mutex);
    m_exclusiveRuns.erase(request);
}

SuspectGuard::Decision SuspectGuard::acquire(const Subject& subject, const Wait& wait)
{
    while (true) {
        auto judgement = m_ledger.judge(subject, Common::now());
        const auto& suspect = judgement.suspect;
        if (judgement.suspicion <= Suspicion::Once)
            return { Permission::Unrestricted };
        if (judgement.suspicion == Suspicion::Held)
            return { Permission::Held, suspect };
        if (Common::now() >= wait.until || wait.isAbandoned())
            return { Permission::TimedOut, suspect };
        auto pause = localPollInterval;
        if (beginLocalRun(suspect)) {
            auto outcome = claim(subject, judgement, wait.until);
            if (outcome == Claim::Granted)
                return { Permission::Exclusive, suspect };
            endLocalRun(suspect);
            // A trial requires the store: without it, two routers could begin a trial at the same time.
            if (outcome == Claim::Unavailable)
                return { Permission::Held, suspect };
            pause = storePollInterval;
        }
        Common::sleepFor(pause);
    }
}

void SuspectGuard::release(const RequestIdentity& request, bool crashCheckPending)
{
    Common::FiberRuntime::spawnOnCurrentThread([this, request, crashCheckPending] {
        if (crashCheckPending)
            Common::sleepFor(CrashDetector::maxDetectionTime);
        releaseClaim(request);
        endLocalRun(request);
    });
}

// A claim that cannot be released expires.
void SuspectGuard::releaseClaim(const RequestIdentity& request)
{
    auto known = m_ledger.find(request);
    if (!known || !m_log)
        return;
    for (unsigned attempts = 0; attempts < maxReleaseAttempts; ++attempts) {
        auto status = store({ *known }, OwnClaims::Release);
        if (!isError(status) || errorOf(status).kind != Common::ErrorKind::PublishConflict)
            return;
        Common::sleepFor(localPollInterval);
    }
}

// The store

SuspectGuard::Claim SuspectGuard::claim(
    const Subject& subject, const Routing::SuspectLedger::Judgement& judgement, TimePoint until)
{
    bool isTrial = judgement.suspicion == Suspicion::OnTrial;
    auto outcome = m_log ? claimInStore(subject, judgement.suspect, until) : Claim::Unavailable;
    return outcome == Claim::Unavailable && !isTrial ? Claim::Granted : outcome;
}

Common::Result<SuspectLogSource::Contents> SuspectGuard::read()
{
    auto contents = m_log->read();
    if (isError(contents))
        return contents;
    for (const auto& stored : valueOf(contents).suspects)
        m_ledger.merge(stored.record, Common::now());
    return contents;
}

static const StoredSuspect* findStored(const SuspectLogSource::Contents& contents, const RequestIdentity& request)
{
    auto found = std::find_if(contents.suspects.begin(), contents.suspects.end(),
        [&](const auto& stored) { return stored.record.request == request; });
    return found == contents.suspects.end() ? nullptr : &*found;
}

SuspectGuard::Claim SuspectGuard::claimInStore(const Subject& subject, const RequestIdentity& suspect, TimePoint until)
{
    auto contents = read();
    if (isError(contents))
        return Claim::Unavailable;
    auto now = ClockReading::now();
    const auto* stored = findStored(valueOf(contents), suspect);
    if (stored && !stored->claimedBy.empty() && stored->claimedUntil > now.unixTime)
        return Claim::Busy;
    // The stored records may have changed the judgement.
    auto judgement = m_ledger.judge(subject, now.steady);
    bool isTrial = judgement.suspicion == Suspicion::OnTrial;
    if (judgement.suspect != suspect || (judgement.suspicion != Suspicion::Repeated && !isTrial))
        return Claim::Busy;
    auto record = m_ledger.find(suspect);
    // It may have been evicted meanwhile.
    if (!record)
        return Claim::Busy;
    if (isTrial)
        Routing::countTrial(*record, now.steady);
    auto claimedUntil = now.unixTime + Common::toMilliseconds(until - now.steady) + claimMargin;
    auto claimed = m_log->append({ *record, m_routerId, claimedUntil }, valueOf(contents).end);
    if (isError(claimed))
        return Claim::Unavailable;
    if (!valueOf(claimed))
        return Claim::Busy;
    m_ledger.merge(*record, now.steady);
    if (isTrial)
        m_ledger.recordTrial(subject, now.steady);
    return Claim::Granted;
}

// Returns whether the stored record is equivalent to the record of this router. A record without runs is equivalent to
// a missing one.
static bool isUpToDate(const StoredSuspect* stored, const Routing::SuspectRecord& known)
{
    if (!stored)
        return known.runs.empty();
    auto ours = known;
    return stored->record.runs.size() == ours.runs.size() && stored->record.trials == ours.trials
        && !Routing::merge(ours, stored->record);
}

// `OwnClaims::Keep` is for a store reader that updates the record of a request while it runs the request exclusively.
// Without the claim, another router could run the request at the same time.
Common::Status SuspectGuard::store(std::vector<Routing::SuspectRecord> records, OwnClaims ownClaims)
{
    auto contents = read();
    if (isError(contents))
        return errorOf(contents);
    auto end = valueOf(contents).end;
    for (auto& record : records) {
        // The read may have updated the record.
        auto known = m_ledger.find(record.request);
        if (known)
            record = *known;
        const auto* stored = findStored(valueOf(contents), record.request);
        bool releasesClaim = ownClaims == OwnClaims::Release && stored && stored->claimedBy == m_routerId;
        if (!releasesClaim && isUpToDate(stored, record))
            continue;
        auto claim = stored && !releasesClaim ? *stored : StoredSuspect {};
        auto written = record.runs.empty() ? m_log->drop(record.request, end)
                                           : m_log->append({ record, claim.claimedBy, claim.claimedUntil }, end);
        if (isError(written))
            return errorOf(written);
        if (!valueOf(written))
            return Common::makeError(
                Common::ErrorKind::PublishConflict, "another router wrote to the suspect log at the same time");
        ++end;
    }
    return Common::Done {};
}

// Drops expired suspects from the store, to keep the topic small.
static void dropExpired(const SuspectLogSource& log, const SuspectLogSource::Contents& contents)
{
    auto end = contents.end;
    for (const auto& stored : contents.suspects) {
        if (!Routing::SuspectLedger::isExpired(stored.record, Common::now()))
            continue;
        auto dropped = log.drop(stored.record.request, end);
        // The remaining suspects are dropped by another store reader, or when a router next becomes one.
        if (isError(dropped) || !valueOf(dropped))
            return;
        ++end;
    }
}

bool SuspectGuard::syncWithStore(bool hasLoaded, uint64_t& storedRevision)
{
    if (!hasLoaded) {
        auto contents = read();
        if (isError(contents))
            return false;
        dropExpired(*m_log, valueOf(contents));
    }
    auto changes = m_ledger.changesAfter(storedRevision, Routing::SuspectLedger::Scope::Repeated, maxStoredPerBatch);
    storedRevision = changes.upTo;
    if (changes.records.empty())
        return true;
    // All store readers receive a suspect at about the same time. A random delay makes it unlikely that all of them
    // write it.
    Common::sleepFor(std::chrono::duration_cast<Milliseconds>(storeSyncInterval * Common::randomUnitFraction()));
    auto status = store(std::move(changes.records), OwnClaims::Keep);
    if (isError(status))
        storedRevision = 0;
    return !isError(status) || errorOf(status).kind == Common::ErrorKind::PublishConflict;
}

void SuspectGuard::runStoreSync(const std::function<bool()>& isStoreReader)
{
    auto started = Common::now();
    bool hasLoaded = false;
    uint64_t storedRevision = 0;
    while (m_log) {
        auto untilReader = Common::now() < started + startupDuration ? startupRoleCheckInterval : roleCheckInterval;
        Common::sleepFor(hasLoaded ? storeSyncInterval : untilReader);
        if (!isStoreReader()) {
            hasLoaded = false;
            storedRevision = 0;
            continue;
        }
        hasLoaded = syncWithStore(hasLoaded, storedRevision);
        if (!hasLoaded)
            Common::sleepFor(storeBackoff);
    }
}

} // namespace Brassladder::RouteServing::Gateway
