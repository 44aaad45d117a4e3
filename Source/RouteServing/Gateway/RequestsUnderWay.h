// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>

namespace Brassladder::RouteServing::Gateway {

// The requests of callers that are being served. A planned stop ends those that are still under way shortly before the
// process ends, so that each caller gets a response. Thread-safe.
class RequestsUnderWay {
public:
    using OnStop = std::function<void()>;

    // Counts one request as under way during its lifetime. Must be created and destroyed on one thread of the runtime.
    class Entry {
    public:
        Entry(RequestsUnderWay&, OnStop);
        ~Entry();
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        RequestsUnderWay& m_requests;
        uint64_t m_number { 0 };
    };

    size_t count() const;
    // Calls the hook of each request once, on its thread; also for requests that begin later.
    void stopAll();

private:
    struct Request {
        boost::asio::io_context* context { nullptr }; // Of the thread that serves the request.
        OnStop onStop;
    };

    void postStop(uint64_t number, boost::asio::io_context&);

    mutable std::mutex m_mutex;
    std::map<uint64_t, Request> m_requests;
    uint64_t m_lastNumber { 0 };
    bool m_isStopped { false };
};

} // namespace Brassladder::RouteServing::Gateway
