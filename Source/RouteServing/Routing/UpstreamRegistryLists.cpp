// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <algorithm>

// The part of the registry that applies the platform's lists and describes its own list to other routers.
namespace Brassladder::RouteServing::Routing {

// Returns the new entry for a record whose id is already known.
UpstreamRegistry::Entry UpstreamRegistry::updatedEntry(const Entry& known, UpstreamRecord record)
{
    // The record is a delayed write of an earlier incarnation.
    if (record.born < known.record.born)
        return known;
    Entry entry;
    if (record.born == known.record.born) {
        entry = known;
        record.leaving |= known.record.leaving;
        // Earlier routers pass lists on without the versions.
        if (record.softwareVersion.empty())
            record.softwareVersion = known.record.softwareVersion;
    }
    entry.record = std::move(record);
    entry.hash = known.hash;
    entry.statementKey = statementKey(entry.record);
    return entry;
}

bool UpstreamRegistry::setEntry(UpstreamRecord record)
{
    m_received.set(record);
    auto id = record.id;
    auto known = m_entries.find(id);
    if (known != m_entries.end() && known->second.record == record)
        return false;
    if (known == m_entries.end()) {
        if (m_departed.isObsolete(record))
            return false;
        known = m_entries.try_emplace(id).first;
        known->second.hash = shortHash(id);
        known->second.statementKey = statementKey(record);
        known->second.record = std::move(record);
    } else {
        known->second = updatedEntry(known->second, std::move(record));
    }
    limitColdUpstream(known->second);
    m_paces.setEngine(known->second.hash, known->second.record);
    return m_digest.set(known->second.record);
}

bool UpstreamRegistry::removeEntry(const std::string& id)
{
    m_received.remove(id);
    auto known = m_entries.find(id);
    if (known == m_entries.end())
        return false;
    m_departed.record(known->second.record);
    m_paces.removeEngine(known->second.hash);
    m_entries.erase(known);
    return m_digest.remove(id);
}

UpstreamRegistry::ServingState UpstreamRegistry::servingState(const std::string& id) const
{
    auto found = m_entries.find(id);
    if (found == m_entries.end())
        return {};
    return { true, found->second.record.leaving, found->second.record.born };
}

std::optional<UpstreamDeparture> UpstreamRegistry::departureSince(
    const ServingState& before, const std::string& id) const
{
    using Kind = UpstreamDeparture::Kind;
    auto now = servingState(id);
    bool wasServing = before.isListed && !before.isLeaving;
    if (now.isLeaving && !before.isLeaving)
        return UpstreamDeparture { Kind::Leaving, { id, now.born } };
    if (wasServing && !now.isListed)
        return UpstreamDeparture { Kind::Gone, { id, before.born } };
    UpstreamIncarnation incarnation { id, now.born };
    if (!before.isListed && now.isListed && m_departed.contains(incarnation))
        return UpstreamDeparture { Kind::Returned, incarnation };
    return std::nullopt;
}

// The caller must hold the lock.
std::vector<UpstreamDeparture> UpstreamRegistry::apply(UpstreamListChanges changes)
{
    auto before = m_digest.value();
    std::vector<std::string> changedIds;
    std::vector<UpstreamDeparture> departures;
    auto recordChange = [&](const ServingState& state, std::string id) {
        if (auto departure = departureSince(state, id))
            departures.push_back(std::move(*departure));
        changedIds.push_back(std::move(id));
    };
    for (const auto& id : changes.removed) {
        auto state = servingState(id);
        if (removeEntry(id))
            recordChange(state, id);
    }
    for (auto& record : changes.changed) {
        auto id = record.id;
        auto state = servingState(id);
        if (setEntry(std::move(record)))
            recordChange(state, std::move(id));
    }
    if (!changedIds.empty())
        m_changes.record(before, std::move(changedIds));
    return departures;
}

std::vector<UpstreamDeparture> UpstreamRegistry::setUpstreams(std::vector<UpstreamRecord> records)
{
    std::set<std::string_view> listed;
    for (const auto& record : records)
        listed.insert(record.id);
    std::lock_guard lock(m_mutex);
    UpstreamListChanges changes;
    for (const auto& [id, hash] : m_received.entries()) {
        if (!listed.contains(id))
            changes.removed.push_back(id);
    }
    changes.changed = std::move(records);
    return apply(std::move(changes));
}

std::vector<UpstreamDeparture> UpstreamRegistry::applyChanges(UpstreamListChanges changes)
{
    std::lock_guard lock(m_mutex);
    return apply(std::move(changes));
}

// Cold upstreams

void UpstreamRegistry::setColdRates(std::map<std::string, double, std::less<>> requestsPerSecond)
{
    std::lock_guard lock(m_mutex);
    m_coldRates = std::move(requestsPerSecond);
    for (const auto& [id, entry] : m_entries)
        limitColdUpstream(entry);
}

void UpstreamRegistry::limitColdUpstream(const Entry& entry)
{
    auto rate = m_coldRates.find(entry.record.service);
    if (rate != m_coldRates.end() && entry.record.isListedAsCold())
        m_quotas.setColdPeriod(entry.statementKey, rate->second, entry.record.coldUntil);
    else
        m_quotas.endColdPeriod(entry.statementKey);
}

bool UpstreamRegistry::listsVersion(std::string_view service, std::string_view softwareVersion) const
{
    std::lock_guard lock(m_mutex);
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        const auto& record = each.second.record;
        return record.service == service && record.softwareVersion == softwareVersion;
    });
}

// The list for other routers

std::vector<UpstreamRecord> UpstreamRegistry::upstreams() const
{
    std::lock_guard lock(m_mutex);
    std::vector<UpstreamRecord> records;
    for (const auto& [id, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::set<std::string, std::less<>> UpstreamRegistry::evacuatedDomains() const
{
    std::lock_guard lock(m_mutex);
    std::set<std::string, std::less<>> domains;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.evacuated)
            domains.insert(entry.record.failureDomain);
    }
    return domains;
}

uint64_t UpstreamRegistry::digest() const
{
    std::lock_guard lock(m_mutex);
    return m_digest.value();
}

uint64_t UpstreamRegistry::receivedDigest() const
{
    std::lock_guard lock(m_mutex);
    return m_received.value();
}

std::optional<UpstreamListChanges> UpstreamRegistry::changesSince(uint64_t digest) const
{
    std::lock_guard lock(m_mutex);
    auto ids = m_changes.changedSince(digest);
    if (!ids)
        return std::nullopt;
    UpstreamListChanges changes;
    for (auto& id : *ids) {
        auto entry = m_entries.find(id);
        if (entry == m_entries.end())
            changes.removed.push_back(std::move(id));
        else
            changes.changed.push_back(entry->second.record);
    }
    return changes;
}

} // namespace Brassladder::RouteServing::Routing
