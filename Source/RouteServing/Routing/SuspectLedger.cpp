// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/SuspectLedger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::TimePoint;

// Maximum number of entries in total and per workspace. An entry takes at most 2 KB.
// All of them together take 2 MB; the crash of one engine adds up to 64 requests and, for each router with requests
// there, `maxPartsPerCrash` parts.
static constexpr size_t maxEntries = 1024;
static constexpr size_t maxRequestsOfWorkspace = 128;
static constexpr size_t maxPartsOfWorkspace = 384;
// An eviction removes one in this many candidates, because it scans all of them.
static constexpr size_t evictionDivisor = 8;
// How long an entry is kept after its last event. The entry of a held request is kept longer, because without it the
// request could crash three more upstreams.
static constexpr Common::Milliseconds suspectRetention = 10min;
static constexpr Common::Milliseconds heldSuspectRetention = 24h;
// Interval between scans for expired entries.
static constexpr Common::Milliseconds sweepInterval = 10s;

bool SuspectLedger::isExpired(const SuspectRecord& record, TimePoint now)
{
    // A part may be held for its crashes at several software versions, of which this record has a share.
    auto longKept = record.request.isPromptPart() ? Suspicion::Repeated : Suspicion::Held;
    bool isKeptLong = Routing::suspicionOf(record, now) >= longKept;
    return lastEventAt(record) < now - (isKeptLong ? heldSuspectRetention : suspectRetention);
}

bool SuspectLedger::mayContain(uint64_t headHash, uint64_t bodyBytes) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.lower_bound({ headHash, bodyBytes, {} });
    return found != m_entries.end() && found->first.headHash == headHash && found->first.bodyBytes == bodyBytes;
}

std::optional<SuspectRecord> SuspectLedger::find(const RequestIdentity& request) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(request);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.record);
}

Suspicion SuspectLedger::suspicionOf(const RequestIdentity& request, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(request);
    return found == m_entries.end() ? Suspicion::None : suspicionOf(found->second.record, now);
}

bool SuspectLedger::applyCompletions(SuspectRecord& record) const
{
    if (!record.request.isPromptPart())
        return false;
    auto completed = m_completedParts.lastCompleted(record.request);
    if (!completed)
        return false;
    bool hasChanged = !std::exchange(record.hasCompleted, true);
    bool hasEarlierRun = !record.runs.empty() && record.runs.front().ended <= *completed;
    return (hasEarlierRun && clear(record, *completed)) || hasChanged;
}

void SuspectLedger::recordCrashOf(const SuspectRecord& suspect, const CrashedRun& run, TimePoint now)
{
    auto& entry = findOrCreate(suspect, now);
    bool hasChanged = addRun(entry.record, run);
    if (applyCompletions(entry.record) || hasChanged)
        recordChange(entry, now);
}

namespace {

struct BlamedPart {
    RequestIdentity part;
    const InterruptedAttempt* attempt; // The attempt with the part that was sent last.
    std::optional<TimePoint> lastCompleted;
};

} // namespace

// Returns the parts of the prompts of the attempts, those that never completed or completed longest ago first.
static std::vector<BlamedPart> partsToBlame(
    std::span<const InterruptedAttempt> attempts, const CompletedParts& completedParts)
{
    std::map<RequestIdentity, const InterruptedAttempt*> newest;
    for (const auto& attempt : attempts) {
        for (const auto& part : attempt.promptParts) {
            auto& known = newest[part];
            if (!known || known->sent < attempt.sent)
                known = &attempt;
        }
    }
    std::vector<BlamedPart> parts;
    parts.reserve(newest.size());
    for (const auto& [part, attempt] : newest)
        parts.push_back({ part, attempt, completedParts.lastCompleted(part) });
    std::stable_sort(
        parts.begin(), parts.end(), [](const auto& a, const auto& b) { return a.lastCompleted < b.lastCompleted; });
    parts.resize(std::min(parts.size(), SuspectLedger::maxPartsPerCrash));
    return parts;
}

void SuspectLedger::recordCrash(
    const UpstreamIncarnation& upstream, std::span<const InterruptedAttempt> attempts, TimePoint now)
{
    auto record = [&](const RequestIdentity& identity, const InterruptedAttempt& attempt) {
        recordCrashOf({ identity, attempt.workspace, attempt.target, {} },
            { upstream, attempt.requestId, attempt.sent, attempt.ended }, now);
    };
    auto parts = partsToBlame(attempts, m_completedParts);
    std::lock_guard lock(m_mutex);
    for (const auto& [part, attempt, lastCompleted] : parts)
        record(part, *attempt);
    for (const auto& attempt : attempts)
        record(attempt.request, attempt);
}

void SuspectLedger::recordCompleted(const RequestIdentity& request, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(request);
    // Without a crash since the last clearing there is nothing to clear.
    if (found != m_entries.end() && !found->second.record.runs.empty() && clear(found->second.record, now))
        recordChange(found->second, now);
}

void SuspectLedger::recordCompletedParts(std::span<const RequestIdentity> parts, TimePoint now)
{
    for (const auto& part : parts)
        m_completedParts.record(part, now);
    if (!hasPromptParts())
        return;
    std::lock_guard lock(m_mutex);
    for (const auto& part : parts) {
        auto found = m_entries.find(part);
        if (found != m_entries.end() && applyCompletions(found->second.record))
            recordChange(found->second, now);
    }
}

bool SuspectLedger::clearSuspect(std::string_view identityText, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (auto& [request, entry] : m_entries) {
        if (request.text() != identityText)
            continue;
        if (clear(entry.record, now))
            recordChange(entry, now);
        return true;
    }
    return false;
}

void SuspectLedger::merge(const SuspectRecord& other, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!m_entries.contains(other.request) && isExpired(other, now))
        return;
    auto& entry = findOrCreate(other, now);
    bool hasChanged = Routing::merge(entry.record, other);
    if (applyCompletions(entry.record) || hasChanged)
        recordChange(entry, now);
}

SuspectLedger::Entry& SuspectLedger::findOrCreate(const SuspectRecord& suspect, TimePoint now)
{
    evictExpired(now);
    auto found = m_entries.find(suspect.request);
    if (found != m_entries.end())
        return found->second;
    auto share = shareOf(suspect);
    if (m_countByShare[share] >= (share.second == Kind::PromptPart ? maxPartsOfWorkspace : maxRequestsOfWorkspace))
        evictLeastSuspicious([&](const auto& record) { return shareOf(record) == share; }, now);
    if (m_entries.size() >= maxEntries)
        evictLeastSuspicious([](const auto&) { return true; }, now);
    ++m_countByShare[share];
    auto& entry = m_entries[suspect.request];
    entry.record.request = suspect.request;
    entry.record.workspace = suspect.workspace;
    entry.record.target = suspect.target;
    m_size = m_entries.size();
    m_promptParts += suspect.request.isPromptPart();
    return entry;
}

void SuspectLedger::recordChange(Entry& entry, TimePoint now)
{
    entry.revision = ++m_revision;
    entry.wasRepeated |= Routing::suspicionOf(entry.record, now) >= Suspicion::Repeated;
}

void SuspectLedger::erase(Entries::iterator entry)
{
    auto count = m_countByShare.find(shareOf(entry->second.record));
    if (count != m_countByShare.end() && !--count->second)
        m_countByShare.erase(count);
    m_promptParts -= entry->first.isPromptPart();
    m_entries.erase(entry);
    m_size = m_entries.size();
}

void SuspectLedger::evictExpired(TimePoint now)
{
    if (now < m_lastSweep + sweepInterval)
        return;
    m_lastSweep = now;
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        auto entry = next++;
        if (isExpired(entry->second.record, now))
            erase(entry);
    }
}

void SuspectLedger::evictLeastSuspicious(const std::function<bool(const SuspectRecord&)>& isCandidate, TimePoint now)
{
    struct Ranked {
        std::tuple<Suspicion, bool, TimePoint> rank;
        Entries::iterator entry;
    };
    std::vector<Ranked> candidates;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const auto& record = entry->second.record;
        if (isCandidate(record))
            candidates.push_back(
                { { Routing::suspicionOf(record, now), !record.hasCompleted, lastEventAt(record) }, entry });
    }
    auto evicted = static_cast<ptrdiff_t>(candidates.size() / evictionDivisor + 1);
    std::nth_element(candidates.begin(), candidates.begin() + evicted - 1, candidates.end(),
        [](const auto& a, const auto& b) { return a.rank < b.rank; });
    std::for_each_n(candidates.begin(), evicted, [this](const auto& each) { erase(each.entry); });
}

SuspectLedger::Changes SuspectLedger::changesAfter(uint64_t revision, Scope scope, size_t maxRecords) const
{
    std::lock_guard lock(m_mutex);
    Changes changes { {}, m_revision };
    if (revision >= m_revision)
        return changes;
    std::map<uint64_t, const SuspectRecord*> changed;
    for (const auto& [request, entry] : m_entries) {
        if (entry.revision > revision && (scope == Scope::All || entry.wasRepeated))
            changed.emplace(entry.revision, &entry.record);
    }
    for (const auto& [changedAt, record] : changed) {
        if (changes.records.size() == maxRecords)
            break;
        changes.records.push_back(*record);
        changes.upTo = changedAt;
    }
    if (changes.records.size() == changed.size())
        changes.upTo = m_revision;
    return changes;
}

uint64_t SuspectLedger::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_revision;
}

std::map<Suspicion, size_t> SuspectLedger::countByState(Kind kind, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::map<Suspicion, size_t> counts { { Suspicion::Once, 0 }, { Suspicion::Repeated, 0 }, { Suspicion::Held, 0 },
        { Suspicion::OnTrial, 0 } };
    for (const auto& [identity, entry] : m_entries) {
        if (kindOf(identity) == kind)
            ++counts[suspicionOf(entry.record, now)];
    }
    return counts;
}

std::vector<SuspectRecord> SuspectLedger::list(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<SuspectRecord> records;
    for (const auto& [request, entry] : m_entries)
        records.push_back(entry.record);
    std::stable_sort(records.begin(), records.end(), [now](const auto& a, const auto& b) {
        return std::pair(Routing::suspicionOf(a, now), lastEventAt(a))
            > std::pair(Routing::suspicionOf(b, now), lastEventAt(b));
    });
    return records;
}

} // namespace Brassladder::RouteServing::Routing
