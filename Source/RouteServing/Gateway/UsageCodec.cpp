// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UsageCodec.h"

#include "Common/Log.h"

#include <limits>
#include <map>
#include <optional>

namespace Brassladder::RouteServing::Gateway {

using Duties::RouterUsage;

void encodeUsage(std::span<const RouterUsage> usages, Inner::Wire::UsageTable& table)
{
    std::map<std::string, uint32_t> indexes;
    for (const auto& usage : usages) {
        auto& router = *table.add_routers();
        router.set_id(usage.router.id);
        router.set_incarnation(usage.router.incarnation);
        router.set_first_whole(usage.firstCompleteWindow);
        router.set_open(usage.openWindow);
        auto first = usage.rows.empty() ? 0 : usage.rows.front().window;
        for (const auto& row : usage.rows)
            first = std::min(first, row.window);
        router.set_first_window(first);
        for (const auto& row : usage.rows) {
            auto [index, isNew] = indexes.emplace(row.workspace, static_cast<uint32_t>(indexes.size()));
            if (isNew)
                table.add_workspaces(row.workspace);
            router.add_windows(static_cast<uint32_t>(row.window - first));
            router.add_workspaces(index->second);
            router.add_counts(
                static_cast<uint32_t>(std::min<uint64_t>(row.count, std::numeric_limits<uint32_t>::max())));
        }
    }
}

static std::optional<RouterUsage> decodeRouter(
    const Inner::Wire::RouterUsage& router, const Inner::Wire::UsageTable& table)
{
    auto rows = router.windows_size();
    if (router.workspaces_size() != rows || router.counts_size() != rows || router.id().empty())
        return std::nullopt;
    RouterUsage usage { { router.id(), router.incarnation() }, router.first_whole(), router.open(), {} };
    for (int row = 0; row < rows; ++row) {
        auto workspace = router.workspaces(row);
        if (workspace >= static_cast<uint32_t>(table.workspaces_size()))
            return std::nullopt;
        usage.rows.push_back({ router.first_window() + router.windows(row),
            table.workspaces(static_cast<int>(workspace)), router.counts(row) });
    }
    return usage;
}

std::vector<RouterUsage> decodeUsage(const Inner::Wire::UsageTable& table)
{
    std::vector<RouterUsage> usages;
    for (const auto& router : table.routers()) {
        if (auto usage = decodeRouter(router, table))
            usages.push_back(std::move(*usage));
        else
            Common::log(Common::LogLevel::Warning, "gateway", "usage.unreadable", { { "router", router.id() } });
    }
    return usages;
}

} // namespace Brassladder::RouteServing::Gateway
