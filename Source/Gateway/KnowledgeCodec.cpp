// SPDX-License-Identifier: Apache-2.0
#include "Gateway/KnowledgeCodec.h"

#include <algorithm>
#include <limits>

namespace Brassladder::Gateway {

uint32_t ageForWire(Common::Milliseconds age)
{
    static constexpr int64_t most = std::numeric_limits<uint32_t>::max();
    return static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, most));
}

void writeLoads(const Routing::LoadsByUpstream& loads, LoadRows& rows)
{
    for (const auto& [upstream, load] : loads) {
        if (!load.requests)
            continue;
        auto& row = *rows.Add();
        row.set_upstream(upstream);
        row.set_requests(load.requests);
        row.set_writers(load.writers);
        row.set_unread_tokens(static_cast<uint32_t>(load.unreadTokens));
    }
}

Routing::LoadsByUpstream readLoads(const LoadRows& rows)
{
    Routing::LoadsByUpstream loads;
    for (const auto& row : rows)
        loads[row.upstream()] = { row.requests(), row.writers(), row.unread_tokens() };
    return loads;
}

void writeUpstream(const Routing::UpstreamRecord& record, Inner::Wire::UpstreamEntry& entry)
{
    entry.set_id(record.id);
    entry.set_service(record.service);
    entry.set_endpoint(record.endpoint.text());
    entry.set_failure_domain(record.failureDomain);
    entry.set_slots(record.slots);
    entry.set_leaving(record.leaving);
}

std::optional<std::vector<Routing::UpstreamRecord>> readUpstreams(const Inner::Wire::Knowledge& knowledge)
{
    if (!knowledge.has_upstreams())
        return std::nullopt;
    std::vector<Routing::UpstreamRecord> records;
    for (const auto& entry : knowledge.upstreams()) {
        auto endpoint = Common::parseEndpoint(entry.endpoint());
        if (isError(endpoint))
            continue;
        records.push_back(
            { entry.id(), entry.service(), valueOf(endpoint), entry.failure_domain(), entry.slots(), entry.leaving() });
    }
    return records;
}

} // namespace Brassladder::Gateway
