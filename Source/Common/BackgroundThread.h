// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include <boost/fiber/future.hpp>
#include <functional>
#include <memory>
#include <type_traits>

namespace Brassladder::Common {

// Runs the task on the background thread, after the tasks that were posted before.
void postToBackground(std::function<void()> task);

// Runs a long computation on the background thread and suspends the calling fiber until it returns, so that the other
// fibers of its thread go on. The function must not use fibers or their connections.
template <typename Function> auto runInBackground(Function function)
{
    using Task = boost::fibers::packaged_task<std::invoke_result_t<Function>()>;
    auto task = std::make_shared<Task>(std::move(function));
    auto result = task->get_future();
    postToBackground([task] { (*task)(); });
    return result.get();
}

} // namespace Brassladder::Common
