// SPDX-License-Identifier: Apache-2.0
#include "Common/BackgroundThread.h"

#include "Common/FatalSignal.h"

namespace Brassladder::Common {

void postToBackground(std::function<void()> task)
{
    // Never destroyed, like the threads of FiberRuntime.
    static auto& s_pool = []() -> boost::asio::thread_pool& {
        auto& pool = *new boost::asio::thread_pool(1);
        boost::asio::post(pool, [] { installAlternateSignalStack(); });
        return pool;
    }();
    boost::asio::post(s_pool, std::move(task));
}

} // namespace Brassladder::Common
