// SPDX-License-Identifier: Apache-2.0
#include "Common/FiberStacks.h"

#include <new>
#include <sys/mman.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Brassladder::Common {

// Virtual size of a fiber's stack; unused pages are never backed by memory. Sanitizers need several times as much.
#if defined(BRASSLADDER_SANITIZED)
static constexpr size_t stackBytes = 512 * 1024;
#else
static constexpr size_t stackBytes = 64 * 1024;
#endif

// Stacks that each thread keeps for later fibers. The others are returned to the system.
static constexpr size_t maxFreeStacks = 32;

// Lowest addresses of unused stacks, above their guard pages. Never destroyed, like the threads of the runtime.
static std::vector<void*>& freeStacks()
{
    thread_local auto& s_free = *new std::vector<void*>;
    return s_free;
}

static size_t guardSize() { return static_cast<size_t>(sysconf(_SC_PAGESIZE)); }

static void* mapStack()
{
    auto guardBytes = guardSize();
    void* guard = mmap(
        nullptr, guardBytes + stackBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (guard == MAP_FAILED)
        throw std::bad_alloc();
    if (mprotect(guard, guardBytes, PROT_NONE)) {
        munmap(guard, guardBytes + stackBytes);
        throw std::bad_alloc();
    }
    return static_cast<char*>(guard) + guardBytes;
}

static void unmapStack(void* bottom) { munmap(static_cast<char*>(bottom) - guardSize(), guardSize() + stackBytes); }

boost::context::stack_context FiberStacks::allocate()
{
    auto& free = freeStacks();
    void* bottom = nullptr;
    if (free.empty()) {
        bottom = mapStack();
    } else {
        bottom = free.back();
        free.pop_back();
    }
    boost::context::stack_context stack;
    stack.size = stackBytes;
    stack.sp = static_cast<char*>(bottom) + stackBytes; // Stacks grow downwards.
    return stack;
}

void FiberStacks::deallocate(boost::context::stack_context& stack) noexcept
{
    auto* bottom = static_cast<char*>(stack.sp) - stack.size;
    auto& free = freeStacks();
    if (free.size() < maxFreeStacks)
        free.push_back(bottom);
    else
        unmapStack(bottom);
}

void FiberStacks::releaseUnused()
{
    for (auto* bottom : std::exchange(freeStacks(), {}))
        unmapStack(bottom);
}

} // namespace Brassladder::Common
