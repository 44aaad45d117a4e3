// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/WorkspaceShares.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/Upstream.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Brassladder::RouteServing::Routing {

using Common::TimePoint;

// Cost of one decoded token in prompt tokens, as in EnginePlacement.
static constexpr uint64_t promptTokensPerOutputToken = 10;
// A rank is short of capacity if more than this part of its work is refused.
static constexpr double minRefusedPart = 0.01;
// How far the divided capacity may be above or below the admitted work.
static constexpr double maxHeadroom = 0.02;
// Refused part of workspaces within their shares at which the divided capacity is the admitted work.
static constexpr double refusedPartWithoutHeadroom = 0.01;
// Some requests of each workspace are admitted, even if nothing of its rank was admitted recently.
static constexpr double minFraction = 0.01;
// A limit above this fraction is within the error of the estimates and is not reported as a change.
static constexpr double maxReportedFraction = 0.95;
// After a start, nothing is limited for this long: the first requests say little about the shares.
static constexpr Common::Milliseconds minObservation { 2000 };
// A workspace is reported as no longer limited after this time without a limit.
static constexpr Common::Milliseconds unlimitedDelay { 5000 };
// Multiples of the golden ratio modulo 1 are evenly spread for each number of them.
static constexpr double goldenRatioFraction = 0.6180339887498949;

void addLoads(WorkspaceDemands& sum, const WorkspaceDemands& added)
{
    // Both tables are in order, so the position after the last row is usually the next one.
    auto position = sum.rows.begin();
    for (const auto& [key, tokens] : added.rows) {
        position = sum.rows.try_emplace(position, key, 0);
        position->second += tokens;
        ++position;
    }
}

static bool isReserved(uint32_t workspace) { return workspace < reservedRows; }

static DemandKey rowOf(DemandKey key, RowKind kind) { return { key.service, static_cast<uint32_t>(kind), key.rank }; }

WorkspaceDemands foldSmallRows(WorkspaceDemands demands, size_t maxRows)
{
    std::vector<std::pair<uint64_t, DemandKey>> bySize;
    for (const auto& [key, tokens] : demands.rows) {
        if (!isReserved(key.workspace))
            bySize.emplace_back(tokens, key);
    }
    if (bySize.size() <= maxRows)
        return demands;
    std::sort(bySize.begin(), bySize.end(), std::greater<>());
    for (size_t index = maxRows; index < bySize.size(); ++index) {
        const auto& [tokens, key] = bySize[index];
        demands.rows[rowOf(key, RowKind::Folded)] += tokens;
        demands.rows.erase(key);
    }
    return demands;
}

uint64_t demandTokens(const Prompt& prompt)
{
    return uint64_t { prompt.tokens } + prompt.maxOutputTokens * promptTokensPerOutputToken;
}

std::optional<double> fairLevel(std::vector<ShareRequest> requests, double capacity)
{
    auto relative = [](const auto& request) { return request.amount / request.weight; };
    std::sort(
        requests.begin(), requests.end(), [&](const auto& a, const auto& b) { return relative(a) < relative(b); });
    double weights = 0;
    for (const auto& request : requests)
        weights += request.weight;
    for (const auto& request : requests) {
        if (relative(request) * weights > capacity)
            return std::max(0.0, capacity) / weights;
        capacity -= request.amount;
        weights -= request.weight;
    }
    return std::nullopt;
}

bool RankWork::isShort() const { return refused + limited > minRefusedPart * (admitted + refused + limited); }

double RankWork::capacityToDivide() const
{
    if (admitted <= 0)
        return 0;
    auto refusedPart = refused / admitted;
    return admitted * (1 + maxHeadroom * std::max(-1.0, 1 - refusedPart / refusedPartWithoutHeadroom));
}

void DecayedRate::add(double amount, TimePoint now)
{
    m_sum = std::max(0.0, perSecond(now) * Common::toSeconds(timeConstant) + amount);
    m_at = now;
}

double DecayedRate::perSecond(TimePoint now) const
{
    auto constant = Common::toSeconds(timeConstant);
    return m_sum * std::exp(-std::max(0.0, Common::toSeconds(now - m_at)) / constant) / constant;
}

WorkspaceShares::WorkspaceShares(std::string_view routerId, WeightOf weightOf)
    : m_seed(Common::stableHash(routerId))
    , m_weightOf(weightOf ? std::move(weightOf) : [](uint32_t) { return 1.0; })
{
}

// Moves a hash out of the range of the reserved rows.
uint32_t WorkspaceShares::workspaceKey(uint32_t hash) { return isReserved(hash) ? hash + reservedRows : hash; }

DemandKey WorkspaceShares::keyOf(const Work& work)
{
    return { shortHash(work.service), workspaceKey(shortHash(work.workspace)), work.rank };
}

// Records

void WorkspaceShares::add(DemandKey key, double tokens, TimePoint now) { m_own[key].rate.add(tokens, now); }

void WorkspaceShares::recordDemand(const Work& work, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!m_firstRecord)
        m_firstRecord = now;
    auto& row = m_own[keyOf(work)];
    row.rate.add(static_cast<double>(work.tokens), now);
    if (row.service.empty()) {
        row.service = work.service;
        row.workspace = work.workspace;
    }
}

void WorkspaceShares::recordAdmitted(const Work& work, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    add(rowOf(keyOf(work), RowKind::Admitted), static_cast<double>(work.tokens), now);
}

void WorkspaceShares::withdrawAdmitted(const Work& work, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    add(rowOf(keyOf(work), RowKind::Admitted), -static_cast<double>(work.tokens), now);
}

void WorkspaceShares::recordRefused(const Work& work, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto key = keyOf(work);
    auto kind = fractionLocked(key, now) < 1 ? RowKind::Limited : RowKind::Refused;
    add(rowOf(key, kind), static_cast<double>(work.tokens), now);
}

// Decisions

double WorkspaceShares::fractionLocked(DemandKey key, TimePoint now) const
{
    bool isKnown
        = m_updatedAt && now - *m_updatedAt < maxShareAge && m_firstRecord && now - *m_firstRecord >= minObservation;
    auto shares = m_shares.find({ key.service, key.rank });
    if (!isKnown || shares == m_shares.end())
        return 1;
    const auto& [limits, listed, foldedFraction] = shares->second;
    if (auto limit = limits.find(key.workspace); limit != limits.end())
        return limit->second.fraction;
    return listed.contains(key.workspace) ? 1 : foldedFraction;
}

double WorkspaceShares::admittedFraction(uint32_t service, uint32_t workspace, unsigned rank, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return fractionLocked({ service, workspaceKey(workspace), rank }, now);
}

bool WorkspaceShares::isOverShare(uint32_t service, uint32_t workspace, unsigned rank, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    DemandKey key { service, workspaceKey(workspace), rank };
    auto fraction = fractionLocked(key, now);
    if (fraction >= 1)
        return false;
    auto [counter, isNew] = m_counters.try_emplace(key, 0);
    if (isNew)
        counter->second = Common::stableHash(std::to_string(key.service) + "/" + std::to_string(key.workspace), m_seed)
            % std::numeric_limits<uint32_t>::max();
    auto position = static_cast<double>(counter->second++) * goldenRatioFraction;
    return position - std::floor(position) >= fraction;
}

// Shares

WorkspaceDemands WorkspaceShares::ownDemandsLocked(TimePoint now)
{
    WorkspaceDemands demands;
    std::erase_if(m_own, [&](const auto& each) { return each.second.rate.perSecond(now) < 1; });
    for (const auto& [key, row] : m_own)
        demands.rows[key] = static_cast<uint64_t>(row.rate.perSecond(now));
    return demands;
}

WorkspaceDemands WorkspaceShares::ownDemands(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    return ownDemandsLocked(now);
}

// Moves rows of this router into the folded row if the others have folded that workspace: the table knows only a part
// of what such a workspace requests.
static WorkspaceDemands foldUnlisted(const WorkspaceDemands& own, const WorkspaceDemands& others)
{
    WorkspaceDemands result;
    for (const auto& [key, tokens] : own.rows) {
        auto foldedRow = rowOf(key, RowKind::Folded);
        bool isFolded = !isReserved(key.workspace) && !others.rows.contains(key) && others.rows.contains(foldedRow);
        result.rows[isFolded ? foldedRow : key] += tokens;
    }
    return result;
}

WorkspaceShares::RankShares WorkspaceShares::sharesOf(const std::map<uint32_t, uint64_t>& rows) const
{
    auto amountOf = [&](RowKind kind) {
        auto row = rows.find(static_cast<uint32_t>(kind));
        return row == rows.end() ? 0.0 : static_cast<double>(row->second);
    };
    RankShares shares;
    std::vector<ShareRequest> requests;
    double smallest = std::numeric_limits<double>::max();
    for (auto row = rows.lower_bound(reservedRows); row != rows.end(); ++row) {
        auto amount = static_cast<double>(row->second);
        shares.listed.insert(row->first);
        requests.push_back({ amount, m_weightOf(row->first) });
        smallest = std::min(smallest, amount);
    }
    // Folded workspaces are at most as large as the smallest one with a row, so they are taken to be as large.
    auto folded = amountOf(RowKind::Folded);
    if (folded > 0 && !requests.empty())
        requests.push_back({ folded, std::max(1.0, folded / smallest) });
    RankWork work { amountOf(RowKind::Admitted), amountOf(RowKind::Refused), amountOf(RowKind::Limited) };
    if (requests.size() < 2 || !work.isShort())
        return shares;
    auto level = fairLevel(requests, work.capacityToDivide());
    if (!level)
        return shares;
    auto fractionOf = [&](const ShareRequest& request) {
        return std::clamp(request.weight * *level / request.amount, minFraction, 1.0);
    };
    size_t index = 0;
    for (auto row = rows.lower_bound(reservedRows); row != rows.end(); ++row, ++index) {
        const auto& request = requests[index];
        auto fraction = fractionOf(request);
        if (request.amount > 0 && fraction < 1)
            shares.limits[row->first] = { fraction, request.amount, request.weight * *level };
    }
    if (folded > 0)
        shares.foldedFraction = fractionOf(requests.back());
    return shares;
}

void WorkspaceShares::update(const WorkspaceDemands& others, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto total = foldUnlisted(ownDemandsLocked(now), others);
    addLoads(total, others);
    std::map<RankKey, std::map<uint32_t, uint64_t>> byRank;
    for (const auto& [key, tokens] : total.rows)
        byRank[{ key.service, key.rank }][key.workspace] = tokens;
    m_shares.clear();
    for (const auto& [rank, rows] : byRank)
        m_shares[rank] = sharesOf(rows);
    m_updatedAt = now;
    std::erase_if(m_counters, [&](const auto& each) { return !m_own.contains(each.first); });
    recordChanges(now);
}

void WorkspaceShares::recordChanges(TimePoint now)
{
    for (const auto& [key, row] : m_own) {
        auto shares = m_shares.find({ key.service, key.rank });
        if (isReserved(key.workspace) || shares == m_shares.end() || fractionLocked(key, now) > maxReportedFraction)
            continue;
        auto limit = shares->second.limits.find(key.workspace);
        if (limit == shares->second.limits.end())
            continue;
        auto [reported, isNew] = m_reported.try_emplace(key, Reported { row.service, row.workspace, now });
        reported->second.lastLimited = now;
        if (isNew)
            m_changes.push_back(
                { row.service, row.workspace, key.rank, true, limit->second.requested, limit->second.share });
    }
    std::erase_if(m_reported, [&](const auto& each) {
        const auto& [key, reported] = each;
        if (now - reported.lastLimited < unlimitedDelay)
            return false;
        m_changes.push_back({ reported.service, reported.workspace, key.rank, false, 0, 0 });
        return true;
    });
}

std::vector<WorkspaceShares::Change> WorkspaceShares::takeChanges()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_changes, {});
}

size_t WorkspaceShares::limitedCount(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    if (!m_updatedAt || now - *m_updatedAt >= maxShareAge)
        return 0;
    size_t count = 0;
    for (const auto& [rank, shares] : m_shares)
        count += shares.limits.size();
    return count;
}

} // namespace Brassladder::RouteServing::Routing
