// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SuspectCodec.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using Common::Milliseconds;
using Common::TimePoint;
using Routing::SuspectRecord;

// Upper bound of encoded and decoded ages, above the retention of any record. Keeps invalid ages, from a peer or the
// store, from producing time points out of range.
static constexpr Milliseconds maxSuspectAge = std::chrono::hours(24 * 30);

static uint64_t ageOf(TimePoint time, TimePoint now)
{
    return static_cast<uint64_t>(
        std::clamp(Common::toMilliseconds(now - time), Milliseconds(0), maxSuspectAge).count());
}

static TimePoint timeOf(uint64_t ageMs, TimePoint now)
{
    return now - Milliseconds(std::min<uint64_t>(ageMs, static_cast<uint64_t>(maxSuspectAge.count())));
}

static void encodeSuspect(const SuspectRecord& record, Inner::Wire::SuspectEntry& entry, TimePoint now)
{
    entry.set_target(record.request.headHash);
    entry.set_body_bytes(record.request.bodyBytes);
    entry.set_body_high(record.request.body[0]);
    entry.set_body_low(record.request.body[1]);
    entry.set_workspace(record.workspace);
    entry.set_path(record.target);
    for (const auto& run : record.runs) {
        auto& crashed = *entry.add_runs();
        crashed.set_upstream(run.upstream.id);
        crashed.set_born(run.upstream.born);
        crashed.set_request(run.requestId);
        crashed.set_sent_age_ms(ageOf(run.sent, now));
        crashed.set_ended_age_ms(ageOf(run.ended, now));
    }
    if (record.cleared != TimePoint::min()) {
        entry.set_is_cleared(true);
        entry.set_cleared_age_ms(ageOf(record.cleared, now));
    }
    entry.set_has_completed(record.hasCompleted);
    if (record.trials) {
        entry.set_trials(record.trials);
        entry.set_trial_age_ms(ageOf(record.lastTrial, now));
    }
}

static SuspectRecord decodeSuspect(const Inner::Wire::SuspectEntry& entry, TimePoint now)
{
    SuspectRecord record;
    record.request = { entry.target(), entry.body_bytes(), { entry.body_high(), entry.body_low() } };
    record.workspace = entry.workspace();
    record.target = entry.path();
    record.hasCompleted = entry.has_completed();
    if (entry.is_cleared())
        record.cleared = timeOf(entry.cleared_age_ms(), now);
    for (const auto& run : entry.runs())
        Routing::addRun(record,
            { { run.upstream(), run.born() }, run.request(), timeOf(run.sent_age_ms(), now),
                timeOf(run.ended_age_ms(), now) });
    if (entry.trials()) {
        record.trials = entry.trials();
        record.lastTrial = timeOf(entry.trial_age_ms(), now);
    }
    return record;
}

void encodeSuspects(std::span<const SuspectRecord> records, Inner::Wire::SuspectTable& table, TimePoint now)
{
    for (const auto& record : records)
        encodeSuspect(record, *table.add_suspects(), now);
}

std::vector<SuspectRecord> decodeSuspects(const Inner::Wire::SuspectTable& table, TimePoint now)
{
    std::vector<SuspectRecord> records;
    for (const auto& entry : table.suspects()) {
        auto record = decodeSuspect(entry, now);
        if (Routing::lastEventAt(record) != TimePoint::min())
            records.push_back(std::move(record));
    }
    return records;
}

ClockReading ClockReading::now()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { Common::now(), std::chrono::duration_cast<Milliseconds>(sinceEpoch) };
}

std::string encodeStoredSuspect(const StoredSuspect& stored, const ClockReading& now)
{
    Inner::Wire::StoredSuspect message;
    encodeSuspect(stored.record, *message.mutable_suspect(), now.steady);
    message.set_written_ms(static_cast<uint64_t>(now.unixTime.count()));
    message.set_claimed_by(stored.claimedBy);
    message.set_claimed_until_ms(static_cast<uint64_t>(stored.claimedUntil.count()));
    return message.SerializeAsString();
}

std::optional<StoredSuspect> decodeStoredSuspect(std::string_view bytes, const ClockReading& now)
{
    Inner::Wire::StoredSuspect message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    // If the system clock was set back since the write, the record counts as just written.
    auto elapsed = std::max(now.unixTime - Milliseconds(message.written_ms()), Milliseconds(0));
    auto written = now.steady - std::min(elapsed, maxSuspectAge);
    auto record = decodeSuspect(message.suspect(), written);
    if (Routing::lastEventAt(record) == TimePoint::min())
        return std::nullopt;
    return StoredSuspect { std::move(record), message.claimed_by(), Milliseconds(message.claimed_until_ms()) };
}

} // namespace Brassladder::RouteServing::Gateway
