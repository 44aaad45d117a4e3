// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include <atomic>
#include <future>
#include <thread>

namespace Brassladder::Common {

// Threads that each run one io_context and one fiber scheduler. Fibers never move between threads, so an object that
// belongs to a fiber's thread needs no lock. A fiber must not block its thread: all its neighbours would stop.
//
// The runtime lives until the process ends: Boost.Fiber's scheduler refers to its io_context up to the end of the
// thread, and fibers that wait for a peer cannot be cut off. Programs end by std::_Exit after their drain.
class FiberRuntime {
public:
    using Task = std::function<void()>;

    static FiberRuntime& start(unsigned threads);

    // Runs the task as a new fiber on the next thread in turn.
    void spawn(Task);
    void spawnOn(size_t thread, Task);
    // Runs the task as a new fiber on the calling fiber's own thread.
    static void spawnOnCurrentThread(Task);

    // Runs the function in a fiber and blocks the calling plain thread until it returns.
    template <typename Function> auto call(Function function)
    {
        using Value = decltype(function());
        std::packaged_task<Value()> task(std::move(function));
        auto result = task.get_future();
        auto shared = std::make_shared<std::packaged_task<Value()>>(std::move(task));
        spawn([shared] { (*shared)(); });
        return result.get();
    }

    boost::asio::io_context& context(size_t thread) { return m_workers[thread]->context; }
    // The same thread for the same key, as long as the runtime lives.
    size_t threadFor(std::string_view key) const { return std::hash<std::string_view>()(key) % m_workers.size(); }
    size_t nextThread() { return m_next.fetch_add(1, std::memory_order_relaxed) % m_workers.size(); }

    // The io_context of the calling thread. Only valid on the runtime's threads.
    static boost::asio::io_context& currentContext();

private:
    struct Worker {
        boost::asio::io_context context { 1 };
        std::thread thread;
    };

    explicit FiberRuntime(unsigned threads);
    static void run(Worker&);

    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<size_t> m_next { 0 };
};

// Suspends the calling fiber, not its thread.
void sleepFor(std::chrono::steady_clock::duration);

} // namespace Brassladder::Common
