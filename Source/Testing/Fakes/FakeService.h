// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "Common/Precompiled.h"

namespace Brassladder::Testing::Fakes {

// A plain HTTP service. It counts each run by request id and by Idempotency-Key before it responds, and echoes the
// request body.
class FakeService {
public:
    explicit FakeService(Common::Milliseconds duration)
        : m_duration(duration)
    {
    }
    void handle(Common::HttpExchange&);

private:
    struct Faults {
        int64_t loseAnswers { 0 }; // Number of calls that run, but whose connections are closed without a response.
        int64_t truncateAnswers { 0 };
        int64_t endAnswersEarly { 0 }; // Number of responses that end with the connection, before their end.
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
