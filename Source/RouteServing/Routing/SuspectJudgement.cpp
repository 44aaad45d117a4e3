// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/SuspectLedger.h"

#include <algorithm>
#include <utility>

// How the suspects in one request restrict it together.
namespace Brassladder::RouteServing::Routing {

using Common::TimePoint;

void SuspectLedger::forEachEntry(
    const RequestIdentity& identity, const std::function<void(const Entry&)>& function) const
{
    if (!identity.isPromptPart()) {
        if (auto found = m_entries.find(identity); found != m_entries.end())
            function(found->second);
        return;
    }
    // The software version is the last field of the key.
    auto anyVersion = identity;
    anyVersion.body[1] = 0;
    auto entry = m_entries.lower_bound(anyVersion);
    for (; entry != m_entries.end() && identity.isSamePart(entry->first); ++entry)
        function(entry->second);
}

SuspectRecord SuspectLedger::combineVersions(const RequestIdentity& part) const
{
    SuspectRecord combined;
    combined.request = part;
    forEachEntry(part, [&](const Entry& entry) {
        const auto& record = entry.record;
        combined.hasCompleted |= record.hasCompleted;
        combined.trials = std::max(combined.trials, record.trials);
        combined.lastTrial = std::max(combined.lastTrial, record.lastTrial);
        for (const auto& run : record.runs)
            addRun(combined, run);
    });
    return combined;
}

Suspicion SuspectLedger::suspicionOf(const SuspectRecord& suspect, TimePoint now) const
{
    auto alone = Routing::suspicionOf(suspect, now);
    if (!suspect.request.isPromptPart())
        return alone;
    auto combined = Routing::suspicionOf(combineVersions(suspect.request), now);
    return combined >= Suspicion::Held ? combined : std::max(alone, combined);
}

bool SuspectLedger::isExplained(
    const SuspectRecord& suspect, const std::function<bool(const SuspectRecord& other)>& condition) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        const auto& other = entry.second.record;
        return isExplainedBy(suspect, other) && condition(other);
    });
}

static bool contains(const SuspectLedger::Subject& subject, const RequestIdentity& identity)
{
    return identity == subject.request
        || std::any_of(subject.promptParts.begin(), subject.promptParts.end(),
            [&](const auto& part) { return part.isSamePart(identity); });
}

Suspicion SuspectLedger::suspicionIn(const Subject& subject, const SuspectRecord& suspect, TimePoint now) const
{
    auto suspicion = suspicionOf(suspect, now);
    if (suspicion < Suspicion::Repeated || !suspect.request.isPromptPart())
        return suspicion;
    auto neverCompleted = [&](const SuspectRecord& other) {
        return !other.hasCompleted && suspicionOf(other, now) >= Suspicion::Repeated;
    };
    if (suspect.hasCompleted && isExplained(suspect, neverCompleted))
        return Suspicion::Once;
    auto isHeldElsewhere = [&](const SuspectRecord& other) {
        return !contains(subject, other.request) && suspicionOf(other, now) >= Suspicion::Held;
    };
    return suspicion == Suspicion::Held && isExplained(suspect, isHeldElsewhere) ? Suspicion::Repeated : suspicion;
}

SuspectLedger::Judgement SuspectLedger::judge(const Subject& subject, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    Judgement judgement;
    auto consider = [&](const Entry& entry) {
        const auto& record = entry.record;
        auto suspicion = suspicionIn(subject, record, now);
        if (std::pair(suspicion, !record.hasCompleted) > std::pair(judgement.suspicion, !judgement.hasCompleted))
            judgement = { suspicion, record.request, record.hasCompleted };
    };
    for (const auto& part : subject.promptParts)
        forEachEntry(part, consider);
    if (subject.request)
        forEachEntry(*subject.request, consider);
    return judgement;
}

void SuspectLedger::recordTrial(const Subject& subject, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto identities = subject.promptParts;
    if (subject.request)
        identities.push_back(*subject.request);
    for (const auto& identity : identities) {
        forEachEntry(identity, [&](const Entry& found) {
            auto& entry = m_entries.at(found.record.request);
            if (suspicionOf(entry.record, now) != Suspicion::OnTrial)
                return;
            countTrial(entry.record, now);
            recordChange(entry, now);
        });
    }
}

} // namespace Brassladder::RouteServing::Routing
