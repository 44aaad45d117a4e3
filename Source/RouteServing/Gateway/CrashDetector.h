// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/UpstreamConnector.h"
#include "RouteServing/Routing/InterruptedAttempts.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <functional>
#include <mutex>
#include <span>

namespace Brassladder::RouteServing::Gateway {

// Why attempts at an upstream ended early.
enum class DisconnectCause : uint8_t {
    // The process ended without notice: its address refuses connections, or another process listens there.
    Crash,
    PlannedEnd, // The upstream was leaving, or was no longer listed.
    Alive, // The upstream still accepts connections. Covers resets, lost responses and idle timeouts.
    Unknown, // Connecting fails in another way. Covers partitions, frozen processes and power loss.
};

// Determines whether an upstream has crashed when attempts there end early: waits briefly for further attempts to end,
// then tries once to connect to the address and asks who answers there. Only a refused connection and another upstream
// count as a crash; resets, partitions and planned ends do not. Keeps its state in memory only. Thread-safe.
class CrashDetector {
public:
    // Receives this router's attempts that were in flight at the upstream when it crashed.
    using OnCrash
        = std::function<void(const Routing::UpstreamRecord&, std::span<const Routing::InterruptedAttempt> attempts)>;

    // Receives attempts whose responses ended with their connections, at an upstream that has not crashed.
    using OnCompleted = std::function<void(std::span<const Routing::InterruptedAttempt> attempts)>;
    void setOnCompleted(OnCompleted hook) { m_onCompleted = std::move(hook); }

    // Upper bound of the time from the first disconnect until its cause is known.
    static constexpr Common::Milliseconds maxDetectionTime { 550 };

    explicit CrashDetector(const Routing::UpstreamRegistry&);
    // The hook runs in a fiber of the thread that recorded the first of the attempts. Must be set before any attempt is
    // recorded.
    void setOnCrash(OnCrash hook) { m_onCrash = std::move(hook); }

    // Replaces how the address is probed. Must be set before any attempt is recorded.
    using Connect
        = std::function<UpstreamConnector::Result(const Routing::UpstreamRecord&, Common::Milliseconds timeout)>;
    void setConnect(Connect hook) { m_connect = std::move(hook); }

    // Returns whether another upstream than the given one answers on the connection. The timeout applies to the whole
    // exchange. Must be set before any attempt is recorded; without it, any process that accepts counts as the
    // upstream.
    using IsOtherUpstream
        = std::function<bool(Common::HttpConnection&, const Routing::UpstreamRecord&, Common::Milliseconds timeout)>;
    void setIsOtherUpstream(IsOtherUpstream hook) { m_isOtherUpstream = std::move(hook); }

    // Records an attempt that ended because the upstream closed or reset the connection, or whose response looks
    // complete but ended with the connection. Does not block.
    void recordDisconnect(const Routing::UpstreamRecord&, Routing::InterruptedAttempt);

private:
    void determineCause(const Routing::UpstreamRecord&);
    DisconnectCause probe(const Routing::UpstreamRecord&) const;
    void reportNoCrash(const Routing::UpstreamRecord&, DisconnectCause, std::vector<Routing::InterruptedAttempt>) const;

    const Routing::UpstreamRegistry& m_registry;
    Connect m_connect;
    IsOtherUpstream m_isOtherUpstream { [](auto&, const auto&, auto) { return false; } };
    OnCrash m_onCrash { [](const auto&, auto) {} };
    OnCompleted m_onCompleted { [](auto) {} };
    std::mutex m_mutex;
    Routing::InterruptedAttempts m_interrupted; // Guarded by the mutex.
};

} // namespace Brassladder::RouteServing::Gateway
