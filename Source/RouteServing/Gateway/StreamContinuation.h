// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpExchange.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/StreamOriginTable.h"
#include "RouteServing/Routing/Upstream.h"

#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

class StreamOriginExchange;

// The stream that a caller takes up, as stated by its headers; empty texts if absent.
struct ContinuedStream {
    std::string attempt; // Id of the attempt that brought the first event.
    std::string lastEvent; // Id of the last event that the caller has.
    std::string version; // Software version that began the stream; empty if it is not known.

    bool isStated() const { return !attempt.empty() || !lastEvent.empty(); }
};

// Where the stream of one request may go on. What two software versions of the upstreams write does not fit together,
// and upstreams do not check it, so a stream goes on only at the version that sent its first event, within one response
// and over the attempts of its caller. What is not known is refused. Used only by the fiber of the request.
class StreamContinuation {
public:
    // `origins` may be null if routers exchange no origins; then no caller can take up a stream.
    StreamContinuation(const HeaderScheme&, const Common::HttpExchange&, StreamOriginExchange* origins);

    // Whether the request takes up a stream that an earlier attempt of the caller began.
    bool isTakenUp() const { return !m_named.empty() || !m_lastEvent.empty(); }
    // Returns what the caller states about the stream that it takes up, and what is known of it, for logs.
    ContinuedStream stated() const { return { m_named, m_lastEvent, m_origin ? m_origin->softwareVersion : "" }; }

    // Finds where the stream of a request that takes one up began. May suspend the fiber until the deadline. Returns
    // the refusal if it is not known, or if the route does not lead to that service. Does nothing for another request.
    std::optional<Routing::Refusal> resolve(
        const Routing::Route&, std::string_view workspace, Common::TimePoint deadline);
    // Records the upstream of the first whole event, before the event is relayed to the caller. `callerTimeout`: how
    // long the caller will wait, if it states so.
    void recordFirstEvent(const Routing::UpstreamRecord&, std::optional<Common::Milliseconds> callerTimeout);

    // Where the stream began; nullopt before its first event. The version is empty if it is unknown.
    const std::optional<Routing::StreamOrigin>& origin() const { return m_origin; }
    // Returns the only software version at which the stream may go on, or nullopt if it may begin at any. An empty
    // version is unknown: then no upstream may continue the stream.
    std::optional<std::string_view> requiredVersion() const;

private:
    std::string_view requestId() const;

    const HeaderScheme& m_headers;
    const Common::HttpExchange& m_exchange;
    StreamOriginExchange* m_origins;
    std::string m_named; // The attempt that began the stream, as named by the caller.
    std::string m_lastEvent;
    const Routing::Route* m_route { nullptr };
    std::string m_workspace;
    std::optional<Routing::StreamOrigin> m_origin;
};

} // namespace Brassladder::RouteServing::Gateway
