// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PlatformSources.h"

#include <atomic>
#include <functional>

namespace Brassladder::RouteServing::Gateway {

// Announces this router in the fleet's roster on the platform, and reads the others from it. Safe to use from several
// threads.
class RosterWatcher {
public:
    struct Hooks {
        std::function<void(const Inner::Peer&)> onPeer; // For each entry of the roster, after each read.
        // Whether to read it again at intervals: a hub must find routers that have just started and rely on it.
        std::function<bool()> mustRefresh;
    };

    RosterWatcher(RosterSource, Hooks);

    // Runs until the process ends, as a fiber of its own.
    void watch(const Inner::Peer& self);
    // Whether the roster was read at least once.
    bool isKnown() const { return m_isKnown; }

private:
    RosterSource m_source;
    Hooks m_hooks;
    std::atomic<bool> m_isKnown { false };
};

} // namespace Brassladder::RouteServing::Gateway
