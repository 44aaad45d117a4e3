// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Claims/ClaimRouter.h"

#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

#include <algorithm>

namespace Brassladder::ClassServing::Claims {

using Common::LogLevel;
using namespace std::chrono_literals;

static constexpr Common::Milliseconds longPollTimeout = 1s;
static constexpr Common::Milliseconds readRetryDelay = 100ms;

ClaimRouter::ClaimRouter(BackingServices::LogService log, Options options)
    : m_log(std::move(log))
    , m_options(options)
{
}

std::shared_ptr<ClaimRouter::Partition> ClaimRouter::openPartition(uint32_t number)
{
    std::lock_guard lock(m_mutex);
    auto& slot = m_partitions[number];
    if (!slot) {
        slot = std::make_shared<Partition>(m_options.horizon);
        slot->number = number;
        slot->lastUsed = Common::now();
        Common::FiberRuntime::spawnOnCurrentThread([this, partition = slot] { readLoop(partition); });
        Common::FiberRuntime::spawnOnCurrentThread([this, partition = slot] { appendLoop(partition); });
    }
    return slot;
}

void ClaimRouter::request(uint32_t number, KeyAndRequest what, bool readOnly, const VerdictHandler& answer)
{
    auto partition = openPartition(number);
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
        resolvePending(*partition);
}

void ClaimRouter::markFreed(uint32_t number, KeyAndRequest what)
{
    auto partition = openPartition(number);
    std::lock_guard lock(partition->mutex);
    partition->lastUsed = Common::now();
    partition->freeingRequests.insert(what.requestId);
    partition->updates.freed.push_back(std::move(what));
}

void ClaimRouter::markEnded(uint32_t number, KeyAndRequest what)
{
    auto partition = openPartition(number);
    std::lock_guard lock(partition->mutex);
    partition->lastUsed = Common::now();
    partition->updates.ended.push_back(std::move(what));
}

// Calls the handlers of all claims whose verdict follows from the records read so far. The verdict of any other claim
// is Unavailable once the claim has timed out or the log is unreachable.
void ClaimRouter::resolvePending(Partition& partition)
{
    std::vector<std::pair<VerdictHandler, Verdict>> answers;
    {
        std::lock_guard lock(partition.mutex);
        auto now = Common::now();
        std::erase_if(partition.pending, [&](const Pending& pending) {
            auto verdict = partition.caughtUp ? partition.fold.verdict(pending.what.key, pending.what.requestId)
                                              : Verdict::Unclaimed;
            bool beingFreed = partition.freeingRequests.contains(partition.fold.holder(pending.what.key));
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

void ClaimRouter::readLoop(const std::shared_ptr<Partition>& partition)
{
    auto stream = BackingServices::claimStream(partition->number);
    while (true) {
        auto page = m_log.read(stream, partition->nextOffset, partition->caughtUp ? longPollTimeout : 0ms);
        bool failed = isError(page);
        if (!failed)
            applyPage(*partition, valueOf(page));
        {
            std::lock_guard lock(partition->mutex);
            if (partition->reachable == failed)
                Common::log(LogLevel::Warning, "claims", failed ? "log.unreachable" : "log.reachable",
                    { { "stream", stream } });
            partition->reachable = !failed;
        }
        resolvePending(*partition);
        if (failed)
            Common::sleepFor(readRetryDelay);
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

void ClaimRouter::applyPage(Partition& partition, const BackingServices::LogPage& page)
{
    std::lock_guard lock(partition.mutex);
    // If the retention is shorter than the horizon, the log may drop a claim that is still valid. If the next offset
    // has decreased, the log has lost records. In both cases no verdict is returned.
    bool retentionTooShort = page.retentionMs && page.retentionMs < m_options.horizon.count();
    if (retentionTooShort || page.nextOffset < partition.nextOffset) {
        partition.caughtUp = false;
        Common::log(LogLevel::Error, "claims", "log.unfit",
            { { "partition", partition.number }, { "retention_ms", page.retentionMs }, { "next", page.nextOffset },
                { "expected", partition.nextOffset } });
        return;
    }
    for (const auto& record : page.records) {
        if (record.offset < partition.nextOffset)
            continue;
        partition.nextOffset = record.offset + 1;
        auto batch = decodeBatch(record.data);
        partition.fold.apply(record.timeMs, batch);
        for (const auto& freed : batch.freed)
            partition.freeingRequests.erase(freed.requestId);
    }
    partition.nextOffset = std::max(partition.nextOffset, page.firstOffset);
    partition.fold.expire(page.nowMs);
    partition.caughtUp = partition.nextOffset >= page.nextOffset;
}

// Appends pending claims and updates once per interval. Claims stay pending, and are appended again, until their
// record is read back from the log.
void ClaimRouter::appendLoop(const std::shared_ptr<Partition>& partition)
{
    static auto& s_appends
        = Common::Metrics::counter("brassladder_claim_appends_total", "Records appended to claim streams");
    auto stream = BackingServices::claimStream(partition->number);
    while (true) {
        Common::sleepFor(m_options.interval);
        resolvePending(*partition);
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
        // Claims stay pending and are appended again, so the updates are returned to the queue too. Duplicate records
        // have no effect.
        auto& updates = partition->updates;
        updates.freed.insert(updates.freed.end(), batch.freed.begin(), batch.freed.end());
        updates.ended.insert(updates.ended.end(), batch.ended.begin(), batch.ended.end());
    }
}

} // namespace Brassladder::ClassServing::Claims
