// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpConnectionPool.h"

namespace Brassladder::Common {

// Limit for each endpoint and thread.
// Enough for the batch of one engine over two threads.
static constexpr size_t maxIdleConnections = 32;

// Opening a connection again after this time costs little.
static constexpr Milliseconds maxUnusedTime { 10'000 };
static constexpr Milliseconds sweepInterval { 1000 };

HttpConnectionPool& HttpConnectionPool::forCurrentThread()
{
    // Never destroyed: its sockets belong to an io_context that lives until the process ends.
    thread_local auto* s_pool = new HttpConnectionPool;
    return *s_pool;
}

Result<std::unique_ptr<HttpConnection>> HttpConnectionPool::acquire(
    const Endpoint& endpoint, Milliseconds connectTimeout)
{
    if (auto pooled = acquireIdle(endpoint, Milliseconds::max()))
        return pooled;
    auto connection = std::make_unique<HttpConnection>();
    if (auto status = connection->connect(endpoint, connectTimeout); isError(status))
        return errorOf(status);
    return connection;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquireIdle(const Endpoint& endpoint, Milliseconds maxIdleTime)
{
    auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    auto moment = now();
    while (!idle.empty()) {
        auto idleTime = moment - idle.back().since;
        auto keepAliveTime = idle.back().connection->keepAliveTime();
        // The connections before it have been idle even longer.
        if (keepAliveTime && idleTime > *keepAliveTime / 2) {
            idle.clear();
            break;
        }
        if (maxIdleTime != Milliseconds::max() && idleTime > maxIdleTime)
            return nullptr;
        auto connection = std::move(idle.back().connection);
        idle.pop_back();
        if (connection->looksOpen())
            return connection;
    }
    m_idle.erase(found);
    return nullptr;
}

void HttpConnectionPool::release(const Endpoint& endpoint, std::unique_ptr<HttpConnection> connection)
{
    auto moment = now();
    if (moment >= m_nextSweep)
        closeUnused(moment);
    if (!connection->isReusable())
        return;
    auto& idle = m_idle[endpoint];
    if (idle.size() < maxIdleConnections)
        idle.push_back({ std::move(connection), moment });
}

void HttpConnectionPool::closeUnused(TimePoint now)
{
    m_nextSweep = now + sweepInterval;
    std::erase_if(m_idle, [&](const auto& endpoint) {
        const auto& idle = endpoint.second;
        return idle.empty() || now - idle.back().since > maxUnusedTime;
    });
}

size_t HttpConnectionPool::size() const
{
    size_t count = 0;
    for (const auto& [endpoint, idle] : m_idle)
        count += idle.size();
    return count;
}

} // namespace Brassladder::Common
