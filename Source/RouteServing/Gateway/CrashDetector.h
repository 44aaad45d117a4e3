// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/InterruptedAttempts.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <functional>
#include <mutex>
#include <span>

namespace Brassladder::RouteServing::Gateway {

// Why attempts at an upstream ended.
enum class DisconnectCause : uint8_t {
    Crash, // Its process is gone, unannounced.
    PlannedEnd, // It was leaving, or not listed any more.
    Alive, // It takes connections: a reset, a lost answer, a connection that had been idle for too long.
    Unknown, // Nothing comes back: it may be cut off, frozen or without power.
};

// Finds out whether an upstream has crashed when attempts there ended without a response: it connects once to the
// address after a moment. Nothing but a refused connection is a crash: resets, cuts, stops and planned ends aren't, and
// the end of this process leaves nothing behind. Safe to use from several threads.
class CrashDetector {
public:
    // The attempts of this router that were under way at the upstream when it crashed.
    using OnCrash
        = std::function<void(const Routing::UpstreamRecord&, std::span<const Routing::InterruptedAttempt> attempts)>;

    // By then it is known whether the upstream has crashed.
    static constexpr Common::Milliseconds maxDetectionTime { 300 };

    explicit CrashDetector(const Routing::UpstreamRegistry& registry)
        : m_registry(registry)
    {
    }
    // Called in a fiber of the thread whose attempt was the first to end; must be set before any ends.
    void setOnCrash(OnCrash hook) { m_onCrash = std::move(hook); }

    // An attempt ended because the upstream closed or reset the connection. Returns at once.
    void recordDisconnect(const Routing::UpstreamRecord&, Routing::InterruptedAttempt);

private:
    void determineCause(const Routing::UpstreamRecord&);
    static DisconnectCause probe(const Common::Endpoint&);

    const Routing::UpstreamRegistry& m_registry;
    OnCrash m_onCrash { [](const auto&, auto) {} };
    std::mutex m_mutex;
    Routing::InterruptedAttempts m_broken; // Guarded by the mutex.
};

} // namespace Brassladder::RouteServing::Gateway
