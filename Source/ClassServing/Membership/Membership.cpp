// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Membership/Membership.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Brassladder::ClassServing::Membership {

using namespace std::chrono_literals;

// How long an upstream's report that it is leaving overrides the instance list, which lags. If the list still shows the
// upstream as live afterwards, the upstream has returned.
static constexpr Common::Duration leavingRetention = 30s;
// A suspicion that is not renewed expires after this time. Must exceed the time that a suspicion takes to reach all
// routers.
static constexpr Common::Duration suspicionLifetime = 8s;
static constexpr size_t randomTargetCount = 3;

const Upstream* View::upstream(std::string_view pool, std::string_view id) const
{
    auto found = pools.find(pool);
    if (found == pools.end())
        return nullptr;
    for (const auto& upstream : found->second) {
        if (upstream.id == id)
            return &upstream;
    }
    return nullptr;
}

Table::Table(Options options)
    : m_options(std::move(options))
    , m_view(std::make_shared<View>())
{
}

void Table::setInstances(std::vector<BackingServices::Instance> instances, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        m_instances = std::move(instances);
        std::erase_if(m_leavingUpstreams, [&](const auto& item) { return now - item.second > leavingRetention; });
        std::erase_if(m_routers, [&](const auto& item) {
            return std::none_of(m_instances.begin(), m_instances.end(),
                [&](const auto& instance) { return instance.id == item.first; });
        });
        updateWatchedRouters();
    }
    publish(now);
}

void Table::updateWatchedRouters()
{
    std::vector<std::string> ids { m_options.self };
    for (const auto& instance : m_instances) {
        if (instance.isRouter() && instance.id != m_options.self)
            ids.push_back(instance.id);
    }
    std::sort(ids.begin(), ids.end());
    size_t watched = std::min(ids.size() - 1, fullMeshRouters - 1);
    auto self = static_cast<size_t>(std::lower_bound(ids.begin(), ids.end(), m_options.self) - ids.begin());
    for (auto& [id, state] : m_routers)
        state.watched = false;
    // This router watches its predecessors on the ring.
    for (size_t step = 1; step <= watched; ++step)
        m_routers[ids[(self + ids.size() - step) % ids.size()]].watched = true;
    for (const auto& id : ids) {
        if (id != m_options.self)
            m_routers.try_emplace(id);
    }
}

void Table::recordMessage(const std::string& router, TimePoint now)
{
    bool wasDown = false;
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_routers[router];
        wasDown = state.suspected || isUnresponsive(state, now);
        state.lastMessageAt = std::max(state.lastMessageAt, now);
        state.suspected = false;
    }
    if (wasDown)
        publish(now);
}

void Table::recordSuspicion(const std::string& router, Common::Milliseconds age, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_routers[router];
        state.lastSuspicionAt = std::max(state.lastSuspicionAt, now - age);
        if (!isUnresponsive(state, now))
            return;
    }
    publish(now);
}

// A watched router is unresponsive after the heartbeat timeout. Any other router is unresponsive if an unexpired
// suspicion was reported after its own last message.
bool Table::isUnresponsive(const RouterState& state, TimePoint now) const
{
    if (state.watched)
        return now - state.lastMessageAt > m_options.heartbeatTimeout;
    return state.lastSuspicionAt > state.lastMessageAt && now - state.lastSuspicionAt <= suspicionLifetime;
}

void Table::suspect(const std::string& router, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_routers[router];
        if (std::exchange(state.suspected, true))
            return;
    }
    publish(now);
}

void Table::setRouterLeaving(const std::string& router, bool leaving, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        if (std::exchange(m_routers[router].leaving, leaving) == leaving)
            return;
    }
    publish(now);
}

void Table::setUpstreamLeaving(const std::string& upstream, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_leavingUpstreams.emplace(upstream, now).second)
            return;
    }
    publish(now);
}

void Table::setSelfLeaving(TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        m_selfLeaving = true;
    }
    publish(now);
}

void Table::tick(TimePoint now) { publish(now); }

View Table::build(TimePoint now) const
{
    View view;
    if (!m_selfLeaving)
        view.routers.push_back(m_options.self);
    for (const auto& instance : m_instances) {
        if (!instance.isRouter()) {
            bool leaving = instance.leaving || m_leavingUpstreams.contains(instance.id);
            view.pools[instance.role].push_back({ instance.id, instance.endpoint, instance.failureDomain, leaving });
            continue;
        }
        auto found = m_routers.find(instance.id);
        if (instance.id == m_options.self || found == m_routers.end() || instance.leaving)
            continue;
        const auto& state = found->second;
        if (!isUnresponsive(state, now) && !state.suspected && !state.leaving)
            view.routers.push_back(instance.id);
    }
    // The last router remains its own home until its requests have ended.
    if (view.routers.empty())
        view.routers.push_back(m_options.self);
    std::sort(view.routers.begin(), view.routers.end());
    for (auto& [pool, upstreams] : view.pools)
        std::sort(
            upstreams.begin(), upstreams.end(), [](const auto& left, const auto& right) { return left.id < right.id; });
    return view;
}

void Table::publish(TimePoint now)
{
    std::lock_guard publishing(m_publishMutex);
    auto next = std::make_shared<View>();
    {
        std::lock_guard lock(m_mutex);
        *next = build(now);
    }
    if (*next == *m_view.load())
        return;
    m_view.store(next);
    if (m_onChange)
        m_onChange(*next);
}

std::vector<Inner::Peer> Table::peers() const
{
    std::lock_guard lock(m_mutex);
    std::vector<Inner::Peer> peers;
    for (const auto& instance : m_instances) {
        if (instance.isRouter() && instance.id != m_options.self && instance.inner.port)
            peers.push_back({ instance.id, instance.inner });
    }
    return peers;
}

std::vector<std::string> Table::leavingUpstreams() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (const auto& [id, since] : m_leavingUpstreams)
        ids.push_back(id);
    return ids;
}

std::vector<std::pair<std::string, Common::Milliseconds>> Table::suspicions(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, Common::Milliseconds>> reported;
    for (const auto& [id, state] : m_routers) {
        if (isUnresponsive(state, now))
            reported.emplace_back(
                id, state.watched ? Common::Milliseconds(0) : Common::toMilliseconds(now - state.lastSuspicionAt));
    }
    return reported;
}

bool Table::isAlive(const std::string& router) const
{
    auto current = view();
    return std::binary_search(current->routers.begin(), current->routers.end(), router);
}

std::vector<std::string> watchersOf(std::span<const std::string> sortedIds, std::string_view self)
{
    size_t others = sortedIds.size() - std::count(sortedIds.begin(), sortedIds.end(), self);
    size_t wanted = std::min(others, fullMeshRouters - 1);
    auto start = static_cast<size_t>(std::upper_bound(sortedIds.begin(), sortedIds.end(), self) - sortedIds.begin());
    std::vector<std::string> watchers;
    for (size_t step = 0; watchers.size() < wanted; ++step) {
        const auto& candidate = sortedIds[(start + step) % sortedIds.size()];
        if (candidate != self)
            watchers.push_back(candidate);
    }
    return watchers;
}

std::vector<std::string> randomHeartbeatTargets(
    std::span<const std::string> sortedIds, std::string_view self, uint64_t randomValue)
{
    std::vector<std::string> targets;
    if (sortedIds.size() <= fullMeshRouters)
        return targets;
    for (size_t index = 0; index < randomTargetCount; ++index) {
        const auto& candidate = sortedIds[Common::stableHash(self, randomValue + index) % sortedIds.size()];
        if (candidate != self)
            targets.push_back(candidate);
    }
    return targets;
}

} // namespace Brassladder::ClassServing::Membership
