// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include <atomic>
#include <future>
#include <thread>

namespace Brassladder::Common {

// Runs fibers on a fixed number of threads, each with one io_context and one fiber scheduler. Fibers never migrate
// between threads, so an object that only fibers of one thread use needs no lock. A fiber must not block its thread,
// since that stops all other fibers of the thread.
//
// The runtime is never destroyed: the scheduler of Boost.Fiber refers to its io_context until the thread ends, and
// fibers that wait for a peer cannot be aborted. Programs end by std::_Exit after their drain.
class FiberRuntime {
public:
    using Task = std::function<void()>;

    static FiberRuntime& start(unsigned threads);

    // Runs the task in a new fiber; threads are assigned round-robin.
    void spawn(Task);
    void spawnOn(size_t thread, Task);
    // Runs the task in a new fiber on the thread of the calling fiber.
    static void spawnOnCurrentThread(Task);

    // Runs the function in a fiber and blocks the calling thread until it returns. Must not be called from a fiber.
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
    // Returns the same thread for the same key during the lifetime of the process.
    size_t threadFor(std::string_view key) const { return std::hash<std::string_view>()(key) % m_workers.size(); }
    size_t nextThread() { return m_next.fetch_add(1, std::memory_order_relaxed) % m_workers.size(); }

    // The io_context of the calling thread, which must be a thread of the runtime.
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

// Suspends the calling fiber without blocking its thread.
void sleepFor(std::chrono::steady_clock::duration);

} // namespace Brassladder::Common
