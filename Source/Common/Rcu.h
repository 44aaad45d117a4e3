// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <urcu.h>
#include <utility>

namespace Brassladder::Common {

// Registers a thread as a liburcu reader during its lifetime. A thread must have at most one.
class RcuThread {
public:
    RcuThread() { rcu_register_thread(); }
    ~RcuThread() { rcu_unregister_thread(); }
    RcuThread(const RcuThread&) = delete;
    RcuThread& operator=(const RcuThread&) = delete;

    // Registers the calling thread if necessary. One registration serves all cells.
    static void ensureRegistered() { thread_local RcuThread s_registration; }
};

// A pointer to an immutable value with many readers and few writers. Readers copy the shared_ptr in a read-side
// critical section without a fiber switch. The writer waits for a grace period before it deletes the old pointer.
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

    // Blocks for a grace period. Only one writer may call it at a time, and never within a read-side critical section.
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
