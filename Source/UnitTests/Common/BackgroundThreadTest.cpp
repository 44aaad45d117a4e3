// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/BackgroundThread.h"
#include "Common/FiberRuntime.h"
#include "UnitTests/TestRuntime.h"

#include <atomic>
#include <gtest/gtest.h>

namespace Brassladder::Common {

// Guards against a long computation that stops all requests of its thread.
TEST(BackgroundThreadTest, OtherFibersOfTheThreadGoOnMeanwhile)
{
    bool hasSeenOther = testRuntime().call([] {
        std::atomic<bool> hasRun { false };
        FiberRuntime::spawnOnCurrentThread([&] { hasRun = true; });
        return runInBackground([&] {
            for (int step = 0; step < 2000 && !hasRun; ++step)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            return hasRun.load();
        });
    });
    EXPECT_TRUE(hasSeenOther);
}

} // namespace Brassladder::Common
