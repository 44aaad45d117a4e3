// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Routing/RosterDuty.h"

#include <functional>
#include <span>

namespace Brassladder::RouteServing::Gateway {

// Announces this router in the fleet's roster on the platform, and reads the others from it, when Routing/RosterDuty.h
// says so.
class RosterWatcher {
public:
    struct Hooks {
        // All but the reads, which the watcher knows itself.
        std::function<Routing::RosterSituation()> situation;
        // What changed in the roster since the last read; at the first, all of it.
        std::function<void(std::span<const Routing::RosterEntry>)> onRead;
        std::function<void()> onAnnounced; // The platform has this router's address.
    };

    RosterWatcher(RosterSource, Hooks);

    // Runs until the process ends, as a fiber of its own.
    void watch(const Inner::Peer& self);

private:
    Routing::RosterStep nextStep() const;
    Common::Status announce(const Inner::Peer& self);
    Common::Status read();
    void recordOutcome(std::string_view what, const Common::Status&);

    RosterSource m_source;
    Hooks m_hooks;
    unsigned m_reads { 0 };
    Common::TimePoint m_lastRead {};
    unsigned m_failures { 0 }; // In a row.
};

} // namespace Brassladder::RouteServing::Gateway
