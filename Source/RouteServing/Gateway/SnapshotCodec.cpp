// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SnapshotCodec.h"

#include "Common/Compression.h"
#include "Common/Log.h"
#include "Inner/FrameCodec.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Gateway {

static constexpr uint32_t maxEncodedAgeMs = std::numeric_limits<uint32_t>::max();

uint32_t encodeAge(Common::Milliseconds age)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, maxEncodedAgeMs));
}

Common::TimePoint decodeAge(uint32_t ageMs, Common::TimePoint now)
{
    return ageMs == maxEncodedAgeMs ? Common::TimePoint::min() : now - Common::Milliseconds(ageMs);
}

uint32_t encodeEventTime(Common::TimePoint at, Common::TimePoint now)
{
    if (at == Common::TimePoint::min())
        return 0;
    return 1 + std::min(encodeAge(Common::toMilliseconds(now - at)), maxEncodedAgeMs - 1);
}

Common::TimePoint decodeEventTime(uint32_t age, Common::TimePoint now)
{
    return age ? now - Common::Milliseconds(age - 1) : Common::TimePoint::min();
}

// Returns the average rate of one prefill token, in tokens per second of objective, over the rows that state rates.
// Returns 0 if none do.
static double averageRatePerToken(const Routing::LoadsByUpstream& loads)
{
    double rate = 0;
    double tokens = 0;
    for (const auto& [upstream, load] : loads) {
        rate += static_cast<double>(load.prefillRate);
        tokens += static_cast<double>(load.prefillTokens - std::min(load.prefillTokens, load.unratedPrefillTokens));
    }
    return tokens > 0 ? rate / tokens : 0;
}

static uint32_t encodePrefillRate(const Routing::UpstreamLoad& load, double ratePerUnratedToken)
{
    auto rate
        = static_cast<double>(load.prefillRate) + ratePerUnratedToken * static_cast<double>(load.unratedPrefillTokens);
    return static_cast<uint32_t>(std::min(rate, static_cast<double>(std::numeric_limits<uint32_t>::max())));
}

void encodeLoads(const Routing::LoadsByUpstream& loads, Inner::Wire::LoadTable& table)
{
    // The table has no column for unrated tokens, so a sum that contains some states their rate as estimated from the
    // rated ones. If all tokens are unrated, the column stays empty, and the receiver treats them as unrated too.
    auto ratePerToken = averageRatePerToken(loads);
    auto hasAny = [&](uint64_t Routing::UpstreamLoad::*figure) {
        return std::any_of(loads.begin(), loads.end(), [&](const auto& row) { return row.second.*figure > 0; });
    };
    bool isUnrated
        = hasAny(&Routing::UpstreamLoad::unratedPrefillTokens) && !hasAny(&Routing::UpstreamLoad::prefillRate);
    bool anyWaits = std::any_of(loads.begin(), loads.end(), [](const auto& row) { return row.second.waiting > 0; });
    for (const auto& [upstream, load] : loads) {
        if (!load.requests)
            continue;
        if (anyWaits)
            table.add_waiting(load.waiting);
        table.add_upstreams(upstream);
        table.add_requests(load.requests);
        table.add_writers(load.decodeHeavy);
        table.add_unread_tokens(static_cast<uint32_t>(load.prefillTokens));
        if (!isUnrated)
            table.add_unread_rates(encodePrefillRate(load, ratePerToken));
    }
}

Routing::LoadsByUpstream decodeLoads(const Inner::Wire::LoadTable& table)
{
    auto rows = table.upstreams_size();
    bool hasRates = table.unread_rates_size() > 0;
    bool hasWaiting = table.waiting_size() > 0;
    if (table.requests_size() != rows || table.writers_size() != rows || table.unread_tokens_size() != rows
        || (hasRates && table.unread_rates_size() != rows) || (hasWaiting && table.waiting_size() != rows)) {
        Common::log(Common::LogLevel::Warning, "gateway", "loads.unreadable", { { "rows", rows } });
        return {};
    }
    Routing::LoadsByUpstream loads;
    for (int row = 0; row < rows; ++row) {
        Routing::UpstreamLoad load { table.requests(row), table.writers(row), table.unread_tokens(row) };
        (hasRates ? load.prefillRate : load.unratedPrefillTokens)
            = hasRates ? table.unread_rates(row) : table.unread_tokens(row);
        load.waiting = hasWaiting ? table.waiting(row) : 0;
        loads[table.upstreams(row)] = load;
    }
    return loads;
}

// Encodes the remaining time plus one. Zero stands for a warm upstream.
static uint32_t encodeColdTime(const Routing::UpstreamRecord& record, Common::TimePoint now)
{
    if (!record.isListedAsCold())
        return 0;
    return 1 + std::min(encodeAge(Common::toMilliseconds(record.coldUntil - now)), maxEncodedAgeMs - 1);
}

void encodeUpstream(const Routing::UpstreamRecord& record, Common::TimePoint now, Inner::Wire::UpstreamEntry& entry)
{
    entry.set_id(record.id);
    entry.set_service(record.service);
    entry.set_endpoint(record.endpoint.text());
    entry.set_failure_domain(record.failureDomain);
    entry.set_slots(record.slots);
    entry.set_leaving(record.leaving);
    entry.set_born(record.born);
    entry.set_spot(record.spot);
    entry.set_evacuated(record.evacuated);
    entry.set_cold_ms(encodeColdTime(record, now));
    entry.set_software_version(record.softwareVersion);
}

static Inner::Wire::UpstreamTable encodeUpstreams(
    std::span<const Routing::UpstreamRecord> records, Common::TimePoint now)
{
    Inner::Wire::UpstreamTable table;
    for (const auto& record : records)
        encodeUpstream(record, now, *table.add_upstreams());
    return table;
}

std::string packUpstreams(std::span<const Routing::UpstreamRecord> records, Common::TimePoint now)
{
    return Common::deflate(encodeUpstreams(records, now).SerializeAsString());
}

std::string packUpstreamChanges(const Routing::UpstreamListChanges& changes, Common::TimePoint now)
{
    auto table = encodeUpstreams(changes.changed, now);
    table.mutable_removed()->Assign(changes.removed.begin(), changes.removed.end());
    return Common::deflate(table.SerializeAsString());
}

static std::optional<Inner::Wire::UpstreamTable> unpackUpstreams(std::string_view packed)
{
    auto bytes = Common::inflate(packed, Inner::maxFrameBytes);
    Inner::Wire::UpstreamTable table;
    if (!isError(bytes) && table.ParseFromString(valueOf(bytes)))
        return table;
    Common::log(Common::LogLevel::Warning, "gateway", "upstreams.unreadable", { { "bytes", packed.size() } });
    return std::nullopt;
}

static std::optional<Routing::UpstreamRecord> decodeUpstream(
    const Inner::Wire::UpstreamEntry& entry, Common::TimePoint now)
{
    auto endpoint = Common::parseEndpoint(entry.endpoint());
    if (isError(endpoint)) {
        Common::log(Common::LogLevel::Warning, "gateway", "upstream.bad_address",
            { { "upstream", entry.id() }, { "error", errorOf(endpoint).message } });
        return std::nullopt;
    }
    Routing::UpstreamRecord record { entry.id(), entry.service(), valueOf(endpoint), entry.failure_domain(),
        entry.slots(), entry.leaving(), entry.born(), entry.spot(), entry.evacuated(), {}, entry.software_version() };
    if (entry.cold_ms())
        record.coldUntil = now + Common::Milliseconds(entry.cold_ms() - 1);
    return record;
}

static std::vector<Routing::UpstreamRecord> decodeUpstreamEntries(
    const google::protobuf::RepeatedPtrField<Inner::Wire::UpstreamEntry>& entries, Common::TimePoint now)
{
    std::vector<Routing::UpstreamRecord> records;
    for (const auto& entry : entries) {
        if (auto record = decodeUpstream(entry, now))
            records.push_back(std::move(*record));
    }
    return records;
}

std::optional<std::vector<Routing::UpstreamRecord>> decodeUpstreams(
    const Inner::Wire::Knowledge& snapshot, Common::TimePoint now)
{
    if (!snapshot.has_upstreams())
        return std::nullopt;
    std::optional<Inner::Wire::UpstreamTable> unpacked;
    if (!snapshot.packed_upstreams().empty()) {
        unpacked = unpackUpstreams(snapshot.packed_upstreams());
        if (!unpacked)
            return std::nullopt;
    }
    return decodeUpstreamEntries(unpacked ? unpacked->upstreams() : snapshot.upstreams(), now);
}

std::optional<Routing::UpstreamListChanges> decodeUpstreamChanges(
    const Inner::Wire::Knowledge& snapshot, Common::TimePoint now)
{
    if (snapshot.packed_upstream_changes().empty())
        return std::nullopt;
    auto table = unpackUpstreams(snapshot.packed_upstream_changes());
    if (!table)
        return std::nullopt;
    Routing::UpstreamListChanges changes;
    changes.changed = decodeUpstreamEntries(table->upstreams(), now);
    changes.removed.assign(table->removed().begin(), table->removed().end());
    return changes;
}

std::string encodeRoster(std::span<const Routing::RosterEntry> entries)
{
    Inner::Wire::RosterTable table;
    for (const auto& entry : entries) {
        table.add_ids(entry.id);
        table.add_endpoints(entry.endpoint.text());
        table.add_versions(entry.version);
        table.add_capacities(entry.capacity);
    }
    return Common::deflate(table.SerializeAsString());
}

static std::optional<Inner::Wire::RosterTable> unpackRoster(std::string_view packed)
{
    auto bytes = Common::inflate(packed, Inner::maxFrameBytes);
    Inner::Wire::RosterTable table;
    if (isError(bytes) || !table.ParseFromString(valueOf(bytes)))
        return std::nullopt;
    bool isComplete = table.endpoints_size() == table.ids_size() && table.versions_size() == table.ids_size();
    return isComplete ? std::optional(std::move(table)) : std::nullopt;
}

std::vector<Routing::RosterEntry> decodeRoster(std::string_view packed)
{
    std::vector<Routing::RosterEntry> entries;
    if (packed.empty())
        return entries;
    auto table = unpackRoster(packed);
    if (!table) {
        Common::log(Common::LogLevel::Warning, "gateway", "roster.unreadable", { { "bytes", packed.size() } });
        return entries;
    }
    for (int row = 0; row < table->ids_size(); ++row) {
        auto endpoint = Common::parseEndpoint(table->endpoints(row));
        if (isError(endpoint))
            Common::log(Common::LogLevel::Warning, "gateway", "peer.bad_address",
                { { "peer", table->ids(row) }, { "address", table->endpoints(row) },
                    { "error", errorOf(endpoint).message } });
        else
            entries.push_back({ table->ids(row), valueOf(endpoint), table->versions(row),
                row < table->capacities_size() ? table->capacities(row) : 0 });
    }
    return entries;
}

Common::Result<std::string> decodeConfiguration(const Inner::Wire::Knowledge& snapshot)
{
    if (snapshot.packed_configuration().empty())
        return snapshot.configuration();
    // The decompressed text has the same limit as a plain one, which must fit into a frame.
    return Common::inflate(snapshot.packed_configuration(), Inner::maxFrameBytes);
}

} // namespace Brassladder::RouteServing::Gateway
