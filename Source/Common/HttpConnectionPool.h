// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"

#include <map>
#include <memory>
#include <vector>

namespace Brassladder::Common {

// Keeps idle connections of one thread, by endpoint. Not thread-safe.
//
// The remote side may close an idle connection while a request is being written; it is then unknown whether the request
// ran. A request that must not be repeated uses a new connection, or one that was idle for much less than the
// keep-alive time of the remote side.
class HttpConnectionPool {
public:
    // The pool of the calling thread.
    static HttpConnectionPool& forCurrentThread();

    // Returns an idle connection of any age, or opens a new one. Returns UpstreamConnect if that fails.
    Result<std::unique_ptr<HttpConnection>> acquire(const Endpoint&, Milliseconds connectTimeout);
    // Returns the most recently used connection that was idle for at most `maxIdleTime`, or null. If the most
    // recently used one was idle for more than half of its keep-alive time, closes all connections of the endpoint.
    std::unique_ptr<HttpConnection> acquireIdle(const Endpoint&, Milliseconds maxIdleTime);
    // Keeps the connection for another request. Closes it if its last response was not read completely or the pool is
    // full.
    void release(const Endpoint&, std::unique_ptr<HttpConnection>);
    // Closes the connections of endpoints that were not used recently, such as those of upstreams that have left. Each
    // of them holds a descriptor. Called by `release` once a second.
    void closeUnused(TimePoint now);
    // Number of idle connections.
    size_t size() const;

private:
    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection;
        TimePoint since;
    };
    std::map<Endpoint, std::vector<IdleConnection>> m_idle;
    TimePoint m_nextSweep {};
};

} // namespace Brassladder::Common
