// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/FragilityExchange.h"

#include "Common/Log.h"
#include "RouteServing/Gateway/SnapshotCodec.h"

#include <cmath>

namespace Brassladder::RouteServing::Gateway {

void FragilityExchange::encode(Inner::Wire::FragilityTable& table, Common::TimePoint now) const
{
    for (const auto& known : m_registry.fragile().known()) {
        table.add_upstreams(known.key);
        table.add_tolerances(static_cast<uint32_t>(std::llround(known.rate.perSecond * encodedUnitsPerRate)));
        table.add_stated_ages_ms(encodeEventTime(known.rate.statedAt, now));
        table.add_unstated_ages_ms(encodeEventTime(known.rate.unstatedRequestSentAt, now));
    }
}

void FragilityExchange::merge(const Inner::Wire::FragilityTable& table, Common::TimePoint sent) const
{
    auto rows = table.upstreams_size();
    if (table.tolerances_size() != rows || table.stated_ages_ms_size() != rows || table.unstated_ages_ms_size() != rows)
        return Common::log(Common::LogLevel::Warning, "gateway", "fragility.unreadable", { { "rows", rows } });
    for (int row = 0; row < rows; ++row)
        m_registry.fragile().merge(
            table.upstreams(row),
            { table.tolerances(row) / encodedUnitsPerRate, decodeEventTime(table.stated_ages_ms(row), sent),
                decodeEventTime(table.unstated_ages_ms(row), sent) },
            [this](uint32_t key) { return m_registry.serviceOf(key); }, Common::now());
}

} // namespace Brassladder::RouteServing::Gateway
