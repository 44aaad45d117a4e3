// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/DemandExchange.h"

#include "Common/Log.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Gateway {

using Common::TimePoint;
using Inner::Wire::DemandTable;
using Routing::WorkspaceDemands;

// How often the shares are recomputed. Reports arrive once a second.
static constexpr Common::Milliseconds updateInterval { 500 };
// At most `maxLinesPerWindow` changes are logged in each window; one line counts the others.
static constexpr Common::Milliseconds logWindow { 10'000 };
static constexpr size_t maxLinesPerWindow = 10;

static bool isDue(std::optional<TimePoint> last, Common::Milliseconds interval, TimePoint now)
{
    return !last || now - *last >= interval;
}

void encodeDemands(const WorkspaceDemands& demands, DemandTable& table)
{
    for (const auto& [key, tokens] : demands.rows) {
        table.add_services(key.service);
        table.add_workspaces(key.workspace);
        table.add_ranks(key.rank);
        table.add_tokens(static_cast<uint32_t>(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max())));
    }
}

std::optional<WorkspaceDemands> decodeDemands(const DemandTable& table)
{
    auto rows = table.services_size();
    if (table.workspaces_size() != rows || table.ranks_size() != rows || table.tokens_size() != rows) {
        Common::log(Common::LogLevel::Warning, "gateway", "demands.unreadable", { { "rows", rows } });
        return std::nullopt;
    }
    WorkspaceDemands demands;
    for (int row = 0; row < rows; ++row)
        demands.rows[{ table.services(row), table.workspaces(row), table.ranks(row) }] += table.tokens(row);
    return demands;
}

void DemandExchange::encode(WorkspaceDemands demands, DemandTable& table)
{
    encodeDemands(Routing::foldSmallRows(std::move(demands), maxRows), table);
    GatewayMetrics::demandsSent(static_cast<size_t>(table.services_size()), table.ByteSizeLong());
}

void DemandExchange::step(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!isDue(m_updated, updateInterval, now))
        return;
    m_updated = now;
    m_shares.update(m_sums.sumOfOthers(now), now);
    GatewayMetrics::limitedWorkspaces(m_shares.limitedCount(now));
    logChanges(now);
}

void DemandExchange::logChanges(TimePoint now)
{
    size_t leftOut = 0;
    if (now - m_logWindow >= logWindow) {
        m_logWindow = now;
        m_loggedInWindow = 0;
    }
    for (const auto& change : m_shares.takeChanges()) {
        if (++m_loggedInWindow > maxLinesPerWindow) {
            ++leftOut;
            continue;
        }
        Common::Json fields { { "workspace", change.workspace }, { "service", change.service },
            { "rank", change.rank } };
        if (change.isLimited) {
            fields["requested_tokens_per_s"] = static_cast<uint64_t>(change.requested);
            fields["share_tokens_per_s"] = static_cast<uint64_t>(change.share);
        }
        Common::log(Common::LogLevel::Info, "gateway", change.isLimited ? "workspace.limited" : "workspace.limit_ended",
            std::move(fields));
    }
    if (leftOut)
        Common::log(Common::LogLevel::Info, "gateway", "workspace.changes_left_out", { { "count", leftOut } });
}

// Messages

void DemandExchange::addTo(Inner::Wire::KnowledgeAsk& request, const std::string& hub, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (hub == m_askedHub && !isDue(m_asked, sendInterval, now))
        return;
    m_askedHub = hub;
    m_asked = now;
    encode(m_sums.sumWithSubscribers(m_shares.ownDemands(now), now, hub), *request.mutable_demands());
}

void DemandExchange::addTo(Inner::Wire::HubLoads& message, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!isDue(m_sentToHubs, sendInterval, now))
        return;
    m_sentToHubs = now;
    encode(m_sums.sumWithSubscribers(m_shares.ownDemands(now), now), *message.mutable_demands());
}

void DemandExchange::respond(const Inner::Mesh::Sender& subscriber, const Inner::Wire::KnowledgeAsk& request,
    Inner::Wire::Knowledge& response, TimePoint now)
{
    if (request.is_hub() || !request.has_demands())
        return;
    auto demands = decodeDemands(request.demands());
    std::lock_guard lock(m_mutex);
    if (demands)
        m_sums.recordSubscriber(subscriber.id, std::move(*demands), now);
    encode(m_sums.sumForSubscriber(subscriber.id, m_shares.ownDemands(now), now), *response.mutable_demands());
}

void DemandExchange::setSource(const std::string& hub)
{
    if (m_source == hub)
        return;
    m_sums.forgetHub(m_source);
    m_source = hub;
}

void DemandExchange::receive(const Inner::Mesh::Sender& hub, const Inner::Wire::Knowledge& snapshot, TimePoint now)
{
    if (!snapshot.has_demands())
        return;
    auto demands = decodeDemands(snapshot.demands());
    if (!demands)
        return;
    std::lock_guard lock(m_mutex);
    setSource(hub.id);
    m_sums.recordHub(hub.id, std::move(*demands), 1, now);
}

void DemandExchange::receive(const Inner::Mesh::Sender& hub, const Inner::Wire::HubLoads& message, TimePoint now)
{
    if (!message.has_demands())
        return;
    auto demands = decodeDemands(message.demands());
    if (!demands)
        return;
    std::lock_guard lock(m_mutex);
    setSource({});
    m_sums.recordHub(hub.id, std::move(*demands), 1, now);
}

void DemandExchange::forgetHub(const std::string& hub)
{
    std::lock_guard lock(m_mutex);
    m_sums.forgetHub(hub);
}

} // namespace Brassladder::RouteServing::Gateway
