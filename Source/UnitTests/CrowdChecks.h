// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Testing/Harness/MemoryWatch.h"
#include "Testing/Load/OrdinaryCallers.h"

#include <gtest/gtest.h>
#include <iostream>

// What holds for a router process beside a crowd of clients, whatever they do.
namespace Brassladder {

// Share of the ordinary requests that must be served.
inline constexpr double minServedShare = 0.95;
// Share of the instance's memory that the process may use.
inline constexpr double maxMemoryShare = 0.75;

inline void expectServed(Testing::Load::OrdinaryCallers& callers, std::chrono::milliseconds time, const char* when)
{
    callers.take();
    std::this_thread::sleep_for(time);
    auto count = callers.take();
    std::cout << when << ": " << count.served << " of " << count.sent << " ordinary requests served\n";
    EXPECT_GT(count.sent, 0U) << when;
    EXPECT_GE(count.servedShare(), minServedShare) << when;
}

inline void expectWithin(const Testing::Harness::MemoryWatch& memory, size_t instanceBytes)
{
    static constexpr size_t kilobyte = 1024;
    std::cout << "memory: " << memory.peakBytes() / kilobyte << " KB at the peak, " << memory.residentBytes() / kilobyte
              << " KB after; descriptors: " << memory.openDescriptors() << "\n";
    EXPECT_FALSE(memory.isExceeded());
    EXPECT_LE(static_cast<double>(memory.peakBytes()), maxMemoryShare * static_cast<double>(instanceBytes));
}

} // namespace Brassladder
