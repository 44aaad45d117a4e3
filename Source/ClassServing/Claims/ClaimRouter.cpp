// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Claims/ClaimRouter.h"

#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

#include <algorithm>

namespace Brassladder::ClassServing::Claims {

using Common::LogLevel;
using namespace std::chrono_literals;

// A long poll of a claim stream. Chosen, not measured.
static constexpr Common::Milliseconds readWait = 1s;
// After a failed read. Chosen, not measured.
static constexpr Common::Milliseconds retryPause = 100ms;

ClaimRouter::ClaimRouter(BackingServices::LogService log, Options options)
    : m_log(std::move(log))
    , m_options(options)
{
}

std::shared_ptr<ClaimRouter::Partition> ClaimRouter::use(uint32_t number)
{
    std::lock_guard lock(m_mutex);
    auto& slot = m_partitions[number];
    if (!slot) {
        slot = std::make_shared<Partition>(m_options.horizon);
        slot->number = number;
        slot->lastUsed = Common::now();
        Common::FiberRuntime::spawnOnCurrentThread([this, partition = slot] { follow(partition); });
        Common::FiberRuntime::spawnOnCurrentThread([this, partition = slot] { write(partition); });
    }
    return slot;
}

void ClaimRouter::request(uint32_t number, KeyAndRequest what, bool readOnly, const Answer& answer)
{
    auto partition = use(number);
    bool refuse = false;
    {
        std::lock_guard lock(partition->mutex);
        partition->lastUsed = Common::now();
        refuse = !partition->reachable;
        if (!refuse)
            partition->pending.push_back({ std::move(what), readOnly, Common::now() + m_options.timeout, answer });
    }
    if (refuse)
        answer(Verdict::Unavailable);
    else
        settle(*partition);
}

void ClaimRouter::markFreed(uint32_t number, KeyAndRequest what)
{
    auto partition = use(number);
    std::lock_guard lock(partition->mutex);
    partition->lastUsed = Common::now();
    partition->freeing.insert(what.requestId);
    partition->updates.freed.push_back(std::move(what));
}

void ClaimRouter::markEnded(uint32_t number, KeyAndRequest what)
{
    auto partition = use(number);
    std::lock_guard lock(partition->mutex);
    partition->lastUsed = Common::now();
    partition->updates.ended.push_back(std::move(what));
}

// Answers what the log has settled and what has waited too long.
void ClaimRouter::settle(Partition& partition)
{
    std::vector<std::pair<Answer, Verdict>> answers;
    {
        std::lock_guard lock(partition.mutex);
        auto now = Common::now();
        std::erase_if(partition.pending, [&](const Pending& pending) {
            auto verdict = partition.caughtUp ? partition.fold.verdict(pending.what.key, pending.what.requestId)
                                              : Verdict::Unclaimed;
            bool beingFreed = partition.freeing.contains(partition.fold.holder(pending.what.key));
            bool settled = partition.caughtUp && !beingFreed && (pending.readOnly || verdict != Verdict::Unclaimed);
            bool givenUp = !partition.reachable || now >= pending.deadline;
            if (settled || givenUp)
                answers.emplace_back(pending.answer, settled ? verdict : Verdict::Unavailable);
            return settled || givenUp;
        });
    }
    for (auto& [answer, verdict] : answers)
        answer(verdict);
}

void ClaimRouter::follow(const std::shared_ptr<Partition>& partition)
{
    auto stream = BackingServices::claimStream(partition->number);
    while (true) {
        auto page = m_log.read(stream, partition->next, partition->caughtUp ? readWait : 0ms);
        bool failed = isError(page);
        if (!failed)
            take(*partition, valueOf(page));
        {
            std::lock_guard lock(partition->mutex);
            if (partition->reachable == failed)
                Common::log(LogLevel::Warning, "claims", failed ? "log.unreachable" : "log.reachable",
                    { { "stream", stream } });
            partition->reachable = !failed;
        }
        settle(*partition);
        if (failed)
            Common::sleepFor(retryPause);
        std::lock_guard lock(m_mutex);
        std::lock_guard partitionLock(partition->mutex);
        bool idle = partition->pending.empty() && partition->updates.isEmpty() && !partition->appending
            && Common::now() - partition->lastUsed > m_options.idleTime;
        if (idle) {
            m_partitions.erase(partition->number);
            return;
        }
    }
}

void ClaimRouter::take(Partition& partition, const BackingServices::LogPage& page)
{
    std::lock_guard lock(partition.mutex);
    // A log that keeps less than the horizon could forget a claim that still holds, and one whose offsets went back
    // has forgotten some: no claim is settled on either.
    bool forgetful = page.retentionMs && page.retentionMs < m_options.horizon.count();
    if (forgetful || page.next < partition.next) {
        partition.caughtUp = false;
        Common::log(LogLevel::Error, "claims", "log.unfit",
            { { "partition", partition.number }, { "retention_ms", page.retentionMs }, { "next", page.next },
                { "expected", partition.next } });
        return;
    }
    for (const auto& record : page.records) {
        if (record.offset < partition.next)
            continue;
        partition.next = record.offset + 1;
        auto batch = decodeBatch(record.data);
        partition.fold.apply(record.timeMs, batch);
        for (const auto& freed : batch.freed)
            partition.freeing.erase(freed.requestId);
    }
    partition.next = std::max(partition.next, page.first);
    partition.fold.expire(page.nowMs);
    partition.caughtUp = partition.next >= page.next;
}

// Writes what is pending, once an interval, until the log shows it.
void ClaimRouter::write(const std::shared_ptr<Partition>& partition)
{
    static auto& s_appends
        = Common::Metrics::counter("brassladder_claim_appends_total", "Records appended to claim streams");
    auto stream = BackingServices::claimStream(partition->number);
    while (true) {
        Common::sleepFor(m_options.interval);
        settle(*partition);
        ClaimBatch batch;
        {
            std::lock_guard lock(partition->mutex);
            bool abandoned = partition.use_count() == 1;
            if (abandoned)
                return;
            if (!partition->caughtUp || !partition->reachable)
                continue;
            for (const auto& pending : partition->pending) {
                if (!pending.readOnly)
                    batch.claimed.push_back(pending.what);
            }
            std::swap(batch.freed, partition->updates.freed);
            std::swap(batch.ended, partition->updates.ended);
            partition->appending = !batch.isEmpty();
        }
        if (batch.isEmpty())
            continue;
        auto appended = m_log.append(stream, encodeBatch(batch));
        s_appends.Increment();
        std::lock_guard lock(partition->mutex);
        partition->appending = false;
        if (!isError(appended))
            continue;
        // The claims stay pending and go out again; so must the updates. All of them may safely stand twice.
        auto& updates = partition->updates;
        updates.freed.insert(updates.freed.end(), batch.freed.begin(), batch.freed.end());
        updates.ended.insert(updates.ended.end(), batch.ended.begin(), batch.ended.end());
    }
}

} // namespace Brassladder::ClassServing::Claims
