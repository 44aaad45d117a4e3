// SPDX-License-Identifier: Apache-2.0
#include "Common/FiberRuntime.h"

#include "Common/FatalSignal.h"
#include "Common/FiberStacks.h"

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

static thread_local asio::io_context* s_context = nullptr;

namespace {

// Fiber scheduler that integrates with an io_context: when no fiber is ready, the thread runs handlers of the
// io_context.
class IoContextAlgorithm final : public fibers::algo::algorithm {
public:
    explicit IoContextAlgorithm(asio::io_context& context)
        : m_context(context)
        , m_timer(context)
    {
    }

    void awakened(fibers::context* fiber) noexcept override
    {
        fiber->ready_link(m_ready);
        if (!fiber->is_context(fibers::type::dispatcher_context))
            ++m_readyFibers;
    }

    fibers::context* pick_next() noexcept override
    {
        if (m_ready.empty())
            return nullptr;
        auto* fiber = &m_ready.front();
        m_ready.pop_front();
        if (!fiber->is_context(fibers::type::dispatcher_context))
            --m_readyFibers;
        return fiber;
    }

    bool has_ready_fibers() const noexcept override { return m_readyFibers > 0; }

    void suspend_until(const std::chrono::steady_clock::time_point& wakeUp) noexcept override
    {
        arm(wakeUp);
        m_context.restart();
        if (m_context.run_one())
            m_context.poll();
    }

    void notify() noexcept override
    {
        asio::post(m_context, [] {});
    }

private:
    // Sets the timer only if the time has changed. Setting it again cancels the pending wait. The handler of that
    // wait makes the next `run_one` return at once, after which the timer would be set again: the thread would spin.
    void arm(std::chrono::steady_clock::time_point wakeUp)
    {
        if (wakeUp == std::chrono::steady_clock::time_point::max() || wakeUp == m_armedFor)
            return;
        m_armedFor = wakeUp;
        m_timer.expires_at(wakeUp);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                m_armedFor = {};
        });
    }

    asio::io_context& m_context;
    asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_armedFor {};
    fibers::scheduler::ready_queue_type m_ready;
    size_t m_readyFibers { 0 };
};

} // namespace

FiberRuntime& FiberRuntime::start(unsigned threads) { return *new FiberRuntime(threads); }

FiberRuntime::FiberRuntime(unsigned threads)
{
    for (unsigned i = 0; i < threads; ++i)
        m_workers.push_back(std::make_unique<Worker>());
    for (auto& worker : m_workers)
        worker->thread = std::thread([&worker = *worker] { run(worker); });
}

void FiberRuntime::run(Worker& worker)
{
    installAlternateSignalStack();
    s_context = &worker.context;
    auto guard = asio::make_work_guard(worker.context);
    fibers::use_scheduling_algorithm<IoContextAlgorithm>(worker.context);
    fibers::mutex mutex;
    fibers::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait(lock, [] { return false; });
}

void FiberRuntime::spawnOn(size_t thread, Task task)
{
    asio::post(
        m_workers[thread]->context, [task = std::move(task)]() mutable { spawnOnCurrentThread(std::move(task)); });
}

void FiberRuntime::spawn(Task task) { spawnOn(nextThread(), std::move(task)); }

void FiberRuntime::spawnOnCurrentThread(Task task)
{
    fibers::fiber(fibers::launch::post, std::allocator_arg, FiberStacks(), std::move(task)).detach();
}

asio::io_context& FiberRuntime::currentContext() { return *s_context; }

void sleepFor(std::chrono::steady_clock::duration duration) { boost::this_fiber::sleep_for(duration); }

} // namespace Brassladder::Common
