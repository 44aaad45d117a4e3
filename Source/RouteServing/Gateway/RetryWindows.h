// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/RetryWindow.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// The retry windows of all services, each created on the first request for its service. Thread-safe.
class RetryWindows {
public:
    explicit RetryWindows(Routing::RetryWindow::Bounds bounds)
        : m_bounds(bounds)
    {
    }

    Routing::RetryWindow& forService(std::string_view service)
    {
        std::lock_guard lock(m_mutex);
        auto found = m_windows.find(service);
        if (found == m_windows.end())
            found = m_windows.emplace(service, std::make_unique<Routing::RetryWindow>(m_bounds)).first;
        return *found->second;
    }

    // Sets this router's share of the retry allowance for all services.
    void setAllowance(double allowance)
    {
        std::lock_guard lock(m_mutex);
        m_bounds.allowance = allowance;
        for (auto& [service, window] : m_windows)
            window->setAllowance(allowance);
    }

private:
    Routing::RetryWindow::Bounds m_bounds;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Routing::RetryWindow>, std::less<>> m_windows;
};

} // namespace Brassladder::RouteServing::Gateway
