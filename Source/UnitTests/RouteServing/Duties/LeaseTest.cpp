// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Duties/Lease.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Duties {

using namespace std::chrono_literals;
using Step = Lease::Step;

namespace {

constexpr Common::TimePoint s_start(1h);
constexpr Lease::Situation s_candidate { true, false };
const auto s_times = LeaseTimes::fromDurationAndMargin(3000ms, 300ms);

// The duty log in the store. Reads and appends update the lease of a router.
struct Log {
    std::vector<LoggedRecord> records;

    uint64_t era { 0 };

    uint64_t end() const { return records.size(); }
    void read(Lease& lease, Common::TimePoint started, Common::TimePoint now) const
    {
        bool isWhole = lease.state().end.era != era;
        auto from = isWhole ? 0 : std::min<size_t>(lease.end(), records.size());
        lease.recordRead(std::span(records).subspan(from), { era, end() }, started, now);
    }
    // Restores the store from a copy that ends at `copyEnd`.
    void restoreFromCopy(size_t copyEnd)
    {
        records.resize(copyEnd);
        ++era;
    }
    void read(Lease& lease, Common::TimePoint now) const { read(lease, now, now); }
    bool append(Lease& lease, Step step, Common::TimePoint now)
    {
        auto record = lease.recordFor(step);
        lease.recordSent(now);
        if (lease.end() != end()) {
            lease.recordAppendUncertain();
            return false;
        }
        records.push_back({ end(), record });
        lease.recordAppended(record);
        return true;
    }
};

} // namespace

TEST(LeaseTest, UnheldLeaseIsClaimedAtOnceAndOneOfTwoClaimsSucceeds)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    Lease b(s_times, "b", 2, s_start);
    EXPECT_EQ(a.nextStep(s_candidate, s_start), Step::Read);
    log.read(a, s_start);
    log.read(b, s_start);
    EXPECT_EQ(a.nextStep(s_candidate, s_start), Step::Claim);
    EXPECT_EQ(b.nextStep(s_candidate, s_start), Step::Claim);
    EXPECT_TRUE(log.append(a, Step::Claim, s_start));
    EXPECT_FALSE(log.append(b, Step::Claim, s_start));
    log.read(b, s_start);
    EXPECT_EQ(a.token(s_start), 1U);
    EXPECT_FALSE(b.token(s_start));
    EXPECT_EQ(b.nextStep(s_candidate, s_start), Step::Read);
}

TEST(LeaseTest, HolderRenewsInTimeAndStopsActingBeforeItsLeaseExpires)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    EXPECT_EQ(a.nextStep(s_candidate, s_start + 1799ms), Step::Wait);
    EXPECT_EQ(a.nextStep(s_candidate, s_start + 1800ms), Step::Renew);
    EXPECT_TRUE(a.token(s_start + 2699ms));
    EXPECT_FALSE(a.token(s_start + 2700ms));
    // No other router has claimed the lease, so the next renewal extends it with the same token.
    EXPECT_TRUE(log.append(a, Step::Renew, s_start + 5s));
    EXPECT_EQ(a.token(s_start + 5s), 1U);
}

TEST(LeaseTest, TakeoverRequiresAFullLeaseDurationWithoutRecords)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    Lease b(s_times, "b", 2, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    auto seen = s_start + 100ms;
    log.read(b, seen);
    // A read that began before the lease expired may have missed a renewal.
    log.read(b, seen + 2999ms, seen + 4s);
    EXPECT_EQ(b.nextStep(s_candidate, seen + 4s), Step::Read);
    log.read(b, seen + 3000ms);
    EXPECT_EQ(b.nextStep(s_candidate, seen + 3000ms), Step::Claim);
    EXPECT_TRUE(log.append(b, Step::Claim, seen + 3000ms));
    EXPECT_EQ(b.token(seen + 3000ms), 2U);
    // The former holder detects the takeover when its renewal fails.
    EXPECT_EQ(a.nextStep(s_candidate, seen + 3100ms), Step::Renew);
    EXPECT_FALSE(log.append(a, Step::Renew, seen + 3100ms));
    EXPECT_FALSE(a.token(seen + 3100ms));
    log.read(a, seen + 3200ms);
    EXPECT_FALSE(a.isHolder());
}

TEST(LeaseTest, SupersededHolderWaitsBeforeItReclaims)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    Lease b(s_times, "b", 2, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    log.read(b, s_start);
    log.read(b, s_start + 3s);
    log.append(b, Step::Claim, s_start + 3s);
    log.append(b, Step::Release, s_start + 3100ms);
    log.read(a, s_start + 3200ms);
    EXPECT_EQ(a.nextStep(s_candidate, s_start + 3200ms), Step::Read)
        << "a must not claim the lease again directly after b";
    log.read(a, s_start + 6s);
    EXPECT_EQ(a.nextStep(s_candidate, s_start + 6s), Step::Claim);
}

TEST(LeaseTest, ReleasedLeaseIsClaimableAtOnceExceptByARouterThatJustStarted)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    Lease b(s_times, "b", 2, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    auto stop = s_start + 10s;
    EXPECT_EQ(a.nextStep({ true, true }, stop), Step::Release);
    log.append(a, Step::Release, stop);
    EXPECT_FALSE(a.token(stop));
    EXPECT_EQ(a.nextStep({ true, true }, stop + 1min), Step::Wait) << "a stopping router does not reclaim";
    Lease restarted(s_times, "a", 3, stop + 1s);
    log.read(restarted, stop + 1s);
    EXPECT_EQ(restarted.nextStep(s_candidate, stop + 1s), Step::Read);
    log.read(b, stop);
    EXPECT_EQ(b.nextStep(s_candidate, stop), Step::Claim);
}

TEST(LeaseTest, UnansweredAppendIsValidFromItsSendTime)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    log.read(a, s_start);
    auto record = a.recordFor(Step::Claim);
    a.recordSent(s_start);
    a.recordAppendUncertain();
    EXPECT_EQ(a.nextStep(s_candidate, s_start), Step::Read);
    log.read(a, s_start + 1s);
    EXPECT_FALSE(a.isHolder()) << "the append is not in the log yet";
    log.records.push_back({ 0, record });
    log.read(a, s_start + 2s);
    ASSERT_TRUE(a.isHolder());
    EXPECT_TRUE(a.token(s_start + 2600ms));
    EXPECT_FALSE(a.token(s_start + 2700ms)) << "the lease is valid from the time of the append, not of the read";
}

TEST(LeaseTest, RestartedInstanceReclaimsAtOnceWithANewToken)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    Lease restarted(s_times, "a", 9, s_start + 1s);
    log.read(restarted, s_start + 1s);
    EXPECT_FALSE(restarted.isHolder());
    EXPECT_EQ(restarted.nextStep(s_candidate, s_start + 1s), Step::Claim);
    log.append(restarted, Step::Claim, s_start + 1s);
    EXPECT_EQ(restarted.token(s_start + 1s), 2U);
}

TEST(LeaseTest, ANewTokenIsHigherAndKeepsTheLease)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    a.requireNewToken();
    EXPECT_EQ(a.nextStep(s_candidate, s_start), Step::Claim);
    log.append(a, Step::Claim, s_start);
    EXPECT_EQ(a.token(s_start), 2U);
    EXPECT_EQ(a.nextStep(s_candidate, s_start), Step::Wait);
}

TEST(LeaseTest, HolderThatIsNoLongerACandidateReleasesTheLease)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    EXPECT_EQ(a.nextStep({ false, false }, s_start + 1s), Step::Release);
}

TEST(LeaseTest, ForeignRecordsDoNotChangeTheHolder)
{
    Log log;
    Lease a(s_times, "a", 1, s_start);
    Lease b(s_times, "b", 2, s_start);
    log.read(a, s_start);
    log.append(a, Step::Claim, s_start);
    log.read(b, s_start);
    log.records.push_back({ 1, std::nullopt });
    log.read(b, s_start + 2999ms);
    log.read(b, s_start + 3000ms);
    EXPECT_EQ(b.nextStep(s_candidate, s_start + 3000ms), Step::Claim) << "invalid records do not renew the lease";
    EXPECT_FALSE(log.append(a, Step::Renew, s_start + 1s));
    log.read(a, s_start + 1s);
    EXPECT_TRUE(a.isHolder());
    EXPECT_TRUE(log.append(a, Step::Renew, s_start + 1s));
}

// The restored copy lacks the current holder's claim, or contains an earlier claim.
TEST(LeaseTest, HolderWhoseClaimTheStoreLostReclaimsBeforeItActs)
{
    for (size_t copyEnd : { 0, 1, 2 }) {
        Log log;
        log.era = 1;
        Lease a(s_times, "a", 1, s_start - 1min);
        Lease b(s_times, "b", 2, s_start - 1min);
        log.read(a, s_start - 10s);
        log.read(a, s_start);
        log.read(b, s_start - 10s);
        log.append(a, Step::Claim, s_start);
        log.append(a, Step::Release, s_start);
        log.read(b, s_start);
        log.append(b, Step::Claim, s_start + 1s);
        auto token = *b.token(s_start + 1s);
        log.restoreFromCopy(copyEnd);
        log.read(b, s_start + 2s);
        EXPECT_FALSE(b.token(s_start + 2s));
        EXPECT_EQ(b.nextStep(s_candidate, s_start + 2s), Step::Claim);
        EXPECT_TRUE(log.append(b, Step::Claim, s_start + 2s));
        EXPECT_GT(*b.token(s_start + 2s), token) << "the token increases although the log ends earlier";
        log.read(a, s_start + 2s);
        EXPECT_FALSE(a.isHolder());
    }
}

// The restored copy may lack the current holder's claim, so other routers wait until its lease has expired.
TEST(LeaseTest, InANewEraOtherRoutersWaitOneLeaseDuration)
{
    for (size_t copyEnd : { 0, 1 }) {
        Log log;
        log.era = 1;
        Lease a(s_times, "a", 1, s_start - 1min);
        Lease restarted(s_times, "a", 7, s_start - 1min);
        log.read(a, s_start - 10s);
        log.read(a, s_start);
        log.append(a, Step::Claim, s_start);
        log.restoreFromCopy(copyEnd);
        log.read(restarted, s_start);
        EXPECT_EQ(restarted.nextStep(s_candidate, s_start), Step::Read);
        EXPECT_GT(restarted.readWait(s_start), 2900ms);
        log.read(restarted, s_start + 2999ms);
        EXPECT_EQ(restarted.nextStep(s_candidate, s_start + 2999ms), Step::Read);
        EXPECT_FALSE(a.token(s_start + 2999ms)) << "the lease of a has expired";
        log.read(restarted, s_start + 3s);
        EXPECT_EQ(restarted.nextStep(s_candidate, s_start + 3s), Step::Claim);
    }
}

} // namespace Brassladder::RouteServing::Duties
