// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "Common/Precompiled.h"

namespace Brassladder::Testing::Fakes {

// A plain service, such as the order application. It counts each run by request id and by Idempotency-Key, before it
// answers, and echoes the request's body in its answer.
class FakeService {
public:
    explicit FakeService(Common::Milliseconds duration)
        : m_duration(duration)
    {
    }
    void handle(Common::HttpExchange&);

private:
    struct Faults {
        int64_t loseAnswers { 0 }; // So many calls run, and their connections are closed without an answer.
        int64_t truncateAnswers { 0 };
        bool refuse { false };
        bool leaving { false };
        Common::Milliseconds slow { 0 };
    };

    void runCall(Common::HttpExchange&);
    void setFaults(Common::HttpExchange&);
    void counters(Common::HttpExchange&);

    Common::Milliseconds m_duration;
    std::mutex m_mutex;
    Faults m_faults;
    std::map<std::string, uint32_t> m_runsByRequest;
    std::map<std::string, uint32_t> m_runsByKey;
    uint32_t m_running { 0 };
};

} // namespace Brassladder::Testing::Fakes
