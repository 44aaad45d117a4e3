// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Error.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::Inner {

// Header field of a tunnel request: the id of the upstream, which must match the endpoint.
inline constexpr std::string_view tunnelUpstreamField = "Brassladder-Upstream";

// Connects other routers of the fleet to upstreams that they cannot reach themselves: accepts CONNECT (RFC 9110, 9.3.6)
// and relays bytes in both directions. An end of one connection becomes an end of the other one. Everything else,
// including the end of this process, becomes a reset, so a response that was cut is not taken for one that ended.
// Thread-safe.
class TunnelServer {
public:
    using Socket = boost::asio::ip::tcp::socket;

    struct Upstream {
        std::string id;
        Common::Endpoint endpoint;
    };
    struct Hooks {
        // Returns whether a tunnel to the upstream may be opened now.
        std::function<bool(const Upstream&)> allows;
        // Opens a connection to the upstream, which must not lead through another router. Returns nullopt if that
        // fails.
        std::function<std::optional<Socket>(const Common::Endpoint&, Common::Milliseconds timeout)> connect;
        // Called when a tunnel opens (1) and when it closes (-1).
        std::function<void(int change)> onCountChange { [](int) {} };
    };

    TunnelServer(std::string authorization, Hooks);

    // Serves one connection until it ends. Answers 407 without authorization, 403 if the upstream is not allowed, 503
    // if too many tunnels are open, and 502 if the upstream cannot be reached. `onAuthorized` is called once the
    // request has shown its authorization.
    void serve(
        Socket, const std::function<void()>& onAuthorized = [] {});

private:
    class Tunnel;

    std::string m_authorization;
    Hooks m_hooks;
    std::atomic<size_t> m_open { 0 };
};

} // namespace Brassladder::Inner
