// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Testing/Load/OrdinaryCallers.h"

#include <thread>

namespace Brassladder::Testing::Load {

using namespace std::chrono_literals;

static constexpr size_t callersWithNewConnections = 4;
static constexpr size_t callersWithOneConnection = 2;
// Between two requests of one caller.
static constexpr auto pause = 20ms;

OrdinaryCallers::OrdinaryCallers(Common::FiberRuntime& runtime, Common::Endpoint router, NextRequest nextRequest)
    : m_router(std::move(router))
    , m_nextRequest(std::move(nextRequest))
    , m_running(callersWithNewConnections + callersWithOneConnection)
{
    for (size_t caller = 0; caller < callersWithNewConnections; ++caller)
        runtime.spawn([this] { callOnNewConnections(); });
    for (size_t caller = 0; caller < callersWithOneConnection; ++caller)
        runtime.spawn([this] { callOnOneConnection(); });
}

OrdinaryCallers::~OrdinaryCallers()
{
    m_stopping = true;
    while (m_running)
        std::this_thread::sleep_for(1ms);
}

void OrdinaryCallers::record(bool isServed)
{
    ++m_sent;
    m_served += isServed;
    Common::sleepFor(pause);
}

void OrdinaryCallers::callOnNewConnections()
{
    while (!m_stopping) {
        auto response = Common::callOnce(m_router, m_nextRequest(++m_next));
        record(!isError(response) && valueOf(response).status == 200);
    }
    --m_running;
}

// A connection that was closed is opened again, which does not count as a failure: the request was not sent.
void OrdinaryCallers::callOnOneConnection()
{
    std::unique_ptr<Common::HttpConnection> connection;
    while (!m_stopping) {
        if (!connection || !connection->isReusable() || !connection->looksOpen()) {
            connection = std::make_unique<Common::HttpConnection>();
            connection->connect(m_router, 1000ms);
        }
        auto response = connection->start(m_nextRequest(++m_next));
        bool isServed = !isError(response) && valueOf(response).status == 200
            && !isError(connection->readRemainingBody(Common::maxBufferedResponseBytes));
        record(isServed);
    }
    --m_running;
}

OrdinaryCallers::Count OrdinaryCallers::take()
{
    Count count;
    count.served = m_served.exchange(0);
    count.sent = m_sent.exchange(0);
    return count;
}

} // namespace Brassladder::Testing::Load
