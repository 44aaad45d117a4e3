// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Routing/RosterDuty.h"

#include <functional>
#include <span>

namespace Brassladder::RouteServing::Gateway {

// Announces this router in the fleet's roster on the platform and reads the roster, at the times that
// Routing/RosterDuty.h determines.
class RosterWatcher {
public:
    struct Hooks {
        // Returns the situation; the watcher sets `reads` and `sinceLastRead`.
        std::function<Routing::RosterSituation()> situation;
        // Called with the changes since the last read. The first read passes all entries.
        std::function<void(std::span<const Routing::RosterEntry>)> onRead;
        std::function<void()> onAnnounced; // Called after each successful announcement.
    };

    RosterWatcher(RosterSource, Hooks);

    // Runs until the process ends. Must be started in its own fiber.
    void watch(const Routing::RosterEntry& self);

private:
    Routing::RosterStep nextStep() const;
    Common::Status announce(const Routing::RosterEntry& self);
    Common::Status read();
    void recordOutcome(std::string_view operation, const Common::Status&);

    RosterSource m_source;
    Hooks m_hooks;
    unsigned m_reads { 0 };
    Common::TimePoint m_lastRead {};
    unsigned m_failures { 0 }; // Consecutive.
};

} // namespace Brassladder::RouteServing::Gateway
