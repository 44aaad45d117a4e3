// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/FragileUpstreams.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// For this long after the last statement of an upstream, new upstreams of its service are taken for fragile. Longer
// than all upstreams of a service need to come back after they failed together.
static constexpr Common::Milliseconds serviceMemory = 60s;
// A statement without new information for this long is removed.
static constexpr Common::Milliseconds statementMemory = 10min;

StatementChange FragileUpstreams::update(
    uint32_t key, const StatedRate& learned, const std::function<std::string()>& service, Common::TimePoint now)
{
    auto& entry = m_entries[key];
    m_isActive = true;
    auto change = entry.rate.merge(learned);
    if (change == StatementChange::Stated)
        entry.knownSince = now;
    if (!learned.wasStated())
        return change;
    if (entry.service.empty())
        entry.service = service();
    if (!entry.service.empty()) {
        auto& stated = m_services.try_emplace(entry.service, learned.statedAt).first->second;
        stated = std::max(stated, learned.statedAt);
    }
    return change;
}

StatementChange FragileUpstreams::recordStatement(const UpstreamRecord& upstream, const RateStatement& statement,
    Common::TimePoint requestSent, Common::TimePoint now)
{
    if (!statement.perSecond && !isActive())
        return StatementChange::None;
    std::lock_guard lock(m_mutex);
    return update(
        statementKey(upstream), StatedRate::fromResponse(statement, requestSent, now), [&] { return upstream.service; },
        now);
}

void FragileUpstreams::merge(uint32_t key, const StatedRate& rate,
    const std::function<std::string(uint32_t key)>& serviceOf, Common::TimePoint now)
{
    if (!rate.wasStated())
        return;
    std::lock_guard lock(m_mutex);
    update(
        key, rate, [&] { return serviceOf(key); }, now);
}

bool FragileUpstreams::isFragile(const UpstreamRecord& upstream, Common::TimePoint now) const
{
    if (!isActive())
        return false;
    std::lock_guard lock(m_mutex);
    if (auto found = m_entries.find(statementKey(upstream)); found != m_entries.end())
        return found->second.rate.isInForce();
    auto service = m_services.find(upstream.service);
    return service != m_services.end() && now - service->second < serviceMemory;
}

std::optional<Common::TimePoint> FragileUpstreams::knownSince(uint32_t key) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    if (found == m_entries.end() || !found->second.rate.isInForce())
        return std::nullopt;
    return found->second.knownSince;
}

std::vector<FragileUpstreams::KnownStatement> FragileUpstreams::known() const
{
    std::vector<KnownStatement> known;
    if (!isActive())
        return known;
    std::lock_guard lock(m_mutex);
    for (const auto& [key, entry] : m_entries) {
        if (entry.rate.wasStated())
            known.push_back({ key, entry.rate });
    }
    return known;
}

size_t FragileUpstreams::countInForce() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto& each) { return each.second.rate.isInForce(); }));
}

void FragileUpstreams::evictExpired(Common::TimePoint now)
{
    if (!isActive())
        return;
    std::lock_guard lock(m_mutex);
    std::erase_if(m_entries, [&](const auto& each) { return each.second.rate.learned() + statementMemory < now; });
    std::erase_if(m_services, [&](const auto& each) { return each.second + serviceMemory < now; });
    bool isAnyNeeded = !m_services.empty() || std::any_of(m_entries.begin(), m_entries.end(), [](const auto& each) {
        return each.second.rate.isInForce();
    });
    if (isAnyNeeded)
        return;
    m_entries.clear();
    m_isActive = false;
}

} // namespace Brassladder::RouteServing::Routing
