// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/DemandFleet.h"

#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/Upstream.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Routing::WorkspaceShares;

static constexpr auto tick = 20ms;
// Queue of the fleet, in seconds of its capacity, from which the admission asks for shares, and at which it is full.
static constexpr double shortQueueSeconds = 0.25;
static constexpr double fullQueueSeconds = 1;
static constexpr uint64_t meanTokens = 12'000;
static const std::string s_service = "records";

static std::string workspaceName(size_t index) { return "w" + std::to_string(index); }

DemandFleet::DemandFleet(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_hubs(Routing::HubRanking::hubCount(m_options.routers))
    , m_capacity(m_options.requestsPerSecond * static_cast<double>(meanTokens))
    , m_routers(m_options.routers)
    , m_counts(m_options.workspaces.size())
{
    for (size_t index = 0; index < m_routers.size(); ++index) {
        auto& router = m_routers[index];
        router.id = "r" + std::to_string(index);
        router.shares = std::make_unique<WorkspaceShares>(router.id, m_options.weightOf);
        router.exchange = std::make_unique<DemandExchange>(*router.shares);
        router.hub = index % m_hubs;
        router.nextStep = m_now + Common::Milliseconds(m_random() % 1000);
        router.callers = std::uniform_real_distribution<>(0.3, 3)(m_random);
    }
    for (size_t workspace = 0; workspace < m_options.workspaces.size(); ++workspace) {
        std::vector<double> weights;
        for (const auto& router : m_routers)
            weights.push_back(router.callers * (chance(0.3) ? 3 : 1));
        m_callers.emplace_back(weights.begin(), weights.end());
    }
}

double DemandFleet::utilization() const { return m_processed / (m_capacity * seconds()); }

double DemandFleet::exactShare(size_t workspace) const
{
    std::vector<Routing::ShareRequest> requests;
    for (size_t index = 0; index < m_counts.size(); ++index)
        requests.push_back({ m_counts[index].requested,
            m_options.weightOf ? m_options.weightOf(Routing::shortHash(workspaceName(index))) : 1 });
    auto level = Routing::fairLevel(requests, m_capacity * seconds());
    const auto& [amount, weight] = requests[workspace];
    return level ? std::min(amount, weight * *level) : amount;
}

double DemandFleet::meanKeptPart(size_t first) const
{
    double sum = 0;
    for (size_t workspace = first; workspace < m_counts.size(); ++workspace)
        sum += m_counts[workspace].admitted / exactShare(workspace);
    return sum / static_cast<double>(m_counts.size() - first);
}

double DemandFleet::bytesOfBusiestRouter() const
{
    return std::max_element(m_routers.begin(), m_routers.end(), [](const auto& a, const auto& b) {
        return a.bytes < b.bytes;
    })->bytes;
}

void DemandFleet::resetCounts()
{
    m_counts.assign(m_counts.size(), {});
    m_countedSince = m_now;
    m_bytesSent = 0;
    m_processed = 0;
    for (auto& router : m_routers)
        router.bytes = 0;
}

void DemandFleet::runFor(Common::Milliseconds length)
{
    for (auto end = m_now + length; m_now < end; m_now += tick) {
        auto processed = std::min(m_queue, m_capacity * Common::toSeconds(tick));
        m_queue -= processed;
        m_processed += processed;
        while (!m_messages.empty() && m_messages.front().at <= m_now) {
            auto deliver = std::move(m_messages.front().deliver);
            m_messages.pop_front();
            deliver();
        }
        for (size_t router = 0; router < m_routers.size(); ++router) {
            if (!m_routers[router].isDead && m_routers[router].nextStep <= m_now)
                step(router);
        }
        arrive();
    }
}

// Exchange

bool DemandFleet::isConnected(size_t a, size_t b) const
{
    return !m_routers[a].isDead && !m_routers[b].isDead && !m_cutOff.contains(a) && !m_cutOff.contains(b);
}

void DemandFleet::send(size_t from, size_t to, size_t bytes, std::function<void()> deliver)
{
    m_bytesSent += static_cast<double>(bytes);
    m_routers[from].bytes += static_cast<double>(bytes);
    // All messages have the same latency, so the queue is in order.
    m_messages.push_back({ m_now + m_options.latency, [this, from, to, deliver = std::move(deliver)] {
                              if (isConnected(from, to))
                                  deliver();
                          } });
}

void DemandFleet::step(size_t index)
{
    auto& router = m_routers[index];
    router.nextStep += m_options.exchangeInterval;
    router.exchange->step(m_now);
    if (!isHub(index))
        return request(index, router.hub);
    auto message = std::make_shared<Inner::Wire::HubLoads>();
    router.exchange->addTo(*message, m_now);
    if (!message->has_demands())
        return;
    for (size_t hub = 0; hub < m_hubs; ++hub) {
        if (hub != index)
            send(index, hub, message->demands().ByteSizeLong(), [this, index, hub, message] {
                m_routers[hub].exchange->receive({ m_routers[index].id, 1 }, *message, m_now);
            });
    }
}

void DemandFleet::request(size_t from, size_t hub)
{
    auto message = std::make_shared<Inner::Wire::KnowledgeAsk>();
    m_routers[from].exchange->addTo(*message, m_routers[hub].id, m_now);
    if (!message->has_demands())
        return;
    send(from, hub, message->demands().ByteSizeLong(), [this, from, hub, message] {
        auto response = std::make_shared<Inner::Wire::Knowledge>();
        m_routers[hub].exchange->respond({ m_routers[from].id, 1 }, *message, *response, m_now);
        send(hub, from, response->demands().ByteSizeLong(), [this, from, hub, response] {
            m_routers[from].exchange->receive({ m_routers[hub].id, 1 }, *response, m_now);
        });
    });
}

void DemandFleet::kill(size_t index, Common::Milliseconds detection)
{
    m_routers[index].isDead = true;
    auto message = Message { m_now + detection, [this, index] {
                                for (auto& router : m_routers) {
                                    if (router.hub == index)
                                        router.hub = (index + 1) % m_hubs;
                                    router.exchange->forgetHub(m_routers[index].id);
                                }
                            } };
    auto position
        = std::find_if(m_messages.begin(), m_messages.end(), [&](const auto& other) { return other.at > message.at; });
    m_messages.insert(position, std::move(message));
}

// Callers

void DemandFleet::arrive()
{
    std::vector<size_t> arrivals; // Workspaces.
    auto usual = m_options.load * m_options.requestsPerSecond / static_cast<double>(m_options.workspaces.size());
    for (size_t workspace = 0; workspace < m_options.workspaces.size(); ++workspace) {
        auto mean = usual * m_options.workspaces[workspace] * Common::toSeconds(tick);
        if (mean <= 0)
            continue;
        arrivals.insert(arrivals.end(), std::poisson_distribution<size_t>(mean)(m_random), workspace);
    }
    // The order decides who meets a full queue.
    std::shuffle(arrivals.begin(), arrivals.end(), m_random);
    for (auto workspace : arrivals) {
        auto tokens = std::uniform_int_distribution<uint64_t>(meanTokens / 2, meanTokens * 3 / 2)(m_random);
        auto router = m_callers[workspace](m_random);
        while (m_routers[router].isDead)
            router = m_callers[workspace](m_random);
        serve(router, workspace, tokens);
    }
}

void DemandFleet::serve(size_t router, size_t workspace, uint64_t tokens)
{
    auto& shares = *m_routers[router].shares;
    auto name = workspaceName(workspace);
    WorkspaceShares::Work work { s_service, name, 0, tokens };
    auto& count = m_counts[workspace];
    count.requested += static_cast<double>(tokens);
    shares.recordDemand(work, m_now);
    bool asks = m_options.usesShares && (m_options.alwaysAsks || m_queue > shortQueueSeconds * m_capacity);
    if (asks && shares.isOverShare(Routing::shortHash(s_service), Routing::shortHash(name), 0, m_now)) {
        count.refusedOverShare += static_cast<double>(tokens);
        return shares.recordRefused(work, m_now);
    }
    if (m_queue + static_cast<double>(tokens) > fullQueueSeconds * m_capacity)
        return shares.recordRefused(work, m_now);
    m_queue += static_cast<double>(tokens);
    count.admitted += static_cast<double>(tokens);
    shares.recordAdmitted(work, m_now);
}

} // namespace Brassladder::RouteServing::Gateway
