// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

namespace Brassladder::Common {

struct IoResult {
    boost::system::error_code error;
    size_t bytes { 0 };
    bool ok() const { return !error; }
};

// Starts an asynchronous operation and suspends the calling fiber until its handler has run. The operation must belong
// to the io_context of the calling thread.
template <typename Initiate> IoResult awaitIo(Initiate&& initiate)
{
    IoResult result;
    bool done = false;
    auto* waiting = boost::fibers::context::active();
    initiate([&](boost::system::error_code error, size_t bytes = 0) {
        result = { error, bytes };
        done = true;
        boost::fibers::context::active()->schedule(waiting);
    });
    // The handler sets `done`. NOLINTNEXTLINE(bugprone-infinite-loop)
    while (!done)
        waiting->suspend();
    return result;
}

} // namespace Brassladder::Common
