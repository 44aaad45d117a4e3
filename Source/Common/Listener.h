// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/FiberRuntime.h"

#include <atomic>

namespace Brassladder::Common {

// Accepts connections on one port and runs a fiber for each, in turn over the threads of the runtime. Lives until the
// process ends.
class Listener {
public:
    using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(FiberRuntime&, OnConnection);

    // The port in use, which the kernel chooses for port 0; PlatformUnavailable when it cannot be had.
    Result<uint16_t> listen(const Endpoint&);
    void stop();

private:
    void accept();

    FiberRuntime& m_runtime;
    OnConnection m_onConnection;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor; // Touched on the first thread once it listens.
    std::atomic<bool> m_stopping { false };
};

} // namespace Brassladder::Common
