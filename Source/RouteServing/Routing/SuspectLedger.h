// SPDX-License-Identifier: Apache-2.0
#pragma once

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

// The suspects that this router knows, by its own attempts and from others (Suspect.h). Bounded: by workspace, so that
// one whose requests differ each time drops its own entries only, and in all. Safe to use from several threads.
class SuspectLedger {
public:
    // Whether so little is to be expected of it that it is not kept, here and in the store.
    static bool isExpired(const SuspectRecord&, Common::TimePoint now);

    // What a request's first check costs as long as nobody is suspected: one load of an atomic.
    bool isEmpty() const { return !m_size.load(std::memory_order_relaxed); }
    // Whether a suspect has this target and a body of this size. Without one, the body need not be hashed.
    bool mayContain(uint64_t target, uint64_t bodyBytes) const;
    std::optional<SuspectRecord> find(const RequestIdentity&) const;
    Suspicion suspicionOf(const RequestIdentity&, Common::TimePoint now) const;

    // An upstream crashed while these attempts of this router were under way there.
    void recordCrash(const UpstreamIncarnation&, std::span<const InterruptedAttempt>, Common::TimePoint now);
    // A run of it has ended well. Says nothing of a request that is not suspected.
    void recordCompleted(const RequestIdentity&, Common::TimePoint now);
    // An operator vouches for the request of that text; false when it is not known.
    bool lift(std::string_view identityText, Common::TimePoint now);
    // What another router, or the store, knows.
    void merge(const SuspectRecord&, Common::TimePoint now);

    // Entries in one message: about 12 KB, 10 ms on a link of 10 Mbit/s. Chosen, not measured.
    static constexpr size_t maxRecordsPerMessage = 64;
    // What changed after a revision, the earliest changes first, and up to which revision.
    enum class Scope : uint8_t {
        All, // For hubs, which add up what routers saw.
        Repeated, // For routers that a hub serves: those with two crashes or more, and what became of them.
    };
    struct Changes {
        std::vector<SuspectRecord> records;
        uint64_t upTo { 0 };
    };
    Changes changesAfter(uint64_t revision, Scope, size_t maxRecords = maxRecordsPerMessage) const;
    uint64_t revision() const;
    std::map<Suspicion, size_t> countByState(Common::TimePoint now) const;
    // All, the most suspicious first.
    std::vector<SuspectRecord> list(Common::TimePoint now) const;

private:
    struct Entry {
        SuspectRecord record;
        uint64_t revision { 0 }; // Of its newest change.
        bool wasRepeated { false }; // It had two crashes once: what follows concerns every router.
    };
    using Entries = std::map<RequestIdentity, Entry>;

    // The callers of the rest hold the lock.
    Entry& findOrCreate(const SuspectRecord& named, Common::TimePoint now);
    void recordChange(Entry&, Common::TimePoint now);
    void evictExpired(Common::TimePoint now);
    // Makes room: the least suspicious go, and of equals those that have been quiet for the longest. There must be one.
    void evictLeastSuspicious(const std::function<bool(const SuspectRecord&)>& isCandidate, Common::TimePoint now);
    void erase(Entries::iterator);

    mutable std::mutex m_mutex;
    Entries m_entries;
    std::map<std::string, size_t> m_countByWorkspace;
    uint64_t m_revision { 0 };
    Common::TimePoint m_lastSweep {};
    std::atomic<size_t> m_size { 0 };
};

} // namespace Brassladder::RouteServing::Routing
