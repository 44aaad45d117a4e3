// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace Brassladder::Common {

class ConnectionBudget;

// Returns memory to the system that is no longer used. The allocator keeps it otherwise.

// Makes the allocator return large blocks, such as the bodies of requests, as soon as they are freed. Must be called
// before threads are started.
void returnLargeBlocks();

// Returns the rest some time after connections have held much more than they hold now. Runs until the process ends, in
// a fiber of its own.
[[noreturn]] void returnMemoryAfterPeaks(ConnectionBudget&);

} // namespace Brassladder::Common
