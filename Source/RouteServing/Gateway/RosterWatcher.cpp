// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RosterWatcher.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "RouteServing/Routing/RefreshIntervals.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::RosterStep;
using namespace std::chrono_literals;

// Pause between two checks for due work. Equals the exchange interval of PeerExchange.
static constexpr Common::Milliseconds checkInterval = 100ms;
// Backoff after failed calls to the store: doubles from the initial value up to the maximum.
static constexpr Common::Milliseconds initialBackoff = 300ms;
static constexpr Common::Milliseconds maxBackoff = 3000ms;

RosterWatcher::RosterWatcher(RosterSource source, Hooks hooks)
    : m_source(std::move(source))
    , m_hooks(std::move(hooks))
{
}

RosterStep RosterWatcher::nextStep() const
{
    auto situation = m_hooks.situation();
    situation.reads = m_reads;
    if (m_reads)
        situation.sinceLastRead = Common::toMilliseconds(Common::now() - m_lastRead);
    return Routing::nextRosterStep(situation);
}

Common::Status RosterWatcher::announce(const Routing::RosterEntry& self)
{
    auto status = m_source.announce(self);
    if (!isError(status))
        m_hooks.onAnnounced();
    return status;
}

Common::Status RosterWatcher::read()
{
    auto entries = m_source.read();
    if (isError(entries))
        return errorOf(entries);
    ++m_reads;
    m_lastRead = Common::now();
    m_hooks.onRead(valueOf(entries));
    return Common::Done {};
}

// Logs the first of several consecutive failures, and sleeps for the backoff after each.
void RosterWatcher::recordOutcome(std::string_view operation, const Common::Status& status)
{
    if (!isError(status)) {
        m_failures = 0;
        return;
    }
    if (!m_failures++)
        Common::log(Common::LogLevel::Warning, "gateway", "roster.unavailable",
            { { "what", operation }, { "error", errorOf(status).message } });
    auto backoff = Routing::exponentialBackoff(initialBackoff, maxBackoff, m_failures);
    Common::sleepFor(Routing::jittered(backoff, Common::randomUnitFraction()));
}

void RosterWatcher::watch(const Routing::RosterEntry& self)
{
    while (true) {
        switch (nextStep()) {
        case RosterStep::Announce:
            recordOutcome("announce", announce(self));
            break;
        case RosterStep::Read:
            recordOutcome("read", read());
            break;
        case RosterStep::Wait:
            Common::sleepFor(checkInterval);
            break;
        }
    }
}

} // namespace Brassladder::RouteServing::Gateway
