// SPDX-License-Identifier: Apache-2.0
#include "Membership/Membership.h"

#include <algorithm>
#include <bit>

namespace Brassladder::Membership {

using namespace std::chrono_literals;

// The list may still call an upstream live for a while after the upstream itself said that it leaves; after this long
// the list is right, and the upstream has come back.
static constexpr Common::Duration leavingMemory = 30s;
static constexpr size_t fewestTargets = 8;

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

void Table::setInstances(std::vector<Platform::Instance> instances, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        m_instances = std::move(instances);
        std::erase_if(m_leavingUpstreams, [&](const auto& item) { return now - item.second > leavingMemory; });
        std::erase_if(m_routers, [&](const auto& item) {
            return std::none_of(m_instances.begin(), m_instances.end(),
                [&](const auto& instance) { return instance.id == item.first; });
        });
    }
    publish(now);
}

void Table::heard(const std::string& router, Common::Milliseconds age, TimePoint now)
{
    bool news = false;
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_routers[router];
        auto when = now - age;
        if (when <= state.heard)
            return;
        news = state.suspected || state.heard == TimePoint {} || now - state.heard > m_options.silence;
        state.heard = when;
        state.suspected = false;
    }
    if (news)
        publish(now);
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
        auto state = m_routers.find(instance.id);
        if (instance.id == m_options.self || state == m_routers.end() || instance.leaving)
            continue;
        bool fresh = now - state->second.heard <= m_options.silence;
        if (fresh && !state->second.suspected && !state->second.leaving)
            view.routers.push_back(instance.id);
    }
    // The last router goes on as its own home until its requests have ended.
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

std::vector<std::pair<std::string, Common::Milliseconds>> Table::sample(size_t count, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, Common::Milliseconds>> ages;
    if (m_routers.empty())
        return ages;
    size_t position = 0;
    size_t start = m_sampleStart % m_routers.size();
    m_sampleStart += count;
    for (const auto& [id, state] : m_routers) {
        bool inTurn = (position++ + m_routers.size() - start) % m_routers.size() < count;
        if (inTurn && !state.suspected && now - state.heard <= m_options.silence)
            ages.emplace_back(id, Common::toMilliseconds(now - state.heard));
    }
    return ages;
}

bool Table::isAlive(const std::string& router) const
{
    auto current = view();
    return std::binary_search(current->routers.begin(), current->routers.end(), router);
}

std::vector<std::string> heartbeatTargets(std::span<const std::string> sortedIds, std::string_view self)
{
    size_t others = sortedIds.size() - std::count(sortedIds.begin(), sortedIds.end(), self);
    size_t wanted
        = std::min(others, std::max(fewestTargets, 2 * static_cast<size_t>(std::bit_width(sortedIds.size()))));
    auto start = static_cast<size_t>(std::upper_bound(sortedIds.begin(), sortedIds.end(), self) - sortedIds.begin());
    std::vector<std::string> targets;
    for (size_t step = 0; targets.size() < wanted; ++step) {
        const auto& candidate = sortedIds[(start + step) % sortedIds.size()];
        if (candidate != self)
            targets.push_back(candidate);
    }
    return targets;
}

} // namespace Brassladder::Membership
