// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RequestIdentity.h"

#include <array>
#include <atomic>
#include <optional>

namespace Brassladder::RouteServing::Routing {

// Remembers when requests with a part of a prompt last completed at an upstream of this router. A part that crashes
// upstreams never completes. A part may be forgotten when others complete later. Lock-free, because every completed
// generation is recorded.
class CompletedParts {
public:
    CompletedParts();

    void record(const RequestIdentity& part, Common::TimePoint now);
    std::optional<Common::TimePoint> lastCompleted(const RequestIdentity& part) const;

private:
    // The upper bits of a part's hash and the time in milliseconds; 0 if the slot is free.
    using Slot = std::atomic<uint64_t>;
    // A part may be in any slot of its bucket; the one that completed longest ago is replaced.
    using Bucket = std::array<Slot, 8>;
    static constexpr size_t bucketCount = 1024; // 64 KB.

    uint64_t hash(const RequestIdentity&) const;

    const uint64_t m_seed; // Random, so that no caller can choose parts that share a bucket.
    std::array<Bucket, bucketCount> m_buckets {};
};

} // namespace Brassladder::RouteServing::Routing
