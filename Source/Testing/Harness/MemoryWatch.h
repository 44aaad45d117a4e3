// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstddef>
#include <string_view>
#include <sys/types.h>
#include <thread>

namespace Brassladder::Testing::Harness {

// Watches the resident memory of a process that this one has started, and kills it when the memory exceeds the limit.
// Must be destroyed before the process is waited for.
class MemoryWatch {
public:
    MemoryWatch(pid_t, size_t limitBytes);
    ~MemoryWatch();
    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;

    // Bytes; 0 after the end of the process.
    size_t residentBytes() const { return statusLine("VmRSS:"); }
    // The highest value so far, in bytes.
    size_t peakBytes() const { return statusLine("VmHWM:"); }
    size_t openDescriptors() const;
    bool isExceeded() const { return m_isExceeded; }

private:
    // Returns a value of the process's status file in bytes.
    size_t statusLine(std::string_view name) const;
    void run(size_t limitBytes);

    const pid_t m_pid;
    std::atomic<bool> m_isExceeded { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace Brassladder::Testing::Harness
