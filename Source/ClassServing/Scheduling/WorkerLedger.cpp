// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/WorkerLedger.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::ClassServing::Scheduling {

using namespace std::chrono_literals;

// A worker counts as slow when a token takes it more than twice the shard's median.
static constexpr double slowFactor = 2.0;
static constexpr double shrinkFactor = 0.8;
static constexpr Duration limitInterval = 500ms;
// Weight of the newest sample in a worker's time for a token: about the last ten answers count.
static constexpr double sampleWeight = 0.2;
// The median moves slowly: it is taken anew after this many answers.
static constexpr uint32_t samplesPerMedian = 16;
static constexpr Duration firstExclusion = 500ms;
static constexpr Duration longestExclusion = 10s;
// A worker that has the prefix cached is taken while its cost is at most this much above the best one's.
static constexpr double prefixAdvantage = 1.25;

void WorkerLedger::setWorkers(std::span<const WorkerInfo> infos)
{
    std::unordered_map<std::string, Worker> next;
    for (const auto& info : infos) {
        auto old = m_workers.find(info.id);
        Worker worker;
        if (old != m_workers.end())
            worker = std::move(old->second);
        else
            worker.limit = info.slots;
        worker.info = info;
        worker.limit = std::min<double>(worker.limit, info.slots);
        next.emplace(info.id, std::move(worker));
    }
    // A worker that left the list while our requests still run on it keeps its place until they end.
    for (auto& [id, worker] : m_workers) {
        if (worker.running && !next.contains(id)) {
            worker.info.leaving = true;
            next.emplace(id, std::move(worker));
        }
    }
    m_workers = std::move(next);
    refreshMedian();
}

void WorkerLedger::markLeaving(std::string_view id)
{
    if (auto found = m_workers.find(std::string(id)); found != m_workers.end())
        found->second.info.leaving = true;
}

void WorkerLedger::report(std::string_view id, const LoadReport& load)
{
    auto found = m_workers.find(std::string(id));
    if (found == m_workers.end())
        return;
    Worker& worker = found->second;
    worker.info.leaving = worker.info.leaving || load.leaving;
    // A report lags behind our own grants in both directions, so only the surplus over them is taken for the load of
    // others, and it never takes the last slot: a false report must not close a worker.
    uint32_t reported = load.running + load.waiting;
    uint32_t surplus = reported > worker.running ? reported - worker.running : 0;
    uint32_t smoothed = std::min(surplus, worker.foreign + 1);
    worker.foreign = std::min(smoothed, worker.info.slots > 1 ? worker.info.slots - 1 : 0);
}

void WorkerLedger::start(std::string_view id)
{
    if (auto found = m_workers.find(std::string(id)); found != m_workers.end())
        ++found->second.running;
}

void WorkerLedger::finish(std::string_view id, const Release& release, TimePoint now)
{
    auto found = m_workers.find(std::string(id));
    if (found == m_workers.end())
        return;
    Worker& worker = found->second;
    if (worker.running)
        --worker.running;
    switch (release.outcome) {
    case Outcome::Completed:
    case Outcome::Preempted:
        worker.failures = 0;
        break;
    case Outcome::Cancelled:
        break;
    case Outcome::RefusedByWorker:
    case Outcome::ConnectFailed:
    case Outcome::Broken: {
        auto exclusion = firstExclusion * (1u << std::min(worker.failures, 5u));
        worker.excludedUntil = now + std::min<Duration>(exclusion, longestExclusion);
        ++worker.failures;
        return;
    }
    }
    if (release.perToken > Duration::zero()) {
        double seconds = Common::toSeconds(release.perToken);
        worker.perToken = worker.perToken ? worker.perToken + sampleWeight * (seconds - worker.perToken) : seconds;
        if (!m_medianPerToken || ++m_samplesSinceMedian >= samplesPerMedian)
            refreshMedian();
        adapt(worker, now);
    }
}

void WorkerLedger::adapt(Worker& worker, TimePoint now)
{
    bool slow = m_medianPerToken > 0 && worker.perToken > slowFactor * m_medianPerToken;
    if (!slow) {
        worker.limit = std::min<double>(worker.info.slots, worker.limit + 1 / worker.limit);
        return;
    }
    if (now - worker.limitChanged < limitInterval)
        return;
    worker.limitChanged = now;
    worker.limit = std::max(1.0, worker.limit * shrinkFactor);
}

void WorkerLedger::refreshMedian()
{
    m_samplesSinceMedian = 0;
    std::vector<double> samples;
    samples.reserve(m_workers.size());
    for (const auto& [id, worker] : m_workers) {
        if (worker.perToken > 0)
            samples.push_back(worker.perToken);
    }
    if (samples.empty()) {
        m_medianPerToken = 0;
        return;
    }
    auto middle = samples.begin() + static_cast<ptrdiff_t>((samples.size() - 1) / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    m_medianPerToken = *middle;
}

bool WorkerLedger::takesWork(const Worker& worker, TimePoint now)
{
    return !worker.info.leaving && now >= worker.excludedUntil;
}

bool WorkerLedger::roomOn(const Worker& worker, TimePoint now)
{
    if (!takesWork(worker, now))
        return false;
    // After a failure one request tries the worker before it gets its full share again.
    double limit = worker.failures ? 1 : std::floor(worker.limit);
    return worker.running + worker.foreign < limit;
}

bool WorkerLedger::hasRoomToResume(std::string_view id, TimePoint now) const
{
    auto found = m_workers.find(std::string(id));
    if (found == m_workers.end() || now < found->second.excludedUntil)
        return false;
    return found->second.running < found->second.info.slots;
}

bool WorkerLedger::takesWork(std::string_view id, TimePoint now) const
{
    auto found = m_workers.find(std::string(id));
    return found != m_workers.end() && takesWork(found->second, now);
}

std::string WorkerLedger::pick(const Ask& ask, TimePoint now) const
{
    const Worker* best = nullptr;
    const Worker* cached = nullptr;
    double bestCost = 0;
    double cachedCost = 0;
    const PrefixSlot* slot = ask.prefix && !m_prefixes.empty() ? &m_prefixes[ask.prefix % prefixSlots] : nullptr;
    for (const auto& [id, worker] : m_workers) {
        if (!roomOn(worker, now))
            continue;
        double perToken = worker.perToken > 0 ? worker.perToken : m_medianPerToken;
        double cost = (perToken > 0 ? perToken : 1) * (1 + (worker.running + worker.foreign) / worker.limit);
        if (id == ask.avoid)
            cost *= 1000; // Only when there is no other.
        if (slot && slot->prefix == ask.prefix && slot->worker == id) {
            cached = &worker;
            cachedCost = cost;
        }
        // Equal costs go by the name, so that the choice does not hang on the order of a hash table.
        if (!best || cost < bestCost || (cost == bestCost && id < best->info.id)) {
            best = &worker;
            bestCost = cost;
        }
    }
    if (cached && cachedCost <= bestCost * prefixAdvantage)
        return cached->info.id;
    return best ? best->info.id : std::string();
}

void WorkerLedger::rememberPrefix(uint64_t prefix, std::string_view worker)
{
    if (!prefix)
        return;
    if (m_prefixes.empty())
        m_prefixes.resize(prefixSlots);
    m_prefixes[prefix % prefixSlots] = { prefix, std::string(worker) };
}

double WorkerLedger::capacity(TimePoint now) const
{
    double sum = 0;
    for (const auto& [id, worker] : m_workers) {
        if (takesWork(worker, now))
            sum += std::floor(worker.limit);
    }
    return sum;
}

uint32_t WorkerLedger::runningOn(std::string_view id) const
{
    auto found = m_workers.find(std::string(id));
    return found == m_workers.end() ? 0 : found->second.running;
}

std::vector<std::string> WorkerLedger::ids() const
{
    std::vector<std::string> ids;
    for (const auto& [id, worker] : m_workers)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace Brassladder::ClassServing::Scheduling
