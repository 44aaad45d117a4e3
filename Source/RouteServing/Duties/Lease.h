// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/DutyRecord.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>

namespace Brassladder::RouteServing::Duties {

// Times of the lease.
struct LeaseTimes {
    Common::Milliseconds duration { 0 }; // Others take over when they have seen nothing of the holder for so long.
    Common::Milliseconds margin { 0 }; // The holder stops acting so much sooner.
    // A holder that gave the lease back, or that another one followed, does not come back sooner.
    Common::Milliseconds reclaimDelay { 0 };

    // From what the operators promise: the length of a lease, and how long an instance that was stopped may act on.
    static LeaseTimes fromDurationAndMargin(Common::Milliseconds duration, Common::Milliseconds margin)
    {
        return { duration, std::min(margin, duration / 2), 2 * duration };
    }
    // Leaves time for a renewal without an answer (one second) before the holder stops acting, and costs half of a call
    // a second.
    Common::Milliseconds renewalInterval() const { return duration * renewalPercent / wholePercent; }

    static constexpr int renewalPercent = 60;
    static constexpr int wholePercent = 100;
};

// Where the log ends. A store that has come back from a copy gives out offsets again, in a later era.
struct LogEnd {
    uint64_t era { 0 }; // 0 where the store names none.
    uint64_t offset { 0 }; // Where the next record goes.
};

// The fencing token of a claim that is appended there: higher than that of any claim before, also of one that the store
// has lost since.
uint64_t tokenAt(const LogEnd&);

// A record of the duties' log with its place.
struct LoggedRecord {
    uint64_t offset { 0 };
    std::optional<DutyRecord> record; // None for bytes of another writer.
};

// Which one router does the fleet's duties: those that the platform accepts from one holder at a time.
//
// The log decides: a claim is appended at the end that its router has read, so of two only one succeeds, and its place
// is the fencing token, which therefore belongs to one holder for ever, also after all routers started anew. The clock
// only decides who tries: a router claims what was released, or what it has seen no record of for the lease's duration,
// measured on its own monotonic clock from the moment when it saw the last one. So a holder whose renewals fail has
// stopped acting before, and one that was frozen has a lower token.
//
// When the store has come back from a copy, a lease may stand there that is over, and one that holds may be missing. So
// a router that holds the duties claims them anew before it acts, and the others wait for as long as a lease lasts.
//
// An append without an answer may be done later. Nothing more is appended before the log was read again, and then
// at the same end or at one that shows what became of it: either the record is there, or it can never be.
//
// Pure: told what was read and appended, it says what to do next. Not safe for several threads.
class Lease {
public:
    Lease(LeaseTimes, std::string id, uint64_t incarnation, Common::TimePoint started);

    enum class Step : uint8_t { Wait, Read, Claim, Renew, Release };
    // What the step follows from, besides the log.
    struct Situation {
        bool isCandidate { false }; // May hold the duties; a holder that may not any more gives them back.
        bool isStopping { false }; // In a planned stop.
    };
    Step nextStep(const Situation&, Common::TimePoint now) const;
    // How long a read may wait for a record: until this router might claim.
    Common::Milliseconds readWait(Common::TimePoint now) const;

    // All records after `end()`, or in a new era the newest of each key; `end`: of the log. `started`: of the read.
    void recordRead(std::span<const LoggedRecord>, const LogEnd& end, Common::TimePoint started, Common::TimePoint now);

    // The record of a step, to be appended at `end()`.
    LeaseRecord recordFor(Step) const;
    // An append at `end()` is about to be sent.
    void recordSent(Common::TimePoint now);
    // It was done.
    void recordAppended(const DutyRecord&);
    // The log ends elsewhere, or there was no answer.
    void recordAppendUncertain() { m_state.mustRead = true; }

    // The token to act with; none unless this router holds the duties now. Checked before each call.
    std::optional<uint64_t> token(Common::TimePoint now) const;
    // The next different order must bear a new token: an earlier one may still be carried out with this one.
    void requireNewToken() { m_state.wantsNewToken = true; }
    // Usage windows before this one need no report; goes into the next record.
    void setFirstUnreported(uint64_t window) { m_state.firstUnreported = window; }

    // What this router knows of the log, and of its own appends.
    struct State {
        LogEnd end;
        std::optional<Common::TimePoint>
            eraFirstReadAt; // When the first read of this era began; none where there are none.
        bool mustReclaim { false }; // It held the duties when the era rose.
        bool mustRead { true };
        bool wantsNewToken { false };
        uint64_t firstUnreported { 0 };
        std::optional<LeaseRecord> newest;
        std::optional<uint64_t> newestOffset; // Of the last record under the newest lease.
        Common::TimePoint newestSeen {}; // When this router first saw it.
        Common::TimePoint readStarted {}; // Of the last read, which showed nothing newer.
        std::optional<Common::TimePoint> unresolvedAppendAt; // The first append at `end` whose fate is not known.
        Common::TimePoint validFrom {}; // When the last record of our own was sent.
        std::optional<Common::TimePoint> lastHeld;
    };
    const State& state() const { return m_state; }
    // Whether the log says that this process holds the duties; it may have run out.
    bool isHolder() const;
    uint64_t end() const { return m_state.end.offset; }
    const std::optional<LeaseRecord>& newest() const { return m_state.newest; }

private:
    bool isOwn(const LeaseRecord&) const;
    bool mayClaim(Common::TimePoint now) const;
    Common::TimePoint claimableFrom() const;
    // When the holder stops acting unless it renews.
    Common::TimePoint validUntil() const { return m_state.validFrom + m_times.duration - m_times.margin; }
    // Before this, a holder may act whose claim the store has lost.
    Common::TimePoint eraClaimableFrom() const;
    void beginEra(uint64_t era, Common::TimePoint started);
    void apply(const LoggedRecord&, Common::TimePoint now);
    void applyLease(LeaseRecord);

    LeaseTimes m_times;
    std::string m_id;
    uint64_t m_incarnation;
    Common::TimePoint m_started;
    State m_state;
};

} // namespace Brassladder::RouteServing::Duties
