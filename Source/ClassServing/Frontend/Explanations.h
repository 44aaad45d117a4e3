// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Json.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

// The HTTP front end of class serving, and the class router that owns all components.
namespace Brassladder::ClassServing::Frontend {

// The trace of one request: its steps, such as grants, attempts and refusals, with their reasons. Thread-safe.
class Explanation {
public:
    Explanation(std::string requestId, std::string workspace, std::string requestClass);

    void step(std::string_view what, Common::Json details = Common::Json::object());
    const std::string& requestId() const { return m_requestId; }
    Common::Json json() const;

private:
    struct Step {
        Common::Milliseconds sinceArrival { 0 };
        std::string what;
        Common::Json details;
    };
    std::string m_requestId;
    std::string m_workspace;
    std::string m_requestClass;
    Common::TimePoint m_arrived;
    mutable std::mutex m_mutex;
    std::vector<Step> m_steps;
};

// Keeps the explanations of the latest `capacity` requests. Thread-safe.
class Explanations {
public:
    explicit Explanations(size_t capacity)
        : m_capacity(capacity)
    {
    }
    std::shared_ptr<Explanation> open(std::string requestId, std::string workspace, std::string requestClass);
    std::shared_ptr<const Explanation> find(const std::string& requestId) const;

private:
    size_t m_capacity;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<Explanation>> m_byId;
    std::deque<std::string> m_order;
};

} // namespace Brassladder::ClassServing::Frontend
