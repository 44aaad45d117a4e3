// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>

namespace Brassladder::Common {

// The monotonic clock. CLOCK_MONOTONIC goes on while a process is stopped, so a deadline passed in a pause is seen as
// passed on the first look after it; code re-reads the clock after each wait before it acts.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

inline TimePoint now() { return Clock::now(); }

inline Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace Brassladder::Common
