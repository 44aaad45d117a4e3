// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "UnitTests/TestRuntime.h"

#include <csignal>
#include <cstdlib>
#include <gtest/gtest.h>

namespace Brassladder {

Common::FiberRuntime& testRuntime()
{
    static auto& s_runtime = Common::FiberRuntime::start(2);
    return s_runtime;
}

} // namespace Brassladder

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    // Fixed seed: RapidCheck generates the same cases on each run.
    setenv("RC_PARAMS", "seed=20261202", 1);
    std::signal(SIGPIPE, SIG_IGN);
    int result = RUN_ALL_TESTS();
    // Fibers of the runtime may wait for peers forever; _Exit ends the process without joining them.
    std::fflush(nullptr);
    std::_Exit(result);
}
