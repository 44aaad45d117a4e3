// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/FiberRuntime.h"

#include <atomic>

namespace Brassladder::Common {

// Accepts connections on one port and runs the callback in a fiber for each; threads are assigned round-robin. Must
// live until the process ends.
class Listener {
public:
    using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(FiberRuntime&, OnConnection);

    // Sets the size of the kernel's buffers of accepted connections, in each direction, instead of letting them grow.
    // Must be called before listen().
    void setBufferBytes(int bytes) { m_bufferBytes = bytes; }
    // Returns the port, which the kernel chooses for port 0. Returns PlatformUnavailable if the endpoint cannot be
    // bound.
    Result<uint16_t> listen(const Endpoint&);
    void stop();

private:
    void accept();
    // Calls the hook. An exception ends this connection alone.
    void serve(boost::asio::ip::tcp::socket) const;

    FiberRuntime& m_runtime;
    OnConnection m_onConnection;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor; // Used only on the first thread once it listens.
    int m_bufferBytes { 0 }; // 0: as the system sets it.
    std::atomic<bool> m_stopping { false };
};

} // namespace Brassladder::Common
