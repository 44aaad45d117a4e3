// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/Explanations.h"

namespace Brassladder::ClassServing::Frontend {

Explanation::Explanation(std::string requestId, std::string workspace, std::string requestClass)
    : m_requestId(std::move(requestId))
    , m_workspace(std::move(workspace))
    , m_requestClass(std::move(requestClass))
    , m_arrived(Common::now())
{
}

void Explanation::step(std::string_view what, Common::Json details)
{
    auto sinceArrival = Common::toMilliseconds(Common::now() - m_arrived);
    std::lock_guard lock(m_mutex);
    m_steps.push_back({ sinceArrival, std::string(what), std::move(details) });
}

Common::Json Explanation::json() const
{
    std::lock_guard lock(m_mutex);
    auto steps = Common::Json::array();
    for (const auto& step : m_steps) {
        Common::Json line = { { "after_ms", step.sinceArrival.count() }, { "what", step.what } };
        line.update(step.details);
        steps.push_back(std::move(line));
    }
    return { { "request_id", m_requestId }, { "workspace", m_workspace }, { "class", m_requestClass },
        { "steps", std::move(steps) } };
}

std::shared_ptr<Explanation> Explanations::open(std::string requestId, std::string workspace, std::string requestClass)
{
    auto explanation = std::make_shared<Explanation>(requestId, std::move(workspace), std::move(requestClass));
    std::lock_guard lock(m_mutex);
    m_byId[requestId] = explanation;
    m_order.push_back(std::move(requestId));
    if (m_order.size() > m_capacity) {
        m_byId.erase(m_order.front());
        m_order.pop_front();
    }
    return explanation;
}

std::shared_ptr<const Explanation> Explanations::find(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_byId.find(requestId);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace Brassladder::ClassServing::Frontend
