// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"

#include <atomic>

namespace Brassladder::Testing::Load {

// Callers that behave: they send small requests one after the other and read the responses. Some open a connection for
// each request, others keep theirs. Runs on the threads of the runtime until it is destroyed.
class OrdinaryCallers {
public:
    // `nextRequest` returns the request with this number.
    using NextRequest = std::function<Common::HttpClientRequest(size_t number)>;
    OrdinaryCallers(Common::FiberRuntime&, Common::Endpoint router, NextRequest);
    // Waits until all callers have stopped.
    ~OrdinaryCallers();
    OrdinaryCallers(const OrdinaryCallers&) = delete;
    OrdinaryCallers& operator=(const OrdinaryCallers&) = delete;

    struct Count {
        size_t sent { 0 };
        size_t served { 0 };
        double servedShare() const { return sent ? static_cast<double>(served) / static_cast<double>(sent) : 0; }
    };
    // Returns what has happened since the last call.
    Count take();

private:
    void callOnNewConnections();
    void callOnOneConnection();
    void record(bool isServed);

    Common::Endpoint m_router;
    NextRequest m_nextRequest;
    std::atomic<size_t> m_next { 0 };
    std::atomic<size_t> m_sent { 0 };
    std::atomic<size_t> m_served { 0 };
    std::atomic<size_t> m_running { 0 };
    std::atomic<bool> m_stopping { false };
};

} // namespace Brassladder::Testing::Load
