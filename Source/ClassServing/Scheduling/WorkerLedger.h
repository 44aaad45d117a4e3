// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"

#include <array>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Brassladder::ClassServing::Scheduling {

// A worker as the instance list and the configuration describe it.
struct WorkerInfo {
    std::string id;
    uint32_t slots { 1 }; // The most requests it states that it can run at once.
    bool leaving { false };
};

// What a worker says of itself. It lags, and it may be false: it can narrow our view but never widen it.
struct LoadReport {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    bool leaving { false };
};

// Counts our own grants for each worker of a shard and decides how many more each can take.
//
// The concurrency limit of a worker adapts: it shrinks by a fifth while the worker's time for a token stands at more
// than twice the median of the shard, and grows back by one over the limit with each good answer (AIMD). A worker that
// fails is left out for a time that doubles with each failure in a row, and then tried with one request.
class WorkerLedger {
public:
    // Replaces the set of workers; what runs on those that stay is kept.
    void setWorkers(std::span<const WorkerInfo>);
    void markLeaving(std::string_view worker);
    void report(std::string_view worker, const LoadReport&);

    void start(std::string_view worker);
    void finish(std::string_view worker, const Release&, TimePoint now);

    // How the best worker for a request is found: room first, then expected time, then the prefix it has cached.
    // Empty when none has room.
    std::string pick(const Ask&, TimePoint now) const;
    // Room to go on with a paused request: also on a worker that is leaving, since it is no new work.
    bool hasRoomToResume(std::string_view worker, TimePoint now) const;
    // Whether a slot freed there could be used by another request.
    bool takesWork(std::string_view worker, TimePoint now) const;
    bool isKnown(std::string_view worker) const { return m_workers.contains(std::string(worker)); }
    // Where the request's prefix was sent last; the caches' own events come late and with gaps.
    void rememberPrefix(uint64_t prefix, std::string_view worker);

    // The sum of the limits of the workers that take new work.
    double capacity(TimePoint now) const;
    uint32_t runningOn(std::string_view worker) const;
    bool isEmpty() const { return m_workers.empty(); }
    std::vector<std::string> ids() const;

private:
    struct Worker {
        WorkerInfo info;
        double limit { 1 };
        uint32_t running { 0 };
        uint32_t foreign { 0 }; // Reported load that is not ours.
        double perToken { 0 }; // Seconds, moving average; 0: unknown.
        uint32_t failures { 0 };
        TimePoint excludedUntil {};
        TimePoint limitChanged {};
    };

    static bool takesWork(const Worker&, TimePoint now);
    static bool roomOn(const Worker&, TimePoint now);
    void adapt(Worker&, TimePoint now);
    void refreshMedian();

    std::unordered_map<std::string, Worker> m_workers;
    double m_medianPerToken { 0 };
    uint32_t m_samplesSinceMedian { 0 };
    // A direct-mapped table: old prefixes give way to new ones, and memory is bounded.
    static constexpr size_t prefixSlots = 4096;
    struct PrefixSlot {
        uint64_t prefix { 0 };
        std::string worker;
    };
    std::vector<PrefixSlot> m_prefixes;
};

} // namespace Brassladder::ClassServing::Scheduling
