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
    Common::Milliseconds duration { 0 }; // Other routers take over if they see no record of the holder for this long.
    Common::Milliseconds margin { 0 }; // The holder stops acting this much earlier.
    // Minimum time before a holder that released or lost the lease claims it again.
    Common::Milliseconds reclaimDelay { 0 };

    // `duration`: length of the lease. `margin`: how long an instance that was stopped may continue to act on it.
    static LeaseTimes fromDurationAndMargin(Common::Milliseconds duration, Common::Milliseconds margin)
    {
        return { duration, std::min(margin, duration / 2), 2 * duration };
    }
    // Leaves time for one renewal that times out (one second) before the holder stops acting.
    Common::Milliseconds renewalInterval() const { return duration * renewalPercent / wholePercent; }

    static constexpr int renewalPercent = 60;
    static constexpr int wholePercent = 100;
};

// End of the log. A store that was restored from a copy assigns offsets again, in a later era.
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
    std::optional<DutyRecord> record; // Nullopt for bytes of another writer.
};

// Decides which router performs the fleet's duties, that is, work that the platform accepts from one holder at a time.
//
// The log decides: a claim is appended only at the end that its router has read, so one of two concurrent claims
// succeeds. Its position is the fencing token, which is unique to one holder even across restarts. Clocks only
// determine when a router tries: it claims a released lease, or one without new records for the lease duration,
// measured on its own monotonic clock. By then a holder whose renewals fail has stopped acting, and a frozen holder has
// a lower token.
//
// A store that was restored from a copy may contain an expired lease or lack a valid one. The holder therefore claims
// the lease again before it acts, and other routers wait for one lease duration.
//
// An append without a response may be carried out later. The log is read again before the next append. The next append
// either uses the same offset, or a newer end has decided the unresolved one.
//
// Pure: computes the next step from what was read and appended. Not thread-safe.
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

    // Returns the token to act with, or nullopt unless this router holds the duties now. Must be checked before each
    // call.
    std::optional<uint64_t> token(Common::TimePoint now) const;
    // Requires a new token for the next order, because an earlier one may still be carried out with the current token.
    void requireNewToken() { m_state.isNewTokenRequired = true; }
    // Usage windows before `window` need no report. Written with the next record.
    void setFirstUnreported(uint64_t window) { m_state.firstUnreported = window; }

    // This router's view of the log and of its own appends.
    struct State {
        LogEnd end;
        // Start of the first read in this era; nullopt if the store has no eras.
        std::optional<Common::TimePoint> eraFirstReadAt;
        bool mustReclaim { false }; // The router held the lease when the era changed.
        bool mustRead { true };
        bool isNewTokenRequired { false };
        uint64_t firstUnreported { 0 };
        std::optional<LeaseRecord> newest;
        std::optional<uint64_t> newestOffset; // Offset of the newest valid record that was applied.
        Common::TimePoint newestSeen {}; // When this router first read or sent that record.
        Common::TimePoint readStarted {}; // Start of the last read.
        // Send time of the first append at `end` whose outcome is unknown.
        std::optional<Common::TimePoint> unresolvedAppendAt;
        Common::TimePoint validFrom {}; // Send time of this router's last record.
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
    // Returns when the holder stops acting unless it renews the lease.
    Common::TimePoint validUntil() const { return m_state.validFrom + m_times.duration - m_times.margin; }
    // Before this time, a holder may be active whose claim the store has lost.
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
