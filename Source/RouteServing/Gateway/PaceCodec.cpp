// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PaceCodec.h"

#include "Common/Log.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Bounds of the sums of one engine. A thousand generations of one engine take 1,000 s in the second that the sums
// describe, and an engine prefills at most a few hundred tokens in a millisecond.
static constexpr double maxMilliseconds = 1000000;
static constexpr double maxTokens = 10000000;
// Rows with less observed time than this describe nothing.
static constexpr double minMilliseconds = 5;

static uint32_t encodeSum(double value, double max)
{
    return static_cast<uint32_t>(std::llround(std::clamp(value, 0.0, max)));
}

uint32_t encodePaces(
    const Routing::PacesByUpstream& paces, uint32_t first, Common::TimePoint now, Inner::Wire::PaceTable& table)
{
    std::vector<std::pair<uint32_t, Routing::PaceSums>> rows;
    for (const auto& [upstream, sums] : paces) {
        if (auto recent = sums.decayedTo(now); recent.milliseconds() >= minMilliseconds)
            rows.emplace_back(upstream, recent);
    }
    std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    auto start = std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.first >= first; });
    std::rotate(rows.begin(), start, rows.end());
    auto count = std::min(rows.size(), maxPaceRows);
    for (size_t row = 0; row < count; ++row) {
        const auto& [upstream, sums] = rows[row];
        table.add_upstreams(upstream);
        table.add_prefill_tokens(encodeSum(sums.prefillTokens, maxTokens));
        table.add_prefill_ms(encodeSum(sums.prefillMilliseconds, maxMilliseconds));
        table.add_decode_tokens(encodeSum(sums.decodeTokens, maxTokens));
        table.add_decode_ms(encodeSum(sums.decodeMilliseconds, maxMilliseconds));
    }
    return count < rows.size() ? rows[count].first : 0;
}

// Sets the sums of one kind of work if both are plausible.
static void decodeWork(uint32_t encodedTokens, uint32_t encodedMilliseconds, double& tokens, double& milliseconds)
{
    if (!encodedTokens || !encodedMilliseconds)
        return;
    tokens = std::min<double>(encodedTokens, maxTokens);
    milliseconds = std::min<double>(encodedMilliseconds, maxMilliseconds);
}

Routing::PacesByUpstream decodePaces(const Inner::Wire::PaceTable& table, Common::TimePoint now)
{
    auto rows = table.upstreams_size();
    bool isReadable = table.prefill_tokens_size() == rows && table.prefill_ms_size() == rows
        && table.decode_tokens_size() == rows && table.decode_ms_size() == rows;
    if (!isReadable) {
        Common::log(Common::LogLevel::Warning, "gateway", "paces.unreadable", { { "rows", rows } });
        return {};
    }
    Routing::PacesByUpstream paces;
    for (int row = 0; row < rows; ++row) {
        Routing::PaceSums sums;
        decodeWork(table.prefill_tokens(row), table.prefill_ms(row), sums.prefillTokens, sums.prefillMilliseconds);
        decodeWork(table.decode_tokens(row), table.decode_ms(row), sums.decodeTokens, sums.decodeMilliseconds);
        sums.at = now;
        if (sums.milliseconds() > 0)
            paces[table.upstreams(row)] = sums;
    }
    return paces;
}

} // namespace Brassladder::RouteServing::Gateway
