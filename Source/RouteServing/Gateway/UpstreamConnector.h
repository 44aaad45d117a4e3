// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Routing/RelayRanking.h"
#include "RouteServing/Routing/UpstreamReachability.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Opens connections to upstreams: directly, and through another router if this router's own link fails
// (docs/design/lost-links.md). No byte of a request is sent before one of them is established, so a request is sent
// over at most one. Thread-safe.
class UpstreamConnector {
public:
    // Opens the connection to the endpoint. Returns an error that carries `Ran::No` if that fails.
    using OpenDirect
        = std::function<Common::Status(Common::HttpConnection&, const Common::Endpoint&, Common::Milliseconds timeout)>;

    struct Result {
        std::unique_ptr<Common::HttpConnection> connection; // Null if none was established.
        std::optional<Common::Endpoint> relay; // The router that the connection leads through; nullopt if none.
        Common::ConnectionEnd end { Common::ConnectionEnd::None }; // Of the direct connection that failed.
        std::string problem; // Of the last failure.
    };

    explicit UpstreamConnector(std::string authorization);

    // The hooks must be set before the first connection is opened.
    void setOpenDirect(OpenDirect hook) { m_openDirect = std::move(hook); }
    // Returns where the other routers of the fleet accept tunnels.
    void setRouters(std::function<std::vector<Common::Endpoint>()> hook) { m_routers = std::move(hook); }

    // What to do if the direct connection fails at once.
    enum class Refusal : uint8_t {
        Trust, // The upstream has ended, unless several upstreams fail in a row.
        AskOthers, // Other routers are asked whether they reach it.
    };
    // Opens a connection within about `timeout`, and twice that if the direct one does not come up.
    Result connect(const Routing::UpstreamRecord&, Common::Milliseconds timeout, Refusal = Refusal::Trust);
    // Opens a direct connection for another router's tunnel. Returns nullopt if that fails.
    std::optional<boost::asio::ip::tcp::socket> connectForTunnel(const Common::Endpoint&, Common::Milliseconds timeout);
    // Whether an idle connection to the upstream that was opened directly may be used.
    bool mayReuse(const Common::Endpoint&) const;
    // Whether this router reaches no upstream itself, so that it opens no tunnels for others.
    bool areAllLinksLost() const { return m_reachability.areAllLinksLost(Common::now()); }

private:
    struct Race;

    // Adds the attempts through other routers, the first of which starts at `from`.
    void addRelays(Race&, Common::TimePoint from) const;
    bool extend(Race&, Refusal, Common::TimePoint now) const;
    void startAttempt(const std::shared_ptr<Race>&, size_t index);
    Common::Status open(Race&, size_t index) const;
    void recordDirect(Race&, const Common::Status&);
    void recordRelays(Race&);
    Result finish(Race&);
    void reportLinks();

    std::string m_authorization;
    OpenDirect m_openDirect;
    std::function<std::vector<Common::Endpoint>()> m_routers { [] { return std::vector<Common::Endpoint>(); } };
    Routing::UpstreamReachability m_reachability;
    Routing::RelayRanking m_relays;
    std::atomic<bool> m_wereAllLinksLost { false }; // When it was last reported.
};

} // namespace Brassladder::RouteServing::Gateway
