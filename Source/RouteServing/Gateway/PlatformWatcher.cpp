// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PlatformWatcher.h"

#include "Common/FiberRuntime.h"
#include "Common/Log.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;
using Common::Milliseconds;
using namespace std::chrono_literals;

// How often a router that is told looks whether word is late.
static constexpr Milliseconds pollInterval = 100ms;

PlatformWatcher::PlatformWatcher(
    PlatformSources sources, RefreshIntervals pace, Routing::FreshnessLease& lease, Routing::UpstreamRegistry& registry)
    : m_sources(std::move(sources))
    , m_pace(pace)
    , m_lease(lease)
    , m_registry(registry)
{
}

void PlatformWatcher::Dependency::recordFailure(const Common::Error& error)
{
    if (!failures++)
        Common::log(LogLevel::Warning, "gateway", "dependency.lost", { { "what", name }, { "error", error.message } });
}

void PlatformWatcher::Dependency::recordSuccess()
{
    if (failures)
        Common::log(LogLevel::Info, "gateway", "dependency.regained", { { "what", name } });
    failures = 0;
}

// A store that is down is not asked by all routers many times a second.
void PlatformWatcher::backOff(const Dependency& dependency) const
{
    auto pause = m_pace.initialBackoff;
    for (unsigned failure = 1; failure < dependency.failures && pause < m_pace.maxBackoff; ++failure)
        pause *= 2;
    Common::sleepFor(std::min(pause, m_pace.maxBackoff));
}

bool PlatformWatcher::isFresh(Milliseconds age, Milliseconds late) const { return !m_readsStore() && age < late; }

void PlatformWatcher::watchConfiguration()
{
    Dependency dependency { "configuration" };
    while (true) {
        auto started = Common::now();
        if (isFresh(m_lease.age(started), m_pace.configurationStaleAfter)) {
            Common::sleepFor(pollInterval);
            continue;
        }
        // One that is only late for once asks for no more than a confirmation.
        auto reading = m_sources.configuration.read(m_readsStore() ? m_pace.configurationLongPoll : 0ms);
        if (isError(reading)) {
            dependency.recordFailure(errorOf(reading));
            backOff(dependency);
            continue;
        }
        dependency.recordSuccess();
        // The lease stands for the table that requests see: confirmed only after the new version is in force.
        if (valueOf(reading))
            adopt(valueOf(reading), "store");
        m_lease.confirm(started);
    }
}

void PlatformWatcher::adopt(const ConfigurationPtr& next, std::string_view from)
{
    ConfigurationPtr current;
    {
        std::lock_guard lock(m_mutex);
        current = m_configuration.load();
        if (current && next->table.version() <= current->table.version())
            return;
        m_configuration.store(next);
    }
    Common::log(LogLevel::Info, "gateway", "configuration.adopted",
        { { "version", next->table.version() }, { "routes", next->table.routeCount() }, { "from", from },
            { "before", current ? current->table.version() : 0 } });
    m_onChange();
}

void PlatformWatcher::updateConfigurationFromPeer(uint64_t version, std::string_view text, Common::TimePoint confirmed)
{
    if (!text.empty()) {
        auto next = m_sources.configuration.parse(text);
        if (!next)
            return Common::log(LogLevel::Warning, "gateway", "configuration.unreadable", { { "version", version } });
        adopt(next, "peer");
    }
    auto current = m_configuration.load();
    if (current && current->table.version() >= version)
        m_lease.confirm(confirmed);
}

void PlatformWatcher::watchUpstreams()
{
    Dependency dependency { "upstreams" };
    while (true) {
        auto started = Common::now();
        if (isFresh(upstreamsAge(started), m_pace.upstreamsStaleAfter)) {
            Common::sleepFor(pollInterval);
            continue;
        }
        auto reading = m_sources.upstreams.read();
        if (isError(reading)) {
            dependency.recordFailure(errorOf(reading));
            backOff(dependency);
            continue;
        }
        dependency.recordSuccess();
        setUpstreams(std::move(valueOf(reading)), started);
        auto rest = m_pace.upstreamInterval - (Common::now() - started);
        if (rest.count() > 0)
            Common::sleepFor(rest);
    }
}

void PlatformWatcher::updateUpstreamsFromPeer(
    std::optional<std::vector<Routing::UpstreamRecord>> list, Common::TimePoint confirmed)
{
    {
        std::lock_guard lock(m_mutex);
        if (confirmed <= m_upstreamsConfirmed)
            return;
    }
    setUpstreams(std::move(list), confirmed);
}

void PlatformWatcher::setUpstreams(
    std::optional<std::vector<Routing::UpstreamRecord>> list, Common::TimePoint confirmed)
{
    if (list) {
        auto before = m_registry.digest();
        m_registry.setUpstreams(std::move(*list));
        m_knowsUpstreams = true;
        if (m_registry.digest() != before)
            m_onChange();
    }
    std::lock_guard lock(m_mutex);
    m_upstreamsConfirmed = std::max(m_upstreamsConfirmed, confirmed);
}

Milliseconds PlatformWatcher::upstreamsAge(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return Common::toMilliseconds(now - m_upstreamsConfirmed);
}

} // namespace Brassladder::RouteServing::Gateway
