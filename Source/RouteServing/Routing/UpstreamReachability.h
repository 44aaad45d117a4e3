// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <map>
#include <mutex>
#include <optional>

namespace Brassladder::RouteServing::Routing {

// Tells whether this router's own links to the upstreams work, from the connections that its requests open. An upstream
// that other routers reach and this one does not is a fault of a link. An upstream that nobody reaches is not, so it
// does not change how connections are opened. Needs no probes of its own. Thread-safe.
class UpstreamReachability {
public:
    // How long an upstream that only other routers reached is assumed to be out of direct reach.
    static constexpr Common::Milliseconds evidenceLifetime { 2000 };
    // Interval at which a connection is also attempted directly although the links are assumed to be lost. Bounds the
    // time until restored links are used again.
    static constexpr Common::Milliseconds probeInterval { 250 };
    // Different upstreams that fail in a row before connections that fail at once are attempted through other routers.
    // One alone has probably ended.
    static constexpr size_t failuresToSuspect = 2;

    // Records that a connection was opened without another router.
    void recordDirect(const Common::Endpoint&, Common::TimePoint now);
    // Records that a direct connection could not be opened.
    void recordDirectFailure(const Common::Endpoint&, Common::TimePoint now);
    // Records that another router reached the upstream. `hasDirectFailed`: this router had attempted to and had not.
    void recordRelayed(const Common::Endpoint&, bool hasDirectFailed, Common::TimePoint now);
    // Records that other routers could not reach it either.
    void recordUnreachable(const Common::Endpoint&);

    // Whether connections to the upstream are opened through another router first.
    bool isLinkLost(const Common::Endpoint&, Common::TimePoint now) const;
    // Whether a direct connection that failed at once may be due to this router's links.
    bool areLinksSuspect(Common::TimePoint now) const;
    // Whether all links are assumed to be lost: several upstreams are out of direct reach, and none was reached since.
    bool areAllLinksLost(Common::TimePoint now) const;
    // Returns whether to attempt a direct connection to the upstream now beside one through another router. If so, the
    // interval begins again.
    bool takeProbe(const Common::Endpoint&, Common::TimePoint now);

private:
    struct State {
        std::optional<Common::TimePoint> failed; // Last direct failure since the last success.
        std::optional<Common::TimePoint> relayed; // Last time that only another router reached it.
        Common::TimePoint lastProbe {};
    };
    bool isLinkLostLocked(const Common::Endpoint&, Common::TimePoint now) const;
    bool areAllLinksLostLocked(Common::TimePoint now) const;
    void removeOld(Common::TimePoint now);

    mutable std::mutex m_mutex;
    std::map<Common::Endpoint, State> m_states; // Without upstreams that are reached directly.
};

} // namespace Brassladder::RouteServing::Routing
