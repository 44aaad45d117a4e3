// SPDX-License-Identifier: Apache-2.0
#include "Gateway/Follower.h"

#include "Common/FiberRuntime.h"
#include "Common/Log.h"

namespace Brassladder::Gateway {

using Common::LogLevel;

Follower::Follower(Sources sources, Pace pace, Routing::FreshnessLease& lease, Routing::UpstreamBoard& board)
    : m_sources(std::move(sources))
    , m_pace(pace)
    , m_lease(lease)
    , m_board(board)
{
}

void Follower::Dependency::noteFailure(const Common::Error& error)
{
    if (!lost)
        Common::log(LogLevel::Warning, "gateway", "dependency.lost", { { "what", name }, { "error", error.message } });
    lost = true;
}

void Follower::Dependency::noteSuccess()
{
    if (lost)
        Common::log(LogLevel::Info, "gateway", "dependency.regained", { { "what", name } });
    lost = false;
}

void Follower::followConfiguration()
{
    Dependency dependency { "configuration" };
    while (true) {
        auto started = Common::now();
        auto reading = m_sources.configuration.read(m_pace.configurationWait);
        if (isError(reading)) {
            dependency.noteFailure(errorOf(reading));
            Common::sleepFor(m_pace.retryPause);
            continue;
        }
        dependency.noteSuccess();
        if (valueOf(reading))
            adopt(valueOf(reading));
        // Only after the new version is in force: the lease stands for the table that requests see.
        m_lease.confirm(started);
    }
}

void Follower::adopt(const std::shared_ptr<const Routing::RouteTable>& next)
{
    auto current = m_table.load();
    if (current && next->version() <= current->version())
        return;
    m_table.store(next);
    Common::log(LogLevel::Info, "gateway", "configuration.adopted",
        { { "version", next->version() }, { "routes", next->routeCount() },
            { "before", current ? current->version() : 0 } });
}

void Follower::followUpstreams()
{
    Dependency dependency { "upstreams" };
    while (true) {
        auto started = Common::now();
        auto reading = m_sources.upstreams.read();
        if (isError(reading)) {
            dependency.noteFailure(errorOf(reading));
            Common::sleepFor(m_pace.retryPause);
            continue;
        }
        dependency.noteSuccess();
        if (auto& list = valueOf(reading)) {
            m_board.setUpstreams(std::move(*list));
            m_knowsUpstreams = true;
        }
        auto rest = m_pace.upstreamInterval - (Common::now() - started);
        if (rest.count() > 0)
            Common::sleepFor(rest);
    }
}

} // namespace Brassladder::Gateway
