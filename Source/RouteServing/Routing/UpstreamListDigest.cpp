// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamListDigest.h"

#include "Common/Digest.h"

#include <algorithm>
#include <set>

namespace Brassladder::RouteServing::Routing {

// Peers that lack more changes than these receive the complete list, which is hardly larger.
static constexpr size_t maxRememberedIds = 2048;

// The remaining time of a cold upstream is not hashed, because routers measure it for themselves.
static uint64_t hashOf(const UpstreamRecord& record)
{
    uint64_t flags = (record.leaving ? 1 : 0) + (record.evacuated ? 2 : 0) + (record.isListedAsCold() ? 4 : 0);
    return Common::stableHash(record.id + '\n' + record.endpoint.text() + '\n' + std::to_string(record.born), flags);
}

bool UpstreamListDigest::set(const UpstreamRecord& record)
{
    auto hash = hashOf(record);
    auto [entry, isNew] = m_hashes.try_emplace(record.id, hash);
    if (!isNew && entry->second == hash)
        return false;
    m_sum += isNew ? hash : hash - entry->second;
    entry->second = hash;
    return true;
}

bool UpstreamListDigest::remove(std::string_view id)
{
    auto found = m_hashes.find(id);
    if (found == m_hashes.end())
        return false;
    m_sum -= found->second;
    m_hashes.erase(found);
    return true;
}

void UpstreamChangeLog::record(uint64_t digestBefore, std::vector<std::string> ids)
{
    m_ids += ids.size();
    m_changes.push_back({ digestBefore, std::move(ids) });
    while (m_ids > maxRememberedIds) {
        m_ids -= m_changes.front().ids.size();
        m_changes.pop_front();
    }
}

std::optional<std::vector<std::string>> UpstreamChangeLog::changedSince(uint64_t digest) const
{
    auto from = std::find_if(
        m_changes.begin(), m_changes.end(), [&](const auto& change) { return change.digestBefore == digest; });
    if (from == m_changes.end())
        return std::nullopt;
    std::set<std::string> ids;
    for (; from != m_changes.end(); ++from)
        ids.insert(from->ids.begin(), from->ids.end());
    return std::vector<std::string>(ids.begin(), ids.end());
}

} // namespace Brassladder::RouteServing::Routing
