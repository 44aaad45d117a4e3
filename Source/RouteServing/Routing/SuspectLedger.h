// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/CompletedParts.h"
#include "RouteServing/Routing/InterruptedAttempts.h"
#include "RouteServing/Routing/Suspect.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Stores the suspects (Suspect.h) known to this router, from its own attempts and from other routers: requests, and
// parts of prompts. The number of entries is bounded in total and per workspace, so that a workspace that sends many
// different requests evicts its own entries first. Thread-safe.
class SuspectLedger {
public:
    // Returns whether the record is too old to be kept, here and in the store.
    static bool isExpired(const SuspectRecord&, Common::TimePoint now);

    // Returns whether there are no suspects. Lock-free, because every request checks it first.
    bool isEmpty() const { return !m_size.load(std::memory_order_relaxed); }
    // Returns whether there are parts of prompts among the suspects. Lock-free.
    bool hasPromptParts() const { return m_promptParts.load(std::memory_order_relaxed); }
    // Returns whether a suspect has this hash of the head and this body size. If not, the body need not be hashed.
    bool mayContain(uint64_t headHash, uint64_t bodyBytes) const;
    std::optional<SuspectRecord> find(const RequestIdentity&) const;
    // Counts the crashes of a part at all software versions together.
    Suspicion suspicionOf(const RequestIdentity&, Common::TimePoint now) const;

    // What a request consists of, as far as suspects are concerned.
    struct Subject {
        std::optional<RequestIdentity> request; // nullopt if it is known to be no suspect.
        std::vector<RequestIdentity> promptParts; // Of any software version.
    };
    // The suspect that restricts a request the most.
    struct Judgement {
        Suspicion suspicion { Suspicion::None };
        RequestIdentity suspect {};
        bool hasCompleted { true }; // See SuspectRecord.
    };
    // Judges a request by itself and by the parts of its prompt. A part may only have accompanied another suspect,
    // which was in flight at all the same crashes:
    // - If the part has completed before and the other suspect never has, the part is not restricted.
    // - If the other suspect is held and is not in the request, a held part counts as `Repeated`.
    Judgement judge(const Subject&, Common::TimePoint now) const;
    // Records the start of a trial of all suspects of the request that are on trial.
    void recordTrial(const Subject&, Common::TimePoint now);

    // Records that an upstream crashed while these attempts of this router were in flight there. If their prompts have
    // more than `maxPartsPerCrash` parts, those that completed last are left out.
    void recordCrash(const UpstreamIncarnation&, std::span<const InterruptedAttempt>, Common::TimePoint now);
    // Records a completed run of the request. Does nothing if the request is not a suspect.
    void recordCompleted(const RequestIdentity&, Common::TimePoint now);
    // Records a run with these parts of a prompt that the upstream completed.
    void recordCompletedParts(std::span<const RequestIdentity>, Common::TimePoint now);
    // Clears the request with this identity text on behalf of an operator. Returns false if it is not known.
    bool clearSuspect(std::string_view identityText, Common::TimePoint now);
    // Merges a record from another router or from the store.
    void merge(const SuspectRecord&, Common::TimePoint now);

    static constexpr size_t maxPartsPerCrash = 64;
    // Maximum number of records per message, about 12 KB.
    // They take 10 ms on a link of 10 Mbit/s.
    static constexpr size_t maxRecordsPerMessage = 64;
    // Selects the records that `changesAfter` returns.
    enum class Scope : uint8_t {
        All, // For hubs, which combine the records of all routers.
        Repeated, // For routers that a hub serves: records with two or more crashes, and their later changes.
    };
    struct Changes {
        std::vector<SuspectRecord> records;
        uint64_t upTo { 0 }; // All changes up to this revision are included.
    };
    // Returns the records that changed after the revision, the earliest changes first.
    Changes changesAfter(uint64_t revision, Scope, size_t maxRecords = maxRecordsPerMessage) const;
    uint64_t revision() const;
    enum class Kind : uint8_t { Request, PromptPart };
    std::map<Suspicion, size_t> countByState(Kind, Common::TimePoint now) const;
    // Returns all records, the most suspicious first.
    std::vector<SuspectRecord> list(Common::TimePoint now) const;

private:
    struct Entry {
        SuspectRecord record;
        uint64_t revision { 0 }; // Revision of the newest change.
        bool wasRepeated { false }; // The suspicion has been `Repeated` or higher (Scope::Repeated).
    };
    using Entries = std::map<RequestIdentity, Entry>;

    // Entries of a workspace are counted for each kind.
    using Share = std::pair<std::string, Kind>;
    static Kind kindOf(const RequestIdentity& identity)
    {
        return identity.isPromptPart() ? Kind::PromptPart : Kind::Request;
    }
    static Share shareOf(const SuspectRecord& record) { return { record.workspace, kindOf(record.request) }; }

    // The functions below require the lock.
    void recordCrashOf(const SuspectRecord& suspect, const CrashedRun&, Common::TimePoint now);
    // Applies to a part what this router knows of its completed runs. Returns whether the record changed.
    bool applyCompletions(SuspectRecord&) const;
    // Calls the function for all entries of the identity; for a part, of all software versions.
    void forEachEntry(const RequestIdentity&, const std::function<void(const Entry&)>&) const;
    Suspicion suspicionOf(const SuspectRecord&, Common::TimePoint now) const;
    // As above, and considers which crashes other suspects explain.
    Suspicion suspicionIn(const Subject&, const SuspectRecord&, Common::TimePoint now) const;
    // Returns the record of a part with its crashes at all software versions.
    SuspectRecord combineVersions(const RequestIdentity& part) const;
    // Returns whether a suspect for which the condition holds explains all crashes of this one.
    bool isExplained(const SuspectRecord&, const std::function<bool(const SuspectRecord& other)>& condition) const;
    Entry& findOrCreate(const SuspectRecord& suspect, Common::TimePoint now);
    void recordChange(Entry&, Common::TimePoint now);
    void evictExpired(Common::TimePoint now);
    // Evicts a fraction of the candidates, the least suspicious first, and among equals those with the oldest last
    // event. There must be at least one candidate.
    void evictLeastSuspicious(const std::function<bool(const SuspectRecord&)>& isCandidate, Common::TimePoint now);
    void erase(Entries::iterator);

    mutable std::mutex m_mutex;
    Entries m_entries;
    std::map<Share, size_t> m_countByShare;
    CompletedParts m_completedParts; // Does not require the lock.
    uint64_t m_revision { 0 };
    Common::TimePoint m_lastSweep {};
    std::atomic<size_t> m_size { 0 };
    std::atomic<size_t> m_promptParts { 0 }; // Number of entries that are parts of prompts.
};

} // namespace Brassladder::RouteServing::Routing
