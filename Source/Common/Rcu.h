// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <urcu.h>
#include <utility>

namespace Brassladder::Common {

// Registers a thread as a reader with liburcu for as long as it lives. One per thread.
class RcuThread {
public:
    RcuThread() { rcu_register_thread(); }
    ~RcuThread() { rcu_unregister_thread(); }
    RcuThread(const RcuThread&) = delete;
    RcuThread& operator=(const RcuThread&) = delete;

    // Registers the calling thread if it is not registered yet. One registration serves all cells.
    static void ensureRegistered() { thread_local RcuThread s_registration; }
};

// A pointer to an immutable value that many threads read and few replace. Readers take a reference inside a read-side
// section that holds no fiber switch; the writer waits for a grace period before it drops the old value.
template <typename T> class RcuCell {
public:
    explicit RcuCell(std::shared_ptr<const T> initial)
        : m_slot(new std::shared_ptr<const T>(std::move(initial)))
    {
    }
    ~RcuCell() { delete m_slot; }
    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;

    std::shared_ptr<const T> load() const
    {
        RcuThread::ensureRegistered();
        rcu_read_lock();
        std::shared_ptr<const T> copy = *rcu_dereference(m_slot);
        rcu_read_unlock();
        return copy;
    }

    // Blocks for a grace period. Call it from one writer at a time, never inside a read-side section.
    void store(std::shared_ptr<const T> next)
    {
        RcuThread::ensureRegistered();
        auto* fresh = new std::shared_ptr<const T>(std::move(next));
        auto* old = rcu_xchg_pointer(&m_slot, fresh);
        synchronize_rcu();
        delete old;
    }

private:
    std::shared_ptr<const T>* m_slot;
};

} // namespace Brassladder::Common
