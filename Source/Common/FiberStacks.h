// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

namespace Brassladder::Common {

// Stack allocator (as Boost.Context defines it) for the fibers of the calling thread. An inaccessible guard page below
// each stack ends the process on an overflow (FatalSignal.h logs it), before another fiber's stack is overwritten.
//
// Stacks of ended fibers are reused, the most recent one first because its pages are most likely in the cache. Only a
// few unused stacks are kept. A fiber must end on the thread that started it, as all fibers of FiberRuntime do.
class FiberStacks {
public:
    // Throws std::bad_alloc if the system provides no memory.
    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context&) noexcept;
    // Returns the unused stacks of the calling thread to the system.
    static void releaseUnused();
};

} // namespace Brassladder::Common
