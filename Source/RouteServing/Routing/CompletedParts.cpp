// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/CompletedParts.h"

#include "Common/Digest.h"

namespace Brassladder::RouteServing::Routing {

using Common::Milliseconds;
using Common::TimePoint;

// Enough for 34 years of the steady clock in milliseconds.
static constexpr unsigned timeBits = 40;
static constexpr uint64_t timeMask = (uint64_t(1) << timeBits) - 1;

static bool isSamePart(uint64_t slot, uint64_t hash) { return slot && (slot & ~timeMask) == (hash & ~timeMask); }

CompletedParts::CompletedParts()
    : m_seed(Common::randomNumber())
{
}

uint64_t CompletedParts::hash(const RequestIdentity& part) const
{
    std::array<uint64_t, 3> numbers { part.headHash, part.body[0], part.body[1] };
    return Common::stableHash({ reinterpret_cast<const char*>(numbers.data()), sizeof numbers }, m_seed);
}

void CompletedParts::record(const RequestIdentity& part, TimePoint now)
{
    auto hashed = hash(part);
    auto time = static_cast<uint64_t>(Common::toMilliseconds(now.time_since_epoch()).count()) & timeMask;
    auto& bucket = m_buckets[hashed % bucketCount];
    auto* chosen = &bucket.front();
    uint64_t oldest = timeMask;
    for (auto& slot : bucket) {
        auto value = slot.load(std::memory_order_relaxed);
        if (isSamePart(value, hashed)) {
            chosen = &slot;
            break;
        }
        if ((value & timeMask) < oldest) {
            oldest = value & timeMask;
            chosen = &slot;
        }
    }
    chosen->store((hashed & ~timeMask) | time, std::memory_order_relaxed);
}

std::optional<TimePoint> CompletedParts::lastCompleted(const RequestIdentity& part) const
{
    auto hashed = hash(part);
    for (const auto& slot : m_buckets[hashed % bucketCount]) {
        auto value = slot.load(std::memory_order_relaxed);
        if (isSamePart(value, hashed))
            return TimePoint(Milliseconds(value & timeMask));
    }
    return std::nullopt;
}

} // namespace Brassladder::RouteServing::Routing
