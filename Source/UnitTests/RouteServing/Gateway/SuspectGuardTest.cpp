// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SuspectGuard.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>
#include <thread>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Permission = SuspectGuard::Permission;
using Routing::InterruptedAttempt;
using Routing::RequestIdentity;
using Routing::SuspectLedger;
using Routing::Suspicion;

namespace {

const RequestIdentity s_request { 1, 10, { 1, 1 } };

// Fake of the suspect log in the platform's store.
struct FakeLog {
    std::mutex mutex;
    std::map<RequestIdentity, StoredSuspect> suspects;
    uint64_t end { 0 };
    size_t reads { 0 };
    size_t conflicts { 0 }; // Number of writes that fail because another router wrote first.
    bool isUnavailable { false };

    SuspectLogSource source()
    {
        return { [this] { return read(); },
            [this](const StoredSuspect& suspect, uint64_t at) {
                return write(at, [&] { suspects[suspect.record.request] = suspect; });
            },
            [this](
                const RequestIdentity& request, uint64_t at) { return write(at, [&] { suspects.erase(request); }); } };
    }
    Common::Result<SuspectLogSource::Contents> read()
    {
        std::lock_guard lock(mutex);
        ++reads;
        if (isUnavailable)
            return Common::makeError(Common::ErrorKind::PlatformUnavailable, "the store is unavailable");
        SuspectLogSource::Contents contents { {}, end };
        for (const auto& [request, suspect] : suspects)
            contents.suspects.push_back(suspect);
        return contents;
    }
    Common::Result<bool> write(uint64_t at, const std::function<void()>& change)
    {
        std::lock_guard lock(mutex);
        if (isUnavailable)
            return Common::makeError(Common::ErrorKind::PlatformUnavailable, "the store is unavailable");
        if (conflicts) {
            --conflicts;
            ++end;
        }
        if (at != end)
            return false;
        change();
        ++end;
        return true;
    }
    bool isClaimed()
    {
        std::lock_guard lock(mutex);
        auto found = suspects.find(s_request);
        return found != suspects.end() && !found->second.claimedBy.empty();
    }
    size_t size()
    {
        std::lock_guard lock(mutex);
        return suspects.size();
    }
};

void recordCrashes(
    SuspectLedger& ledger, int times, Common::Duration ago = 10s, const RequestIdentity& request = s_request)
{
    for (int number = 0; number < times; ++number) {
        auto sent = Common::now() - ago + number * 300ms;
        std::vector<InterruptedAttempt> attempts { { "r", request, "w", "/x", sent, sent + 200ms } };
        ledger.recordCrash({ "u", static_cast<uint64_t>(number) }, attempts, Common::now());
    }
}

// One router. Never destroyed, because fibers refer to it.
struct Router {
    explicit Router(FakeLog& log, const std::string& id)
        : guard(ledger, log.source(), id)
    {
    }
    Permission acquire(Common::Milliseconds wait = 5s)
    {
        return testRuntime().call([&] {
            return guard.acquire({ s_request, {} }, { Common::now() + wait, [] { return false; } }).permission;
        });
    }
    void release(bool crashCheckPending = false)
    {
        testRuntime().call([&] {
            guard.release(s_request, crashCheckPending);
            return true;
        });
    }

    SuspectLedger ledger;
    SuspectGuard guard;
};

bool eventually(const std::function<bool()>& condition)
{
    for (int step = 0; step < 2000; ++step) {
        if (condition())
            return true;
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

} // namespace

TEST(SuspectGuardTest, ARequestBelowTwoCrashesIsUnrestrictedWithoutAStoreCall)
{
    auto& log = *new FakeLog;
    auto& router = *new Router(log, "a");
    EXPECT_EQ(router.acquire(), Permission::Unrestricted);
    recordCrashes(router.ledger, 1);
    EXPECT_EQ(router.acquire(), Permission::Unrestricted);
    EXPECT_EQ(log.reads, 0U);
}

TEST(SuspectGuardTest, ASuspectRunsOnOneRouterAtATime)
{
    auto& log = *new FakeLog;
    auto& first = *new Router(log, "a");
    auto& second = *new Router(log, "b");
    recordCrashes(first.ledger, 2);
    recordCrashes(second.ledger, 2);
    EXPECT_EQ(first.acquire(), Permission::Exclusive);
    EXPECT_TRUE(log.isClaimed());
    EXPECT_EQ(second.acquire(200ms), Permission::TimedOut);
    EXPECT_EQ(first.acquire(200ms), Permission::TimedOut) << "the run is exclusive on its own router as well";
    // The run completes, and two other routers write while the claim is released.
    first.ledger.recordCompleted(s_request, Common::now());
    log.conflicts = 2;
    first.release();
    EXPECT_TRUE(eventually([&] { return !log.size(); }));
    EXPECT_EQ(first.acquire(), Permission::Unrestricted);
}

TEST(SuspectGuardTest, AThirdCrashReachesOtherRoutersThroughTheStore)
{
    auto& log = *new FakeLog;
    auto& first = *new Router(log, "a");
    auto& second = *new Router(log, "b");
    recordCrashes(first.ledger, 2);
    recordCrashes(second.ledger, 2);
    ASSERT_EQ(first.acquire(), Permission::Exclusive);
    recordCrashes(first.ledger, 3);
    first.release(true);
    EXPECT_EQ(second.acquire(), Permission::Held);
}

TEST(SuspectGuardTest, WithoutTheStoreRunsAreExclusivePerRouterAndTrialsAreRefused)
{
    auto& log = *new FakeLog;
    log.isUnavailable = true;
    auto& router = *new Router(log, "a");
    recordCrashes(router.ledger, 2);
    EXPECT_EQ(router.acquire(), Permission::Exclusive);
    EXPECT_EQ(router.acquire(100ms), Permission::TimedOut);
    auto& other = *new Router(log, "b");
    recordCrashes(other.ledger, 3, 11min);
    ASSERT_EQ(other.ledger.suspicionOf(s_request, Common::now()), Suspicion::OnTrial);
    EXPECT_EQ(other.acquire(), Permission::Held);
}

TEST(SuspectGuardTest, OnlyOneRouterBeginsATrialOfAHeldRequest)
{
    auto& log = *new FakeLog;
    auto& first = *new Router(log, "a");
    auto& second = *new Router(log, "b");
    recordCrashes(first.ledger, 3, 11min);
    recordCrashes(second.ledger, 3, 11min);
    EXPECT_EQ(first.acquire(), Permission::Exclusive);
    EXPECT_EQ(first.ledger.find(s_request)->trials, 1U);
    EXPECT_EQ(second.acquire(), Permission::Held) << "another router has begun the trial";
    EXPECT_EQ(second.ledger.find(s_request)->trials, 1U);
}

// A store reader stores suspects with two crashes, loads those stored before, and drops expired ones.
TEST(SuspectGuardTest, AStoreReaderKeepsTheStoreUpToDate)
{
    auto& log = *new FakeLog;
    const RequestIdentity old { 2, 10, { 2, 2 } };
    const RequestIdentity before { 3, 10, { 3, 3 } };
    auto& earlier = *new Router(log, "earlier");
    recordCrashes(earlier.ledger, 2, 20min, old);
    log.suspects[old] = { *earlier.ledger.find(old), "", 0ms };
    recordCrashes(earlier.ledger, 3, 1min, before);
    log.suspects[before] = { *earlier.ledger.find(before), "", 0ms };
    auto& router = *new Router(log, "a");
    testRuntime().spawn([&] { router.guard.runStoreSync([] { return true; }); });
    EXPECT_TRUE(eventually([&] {
        return router.ledger.suspicionOf(before, Common::now()) == Suspicion::Held && log.size() == 1;
    })) << "the expired suspect is dropped";
    recordCrashes(router.ledger, 2);
    EXPECT_TRUE(eventually([&] { return log.size() == 2; }));
    router.ledger.recordCompleted(s_request, Common::now());
    EXPECT_TRUE(eventually([&] { return log.size() == 1; }));
}

// Guards against a second concurrent run: a store reader that updates the record of a suspect must not drop its own
// claim on the suspect.
TEST(SuspectGuardTest, AStoreReaderKeepsItsClaimDuringItsRun)
{
    auto& log = *new FakeLog;
    auto& reader = *new Router(log, "a");
    auto& other = *new Router(log, "b");
    recordCrashes(reader.ledger, 2);
    recordCrashes(other.ledger, 2);
    ASSERT_EQ(reader.acquire(), Permission::Exclusive);
    testRuntime().spawn([&] { reader.guard.runStoreSync([] { return true; }); });
    // Another upstream crashes with the same request in flight; the reader stores the crash.
    std::vector<InterruptedAttempt> attempts { { "r", s_request, "w", "/x", Common::now() - 9900ms,
        Common::now() - 9800ms } };
    reader.ledger.recordCrash({ "another", 1 }, attempts, Common::now());
    EXPECT_TRUE(eventually([&] {
        std::lock_guard lock(log.mutex);
        return log.suspects.at(s_request).record.runs.size() == 3;
    }));
    EXPECT_TRUE(log.isClaimed());
    EXPECT_EQ(other.acquire(200ms), Permission::TimedOut);
}

} // namespace Brassladder::RouteServing::Gateway
