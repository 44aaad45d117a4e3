// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/DutyRecord.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>

namespace Brassladder::RouteServing::Duties {

struct LeaseTimes {
    Common::Milliseconds duration { 0 }; // Other routers may claim the lease if they read no new record for this long.
    Common::Milliseconds margin { 0 }; // The holder stops acting this long before the end of `duration`.
    // Minimum time before a former holder claims the lease again.
    Common::Milliseconds reclaimDelay { 0 };

    // `duration`: length of the lease. `margin`: how long a holder that was paused may still act on its expired lease
    // after it has resumed; limited to half of `duration`.
    static LeaseTimes fromDurationAndMargin(Common::Milliseconds duration, Common::Milliseconds margin)
    {
        return { duration, std::min(margin, duration / 2), 2 * duration };
    }
    // Age of the last successful append at which a renewal is due.
    Common::Milliseconds renewalInterval() const { return duration * renewalPercent / wholePercent; }

    static constexpr int renewalPercent = 60;
    static constexpr int wholePercent = 100;
};

// End of the log. When the store is restored from a copy, it begins a new era and assigns some offsets again.
struct LogEnd {
    uint64_t era { 0 }; // 0 if the store has no eras.
    uint64_t offset { 0 }; // Offset of the next record.
};

// Returns the fencing token of a claim that is appended at this end of the log. It is higher than the token of any
// earlier claim, including claims that the store has lost.
uint64_t tokenAt(const LogEnd&);

// A record of the duty log with its offset.
struct LoggedRecord {
    uint64_t offset { 0 };
    std::optional<DutyRecord> record; // Nullopt if the bytes are not a valid record.
};

// Decides which router performs the fleet's duties, that is, work that the platform accepts from one holder at a time.
//
// The order of records in the log determines the holder. A claim is appended only if its router has read the log up to
// the end, so at most one of two concurrent claims succeeds. The position of the claim is the fencing token, which is
// unique to one holder even across restarts. Clocks only determine when a router sends a claim: if the lease was
// released, or if the log has no new records for the lease duration, measured on the router's own monotonic clock. By
// then, a holder whose renewals fail has stopped acting, and a paused holder has a lower token.
//
// A store that was restored from a copy may contain an expired lease or lack a valid one. The holder therefore claims
// the lease again before it acts, and other routers wait for one lease duration.
//
// An append without a response may be executed later, so the log is read before the next append. If the log still ends
// at the same offset, the next append uses that offset, and at most one of the two succeeds. If the log is longer, the
// earlier append either is in it or can no longer succeed.
//
// No I/O and no clock of its own: computes the next step from what was read and appended. Not thread-safe.
class Lease {
public:
    Lease(LeaseTimes, std::string id, uint64_t incarnation, Common::TimePoint started);

    enum class Step : uint8_t { Wait, Read, Claim, Renew, Release };
    // Inputs to the next step besides the log.
    struct Situation {
        bool isCandidate { false }; // May hold the duties; a holder that is no longer a candidate releases the lease.
        bool isStopping { false }; // A planned stop is in progress.
    };
    Step nextStep(const Situation&, Common::TimePoint now) const;
    // Returns how long a read may block for new records: until this router might claim the lease.
    Common::Milliseconds readWait(Common::TimePoint now) const;

    // Records a read: all records from `end()` on, or in a new era the newest record of each key. `end`: end of the
    // log. `started`: start of the read.
    void recordRead(std::span<const LoggedRecord>, const LogEnd& end, Common::TimePoint started, Common::TimePoint now);

    // Returns the record of a step, to be appended at `end()`.
    LeaseRecord recordFor(Step) const;
    // Must be called before an append at `end()` is sent.
    void recordSent(Common::TimePoint now);
    // The append succeeded.
    void recordAppended(const DutyRecord&);
    // The append failed because the log ends elsewhere, or there was no response.
    void recordAppendUncertain() { m_state.mustRead = true; }

    // Returns the fencing token if this router holds the duties now, otherwise nullopt. Must be checked before each
    // call to the platform.
    std::optional<uint64_t> token(Common::TimePoint now) const;
    // Requests a claim with a new token, because an earlier order may still be executed with the current one.
    void requireNewToken() { m_state.isNewTokenRequired = true; }
    // Sets the first window whose report is outstanding. Written to the log with the next record.
    void setFirstUnreported(uint64_t window) { m_state.firstUnreported = window; }

    // This router's view of the log and of its own appends.
    struct State {
        LogEnd end;
        // Start of the first read in this era; nullopt if no read has reported an era.
        std::optional<Common::TimePoint> eraFirstReadAt;
        bool mustReclaim { false }; // The router held the lease when the era changed.
        bool mustRead { true };
        bool isNewTokenRequired { false };
        uint64_t firstUnreported { 0 };
        std::optional<LeaseRecord> newest;
        std::optional<uint64_t> newestOffset; // Offset of the newest valid record that was applied.
        Common::TimePoint newestSeen {}; // When this router read or sent that record.
        Common::TimePoint readStarted {}; // Start of the last read.
        // Send time of the first append at `end` whose outcome is unknown.
        std::optional<Common::TimePoint> unresolvedAppendAt;
        Common::TimePoint validFrom {}; // Send time of this router's last successful append.
        std::optional<Common::TimePoint> lastHeld;
    };
    const State& state() const { return m_state; }
    // Returns whether this process is the holder according to the log; the lease may have expired.
    bool isHolder() const;
    uint64_t end() const { return m_state.end.offset; }
    const std::optional<LeaseRecord>& newest() const { return m_state.newest; }

private:
    bool isOwn(const LeaseRecord&) const;
    bool mayClaim(Common::TimePoint now) const;
    Common::TimePoint claimableFrom() const;
    // Returns when this router, as the holder, must stop acting unless it renews the lease.
    Common::TimePoint validUntil() const { return m_state.validFrom + m_times.duration - m_times.margin; }
    // Returns the time until which a holder may act whose claim the store has lost.
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
