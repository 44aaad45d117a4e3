// SPDX-License-Identifier: Apache-2.0
#include "Common/MemoryReturn.h"

#include "Common/ConnectionBudget.h"
#include "Common/FiberRuntime.h"
#include "Common/FiberStacks.h"

#include <algorithm>
#include <malloc.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

// A fixed value: by default the allocator raises it to the size of the largest block that was freed.
static constexpr int largeBlockBytes = 256 * 1024;
static constexpr Milliseconds checkInterval = 10'000ms;
// Below this, a search for free memory is not worth its time.
static constexpr size_t minReturnedBytes = size_t { 2 } * 1024 * 1024;

void returnLargeBlocks() { mallopt(M_MMAP_THRESHOLD, largeBlockBytes); }

void returnMemoryAfterPeaks(ConnectionBudget& budget)
{
    size_t earlierPeak = 0;
    while (true) {
        sleepFor(checkInterval);
        // The fibers of closed connections may end after the check that follows the peak, so there is a second one.
        auto peak = budget.takePeakBytes();
        if (std::max(peak, earlierPeak) >= budget.usage().bytes + minReturnedBytes) {
            FiberStacks::releaseUnused();
            malloc_trim(0);
        }
        earlierPeak = peak;
    }
}

} // namespace Brassladder::Common
