// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/PeriodicWork.h"

#include "ClassServing/Upstream/LoadProbe.h"
#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

#include <algorithm>

namespace Brassladder::ClassServing::Frontend {

using Common::Milliseconds;
using namespace std::chrono_literals;

// How often the scheduler handles expired waits, preemptions and grants.
static constexpr Milliseconds schedulerTickInterval = 5ms;
// How often membership checks for expired heartbeats. Must be well below the heartbeat timeout.
static constexpr Milliseconds membershipTickInterval = 100ms;
// How often the grant client checks which waiting requests are due to be resent to their home.
static constexpr Milliseconds resendInterval = 500ms;

static void runPeriodically(Common::FiberRuntime& runtime, Milliseconds interval, std::function<void()> work)
{
    runtime.spawn([interval, work = std::move(work)] {
        while (true) {
            work();
            Common::sleepFor(interval);
        }
    });
}

void PeriodicWork::start(Common::FiberRuntime& runtime)
{
    const auto& settings = m_parts.settings;
    runtime.spawn([this] { followConfiguration(); });
    runPeriodically(runtime, settings.listInterval, [this] { readInstances(); });
    runPeriodically(runtime, settings.heartbeatInterval, [this] { sendHeartbeats(); });
    runPeriodically(runtime, settings.loadInterval, [this] { readLoads(); });
    runPeriodically(runtime, schedulerTickInterval, [this] { m_parts.home.tick(); });
    runPeriodically(runtime, membershipTickInterval, [this] { m_parts.membership.tick(Common::now()); });
    runPeriodically(runtime, resendInterval, [this] { m_parts.grants.resendWaiting(); });
}

void PeriodicWork::followConfiguration()
{
    m_parts.config.readLoop([this] {
        std::vector<std::string> ids;
        for (const auto& peer : m_parts.membership.peers())
            ids.push_back(peer.id);
        return ids;
    });
}

void PeriodicWork::readInstances()
{
    auto instances = BackingServices::httpInstanceList(m_parts.settings.instanceList).read();
    static auto& s_failures = Common::Metrics::counter(
        "brassladder_instance_list_failures_total", "Reads of the instance list that failed");
    if (isError(instances)) {
        // The last list stays in use. The failure is logged at debug level only, since it is also counted.
        Common::log(
            Common::LogLevel::Debug, "membership", "list.unreadable", { { "error", errorOf(instances).message } });
        s_failures.Increment();
        return;
    }
    m_parts.membership.setInstances(std::move(valueOf(instances)), Common::now());
    m_parts.mesh.setPeers(m_parts.membership.peers());
}

void PeriodicWork::sendHeartbeats()
{
    const auto& self = m_parts.settings.id;
    std::vector<std::string> ids { self };
    for (const auto& peer : m_parts.membership.peers())
        ids.push_back(peer.id);
    std::sort(ids.begin(), ids.end());
    Inner::Wire::Item item;
    auto& heartbeat = *item.mutable_heartbeat();
    heartbeat.set_leaving(m_parts.isDraining());
    heartbeat.set_config_digest(m_parts.config.digest());
    for (const auto& upstream : m_parts.membership.leavingUpstreams())
        heartbeat.add_leaving_upstreams(upstream);
    for (const auto& [id, age] : m_parts.membership.suspicions(Common::now())) {
        auto& suspicion = *heartbeat.add_suspects();
        suspicion.set_id(id);
        suspicion.set_age_ms(static_cast<uint32_t>(age.count()));
    }
    auto targets = Membership::watchersOf(ids, self);
    auto randomTargets = Membership::randomHeartbeatTargets(ids, self, Common::randomNumber());
    targets.insert(targets.end(), randomTargets.begin(), randomTargets.end());
    for (const auto& target : targets)
        m_parts.mesh.send(target, item);
}

void PeriodicWork::readLoads()
{
    for (const auto& [shard, upstreams] : m_parts.home.ownShards()) {
        for (const auto& upstream : upstreams)
            Common::FiberRuntime::spawnOnCurrentThread([this, shard = shard, upstream] { readLoad(shard, upstream); });
    }
}

// A failed read changes nothing, since the scheduler relies on its own count of grants. It is logged at debug level
// only, because an unreachable engine fails at every load interval.
void PeriodicWork::readLoad(const Dispatch::ShardKey& shard, const Membership::Upstream& upstream)
{
    auto load = Upstream::readLoad(upstream.endpoint);
    if (isError(load)) {
        Common::log(Common::LogLevel::Debug, "router", "load.unreadable",
            { { "upstream", upstream.id }, { "error", errorOf(load).message } });
        return;
    }
    m_parts.home.report(shard, upstream.id, valueOf(load));
    if (valueOf(load).leaving)
        m_parts.membership.setUpstreamLeaving(upstream.id, Common::now());
}

} // namespace Brassladder::ClassServing::Frontend
