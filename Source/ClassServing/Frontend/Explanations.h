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

// The caller-facing side of class serving, and what wires its parts together.
namespace Brassladder::ClassServing::Frontend {

// What happened to one request, step by step: why it ran where it ran, waited, or was refused.
class Explanation {
public:
    Explanation(std::string requestId, std::string workspace, std::string requestClass);

    void step(std::string_view what, Common::Json details = Common::Json::object());
    const std::string& requestId() const { return m_requestId; }
    Common::Json json() const;

private:
    struct Step {
        Common::Milliseconds sinceArrival { 0 }; // Since the request arrived.
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

// The explanations of the latest requests, up to a bound. Safe to use from several threads.
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
