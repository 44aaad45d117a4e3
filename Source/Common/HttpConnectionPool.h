// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"

#include <map>
#include <memory>
#include <vector>

namespace Brassladder::Common {

// Idle connections of one thread, by endpoint. The other side may close an idle connection at the moment of the write,
// and then nobody knows whether the request ran: a request that must not be repeated uses a new connection, or one that
// was idle for much less time than the other side keeps them. Belongs to one thread.
class HttpConnectionPool {
public:
    // The pool of the calling thread.
    static HttpConnectionPool& forCurrentThread();

    // An idle connection of any age, or a new one. UpstreamConnect when there is none.
    Result<std::unique_ptr<HttpConnection>> acquire(const Endpoint&, Milliseconds connectTimeout);
    // The most recently used connection that was idle for at most `maxIdleTime`, or null. Connections that were idle
    // for more than half of the time for which the other side keeps them are closed.
    std::unique_ptr<HttpConnection> acquireIdle(const Endpoint&, Milliseconds maxIdleTime);
    // Keeps the connection for another request, if its last response was read whole.
    void release(const Endpoint&, std::unique_ptr<HttpConnection>);

private:
    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection;
        TimePoint since;
    };
    std::map<Endpoint, std::vector<IdleConnection>> m_idle;
};

} // namespace Brassladder::Common
