// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Claims/ClaimRouter.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>
#include <thread>

namespace Brassladder::ClassServing::Claims {

using namespace std::chrono_literals;
using BackingServices::LogPage;

// Guards against a partition that is closed as idle during a slow append, which would lose the withdrawal if the
// append fails.
TEST(ClaimRouterTest, WithdrawalIsAppendedAgainAfterAFailedAppend)
{
    // Fibers of the router outlive the test.
    struct Log {
        std::atomic<int> reads { 0 };
        std::atomic<int> appends { 0 };
    };
    static auto& s_log = *new Log;
    BackingServices::LogService service;
    service.append = [](std::string_view, std::string_view) -> Common::Result<uint64_t> {
        if (++s_log.appends > 1)
            return uint64_t { 1 };
        // The append fails only after the read loop has checked the partition many times, or has closed it.
        int before = s_log.reads;
        auto limit = Common::now() + 300ms;
        while (s_log.reads < before + 20 && Common::now() < limit)
            Common::sleepFor(1ms);
        return Common::makeError(Common::ErrorKind::PlatformUnavailable, "no response");
    };
    service.read = [](std::string_view, uint64_t, Common::Milliseconds) -> Common::Result<LogPage> {
        Common::sleepFor(2ms);
        ++s_log.reads;
        return LogPage {};
    };
    ClaimRouter::Options options;
    options.interval = 1ms;
    options.idleTime = 1ms;
    auto& router = *new ClaimRouter(service, options);
    testRuntime().call([&] {
        router.markFreed(0, { "key", "request" });
        return true;
    });
    auto limit = Common::now() + 3s;
    while (s_log.appends < 2 && Common::now() < limit)
        std::this_thread::sleep_for(1ms);
    EXPECT_EQ(s_log.appends, 2) << "the withdrawal is lost, so the key stays taken until the horizon";
}

} // namespace Brassladder::ClassServing::Claims
