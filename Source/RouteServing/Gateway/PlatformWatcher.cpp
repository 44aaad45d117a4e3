// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PlatformWatcher.h"

#include "Common/BackgroundThread.h"
#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/Log.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;
using Common::Milliseconds;
using namespace std::chrono_literals;

// Check interval until the first state arrives. It is shorter because callers are waiting for that state.
static constexpr Milliseconds firstStateCheckInterval = 20ms;

// Interval at which a request that waits for a recent list checks for it.
static constexpr Milliseconds listPollInterval = 5ms;

PlatformWatcher::PlatformWatcher(PlatformSources sources, Routing::RefreshIntervals intervals,
    Routing::FreshnessLease& lease, Routing::UpstreamRegistry& registry)
    : m_sources(std::move(sources))
    , m_intervals(intervals)
    , m_lease(lease)
    , m_registry(registry)
{
}

template <typename Value> static std::optional<Common::Error> errorIn(const Common::Result<Value>& result)
{
    return isError(result) ? std::optional(errorOf(result)) : std::nullopt;
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

bool PlatformWatcher::backOffOnError(const std::optional<Common::Error>& error, Dependency& dependency)
{
    m_onStoreRead(!error);
    if (!error) {
        dependency.recordSuccess();
        return false;
    }
    dependency.recordFailure(*error);
    auto backoff = m_isStoreReader() ? m_intervals.backoffAfter(dependency.failures)
                                     : m_intervals.nonReaderBackoffAfter(dependency.failures);
    Common::sleepFor(Routing::jittered(backoff, Common::randomUnitFraction()));
    return true;
}

bool PlatformWatcher::reliesOnPeers(Milliseconds age, Milliseconds staleAfter) const
{
    if (m_isStoreReader())
        return false;
    bool wasNeverConfirmed = age == Milliseconds::max();
    return wasNeverConfirmed ? m_awaitsFirstState() : age < staleAfter || m_leavesReadingToHub();
}

Milliseconds PlatformWatcher::checkInterval() const
{
    return activeVersion() && hasUpstreamList() ? m_intervals.staleCheckInterval : firstStateCheckInterval;
}

// Configuration

void PlatformWatcher::watchConfiguration()
{
    Dependency dependency { "configuration" };
    while (true) {
        auto started = Common::now();
        if (reliesOnPeers(m_lease.age(started), m_intervals.configurationStaleAfter)) {
            Common::sleepFor(checkInterval());
            continue;
        }
        // A router that is not a store reader only needs a confirmation of its stale state, so it does not long-poll.
        auto read = m_sources.configuration.read(m_isStoreReader() ? m_intervals.configurationLongPoll : 0ms);
        if (backOffOnError(errorIn(read), dependency))
            continue;
        // The lease covers the table that requests use, so it is confirmed only after the new version is active.
        if (valueOf(read))
            activate(valueOf(read), "store");
        m_lease.confirm(started);
    }
}

void PlatformWatcher::activate(const ConfigurationPtr& next, std::string_view from)
{
    ConfigurationPtr current;
    {
        std::lock_guard lock(m_mutex);
        current = m_configuration.load();
        if (current && next->table.version() <= current->table.version())
            return;
        m_configuration.store(next);
    }
    std::map<std::string, double, std::less<>> coldRates;
    for (const auto& [name, service] : next->table.services()) {
        if (service.coldRequestsPerSecond)
            coldRates.emplace(name, *service.coldRequestsPerSecond);
    }
    m_registry.setColdRates(std::move(coldRates));
    Common::log(LogLevel::Info, "gateway", "configuration.adopted",
        { { "version", next->table.version() }, { "routes", next->table.routeCount() }, { "from", from },
            { "before", current ? current->table.version() : 0 } });
    m_onChange();
}

uint64_t PlatformWatcher::activeVersion() const
{
    auto current = m_configuration.load();
    return current ? current->table.version() : 0;
}

ConfigurationPtr PlatformWatcher::decode(uint64_t version, std::string_view text)
{
    m_decodedVersion = version;
    bool isSuperseded = false;
    auto decoded = Common::runInBackground([&] {
        // A newer version may have arrived while this one waited for the background thread.
        isSuperseded = m_decodedVersion > version;
        return isSuperseded ? nullptr : m_sources.configuration.parse(text);
    });
    auto expected = version;
    m_decodedVersion.compare_exchange_strong(expected, 0);
    if (!decoded && !isSuperseded)
        Common::log(LogLevel::Warning, "gateway", "configuration.unreadable", { { "version", version } });
    return decoded;
}

void PlatformWatcher::updateConfigurationFromPeer(
    uint64_t version, std::string_view text, Common::TimePoint confirmedAt)
{
    // Decoding a configuration is expensive, so only newer versions are decoded.
    if (!text.empty() && version > std::max(activeVersion(), m_decodedVersion.load())) {
        auto next = decode(version, text);
        if (!next)
            return;
        activate(next, "peer");
    }
    // Version 0 confirms that no configuration exists yet.
    if (activeVersion() >= version)
        m_lease.confirm(confirmedAt);
}

// Upstreams

// A read that takes this fraction (1/n) of the interval between reads counts as slow.
static constexpr int slowReadDivisor = 4;

static void logSlowRead(Common::Duration duration, Milliseconds interval)
{
    if (duration >= interval / slowReadDivisor)
        Common::log(
            LogLevel::Info, "gateway", "upstreams.read_slow", { { "ms", Common::toMilliseconds(duration).count() } });
}

void PlatformWatcher::watchUpstreams()
{
    Dependency dependency { "upstreams" };
    bool knowsEvacuations = true;
    while (true) {
        auto started = Common::now();
        // Lists of peers state the evacuations.
        bool lacksEvacuations = !knowsEvacuations && upstreamsOrigin().hops == 0;
        if (!lacksEvacuations && reliesOnPeers(upstreamsAge(started), m_intervals.upstreamsStaleAfter)) {
            Common::sleepFor(checkInterval());
            continue;
        }
        auto read = m_sources.upstreams.read();
        m_canReadUpstreams = !isError(read);
        logSlowRead(Common::now() - started, m_intervals.upstreamInterval);
        if (backOffOnError(errorIn(read), dependency))
            continue;
        knowsEvacuations = m_sources.upstreams.knowsEvacuations();
        // Callers wait for the first list, but it must not send them to an evacuated failure domain.
        if (!knowsEvacuations && !hasUpstreamList()) {
            Common::sleepFor(m_intervals.staleCheckInterval);
            continue;
        }
        setUpstreams(valueOf(read), knowsEvacuations, started);
        auto untilNext = m_intervals.upstreamInterval - (Common::now() - started);
        if (untilNext.count() > 0)
            Common::sleepFor(untilNext);
    }
}

static std::string_view eventOf(Routing::UpstreamDeparture::Kind kind)
{
    using Kind = Routing::UpstreamDeparture::Kind;
    switch (kind) {
    case Kind::Leaving:
        return "upstream.leaving";
    case Kind::Gone:
        return "upstream.gone";
    case Kind::Returned:
        return "upstream.returned";
    }
    return "";
}

// `source`: where the list came from, "store" or the id of a router.
static void logDepartures(
    std::span<const Routing::UpstreamDeparture> departures, std::string_view source, Common::TimePoint confirmedAt)
{
    for (const auto& departure : departures)
        Common::log(LogLevel::Info, "gateway", eventOf(departure.kind),
            { { "upstream", departure.upstream.id }, { "born", departure.upstream.born }, { "from", source },
                { "list_age_ms", Common::toMilliseconds(Common::now() - confirmedAt).count() } });
}

void PlatformWatcher::updateUpstreamsFromPeer(PeerUpstreams update, Common::TimePoint confirmedAt)
{
    bool hasChanged = false;
    AppliedUpdate applied;
    {
        std::lock_guard lock(m_mutex);
        if (confirmedAt <= m_upstreamsOrigin.confirmedAt)
            return;
        auto before = m_registry.digest();
        applied = applyPeerUpstreams(update);
        hasChanged = m_registry.digest() != before;
        if (applied.isPeersList)
            confirmUpstreams(update.peer, update.hops + 1, confirmedAt);
    }
    logDepartures(applied.departures, update.peer, confirmedAt);
    if (hasChanged)
        m_onChange();
}

// Without the peer's list there is nothing to confirm: the list is in flight, or the difference was to another list,
// and the next request names the one that this router has.
PlatformWatcher::AppliedUpdate PlatformWatcher::applyPeerUpstreams(PeerUpstreams& update)
{
    AppliedUpdate applied;
    if (update.list)
        applied.departures = m_registry.setUpstreams(std::move(*update.list));
    else if (update.changes && m_hasUpstreamList)
        applied.departures = m_registry.applyChanges(std::move(*update.changes));
    if (update.list || update.changes)
        m_lacksSoftwareVersions = !update.hasSoftwareVersions || (!update.list && m_lacksSoftwareVersions);
    if (update.list)
        m_hasUpstreamList = true;
    bool hasDigest = update.digest != 0;
    applied.isPeersList = m_hasUpstreamList && (!hasDigest || m_registry.receivedDigest() == update.digest);
    return applied;
}

void PlatformWatcher::confirmUpstreams(std::string confirmedBy, unsigned hops, Common::TimePoint confirmedAt)
{
    m_upstreamsOrigin = { m_registry.digest(), std::move(confirmedBy), hops, confirmedAt };
    if (m_upstreamsOrigin.age(Common::now()) < m_intervals.upstreamsMaxAge / 2)
        m_mayAwaitList = true;
}

void PlatformWatcher::setUpstreams(const UpstreamListPtr& list, bool knowsEvacuations, Common::TimePoint confirmedAt)
{
    bool hasChanged = false;
    Departures departures;
    {
        // Holds the lock from the comparison to the change. While a read of the store is in progress, a list that a
        // peer confirmed later may become active.
        std::lock_guard lock(m_mutex);
        if (confirmedAt <= m_upstreamsOrigin.confirmedAt)
            return;
        auto before = m_registry.digest();
        departures = activateList(list, knowsEvacuations);
        hasChanged = m_registry.digest() != before;
        confirmUpstreams("", 0, confirmedAt);
    }
    logDepartures(departures, "store", confirmedAt);
    if (hasChanged)
        m_onChange();
}

// The subset may change while the list does not, because it follows the size and the load of the fleet.
PlatformWatcher::Departures PlatformWatcher::activateList(const UpstreamListPtr& list, bool knowsEvacuations)
{
    auto selected = m_subset.select(*list, [this](auto service) { return demandOf(service); });
    if (!knowsEvacuations) {
        auto evacuated = m_registry.evacuatedDomains();
        for (auto& upstream : selected)
            upstream.evacuated |= evacuated.contains(upstream.failureDomain);
    }
    m_hasUpstreamList = true;
    m_lacksSoftwareVersions = false;
    return m_registry.setUpstreams(std::move(selected));
}

Routing::UpstreamSubset::Demand PlatformWatcher::demandOf(std::string_view service) const
{
    Routing::UpstreamSubset::Demand demand;
    demand.routers = m_fleetSize().value_or(1);
    demand.outstanding = m_registry.outstandingOf(service).requests;
    if (auto configuration = m_configuration.load()) {
        const auto* configured = configuration->table.service(service);
        demand.isScaled = configured && configured->scaling;
    }
    return demand;
}

void PlatformWatcher::awaitRecentUpstreams()
{
    auto end = Common::now() + m_intervals.listRefreshTimeout;
    while (m_canReadUpstreams && m_mayAwaitList && upstreamsAge(Common::now()) >= m_intervals.upstreamsMaxAge) {
        if (Common::now() >= end)
            m_mayAwaitList = false;
        Common::sleepFor(listPollInterval);
    }
}

Routing::UpstreamListOrigin PlatformWatcher::upstreamsOrigin() const
{
    std::lock_guard lock(m_mutex);
    return m_upstreamsOrigin;
}

} // namespace Brassladder::RouteServing::Gateway
