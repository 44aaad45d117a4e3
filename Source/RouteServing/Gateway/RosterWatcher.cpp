// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RosterWatcher.h"

#include "Common/FiberRuntime.h"
#include "Common/Log.h"

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

// Hubs read the roster this often. Chosen, not measured: each read is a priced call to the store.
static constexpr Common::Milliseconds refreshInterval = 6000ms;
// After a failed call to the store. Chosen, not measured.
static constexpr Common::Milliseconds retryInterval = 300ms;

RosterWatcher::RosterWatcher(RosterSource source, Hooks hooks)
    : m_source(std::move(source))
    , m_hooks(std::move(hooks))
{
}

static void logFailure(std::string_view what, const Common::Error& error)
{
    Common::log(
        Common::LogLevel::Warning, "gateway", "roster.unavailable", { { "what", what }, { "error", error.message } });
}

void RosterWatcher::watch(const Inner::Peer& self)
{
    bool isAnnounced = false;
    bool wasAvailable = true;
    while (true) {
        auto announced = isAnnounced ? Common::Status(Common::Done {}) : m_source.announce(self);
        isAnnounced = !isError(announced);
        // Read after the announcement: of two routers that start together, at least one sees the other.
        auto peers = m_source.read();
        if (!isError(peers)) {
            for (const auto& peer : valueOf(peers))
                m_hooks.onPeer(peer);
            m_isKnown = true;
        }
        bool isAvailable = isAnnounced && !isError(peers);
        if (wasAvailable && isError(announced))
            logFailure("announce", errorOf(announced));
        else if (wasAvailable && isError(peers))
            logFailure("read", errorOf(peers));
        wasAvailable = isAvailable;
        do {
            Common::sleepFor(isAvailable ? refreshInterval : retryInterval);
        } while (isAvailable && !m_hooks.mustRefresh());
    }
}

} // namespace Brassladder::RouteServing::Gateway
