// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RequestsUnderWay.h"

#include "Common/FiberRuntime.h"

namespace Brassladder::RouteServing::Gateway {

RequestsUnderWay::Entry::Entry(RequestsUnderWay& requests, OnStop onStop)
    : m_requests(requests)
{
    auto& context = Common::FiberRuntime::currentContext();
    std::lock_guard lock(m_requests.m_mutex);
    m_number = ++m_requests.m_lastNumber;
    m_requests.m_requests.emplace(m_number, Request { &context, std::move(onStop) });
    if (m_requests.m_isStopped)
        m_requests.postStop(m_number, context);
}

RequestsUnderWay::Entry::~Entry()
{
    std::lock_guard lock(m_requests.m_mutex);
    m_requests.m_requests.erase(m_number);
}

size_t RequestsUnderWay::count() const
{
    std::lock_guard lock(m_mutex);
    return m_requests.size();
}

void RequestsUnderWay::stopAll()
{
    std::lock_guard lock(m_mutex);
    if (std::exchange(m_isStopped, true))
        return;
    for (const auto& [number, request] : m_requests)
        postStop(number, *request.context);
}

// Runs on the thread of the request, so that it does not end between the check and the call.
void RequestsUnderWay::postStop(uint64_t number, boost::asio::io_context& context)
{
    boost::asio::post(context, [this, number] {
        OnStop onStop;
        {
            std::lock_guard lock(m_mutex);
            auto found = m_requests.find(number);
            if (found == m_requests.end())
                return;
            onStop = found->second.onStop;
        }
        onStop();
    });
}

} // namespace Brassladder::RouteServing::Gateway
