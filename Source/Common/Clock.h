// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>

namespace Brassladder::Common {

// Monotonic clock. CLOCK_MONOTONIC also advances while a process is stopped, and a deadline may pass during a wait.
// Code therefore reads the clock again after each wait before it acts.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

inline TimePoint now() { return Clock::now(); }

inline Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace Brassladder::Common
