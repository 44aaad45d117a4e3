// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamSubset.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace Brassladder::RouteServing::Routing {

namespace {

using Demand = UpstreamSubset::Demand;

std::vector<UpstreamRecord> engines(size_t count)
{
    std::vector<UpstreamRecord> records;
    for (size_t number = 0; number < count; ++number)
        records.push_back({ "engine-" + std::to_string(number), "model", { "127.0.0.1", 1 },
            "domain-" + std::to_string(number % 5), 32, false });
    return records;
}

std::set<std::string> idsOf(std::span<const UpstreamRecord> records)
{
    std::set<std::string> ids;
    for (const auto& record : records)
        ids.insert(record.id);
    return ids;
}

std::set<std::string> selectFrom(std::span<const UpstreamRecord> records, const Demand& demand)
{
    return idsOf(UpstreamSubset().select(records, [&](auto) { return demand; }));
}

} // namespace

// Guards against state, messages and decisions of a router that grow with the upstreams of the fleet.
TEST(UpstreamSubsetTest, TheSubsetFollowsTheRoutersAndNotTheUpstreams)
{
    for (size_t routers : { 30U, 300U, 1000U, 3000U }) {
        auto size = selectFrom(engines(10 * routers), { routers }).size();
        EXPECT_EQ(size, selectFrom(engines(30 * routers), { routers }).size()) << routers;
        EXPECT_GE(size, std::min(routers, 10 * routers)) << routers;
        EXPECT_LE(size, std::max(UpstreamSubset::minSize, 2 * routers)) << routers;
    }
}

TEST(UpstreamSubsetTest, ASmallServiceUsesAllUpstreams)
{
    EXPECT_EQ(selectFrom(engines(UpstreamSubset::minSize), { 6 }).size(), UpstreamSubset::minSize);
}

// Guards against a fleet that keeps using few upstreams while these are full.
TEST(UpstreamSubsetTest, TheSubsetGrowsWithTheLoadBeforeItsSlotsAreTaken)
{
    auto records = engines(8000);
    for (double outstanding : { 0.0, 5'000.0, 20'000.0, 60'000.0 }) {
        auto size = static_cast<double>(selectFrom(records, { 300, outstanding }).size());
        EXPECT_GE(32 * size, 4 * outstanding) << outstanding;
    }
}

// Guards against a list that changes with each variation of the load.
TEST(UpstreamSubsetTest, TheSubsetShrinksOnlyWhenAQuarterOfItWouldDo)
{
    Demand high { 300, 6'000, 32 };
    auto size = UpstreamSubset::nextSize(0, high);
    EXPECT_EQ(size, 1024U);
    EXPECT_EQ(UpstreamSubset::nextSize(size, { 300, 0, 32 }), size) << "300 is more than a quarter";
    EXPECT_EQ(UpstreamSubset::nextSize(size, { 30, 0, 32 }), UpstreamSubset::minSize);
}

// Routers may see different loads or fleet sizes for a moment; each prefix must still be cached at the same engines.
TEST(UpstreamSubsetTest, ALargerSubsetContainsASmallerOne)
{
    auto records = engines(5000);
    auto smaller = selectFrom(records, { 300 });
    auto larger = selectFrom(records, { 2000 });
    EXPECT_LT(smaller.size(), larger.size());
    EXPECT_TRUE(std::includes(larger.begin(), larger.end(), smaller.begin(), smaller.end()));
}

TEST(UpstreamSubsetTest, EveryFailureDomainHasItsShare)
{
    auto records = engines(10'000);
    std::map<std::string, size_t> perDomain;
    for (const auto& record : UpstreamSubset().select(records, [](auto) { return Demand { 985 }; }))
        ++perDomain[record.failureDomain];
    ASSERT_EQ(perDomain.size(), 5U);
    for (const auto& [domain, count] : perDomain)
        EXPECT_NEAR(static_cast<double>(count), 1024 / 5.0, 50) << domain;
}

// Guards against a subset that runs empty while its upstreams are replaced, and against a leaving upstream that is
// missing from the list instead of marked.
TEST(UpstreamSubsetTest, LeavingUpstreamsAreReplacedAndRemainMarked)
{
    auto records = engines(3000);
    auto before = selectFrom(records, { 300 });
    for (auto& record : records) {
        if (before.contains(record.id) && record.failureDomain == "domain-1")
            record.leaving = true;
        if (before.contains(record.id) && record.failureDomain == "domain-2")
            record.evacuated = true;
    }
    auto selected = UpstreamSubset().select(records, [](auto) { return Demand { 300 }; });
    auto after = idsOf(selected);
    EXPECT_TRUE(std::includes(after.begin(), after.end(), before.begin(), before.end()));
    EXPECT_EQ(std::count_if(selected.begin(), selected.end(),
                  [](const auto& record) { return !record.leaving && !record.evacuated; }),
        512);
}

// The fleet counts the engines of such a service to decide how many to order.
TEST(UpstreamSubsetTest, AServiceWhoseUpstreamsTheFleetOrdersUsesAllOfThem)
{
    Demand demand { 300 };
    demand.isScaled = true;
    EXPECT_EQ(selectFrom(engines(3000), demand).size(), 3000U);
}

} // namespace Brassladder::RouteServing::Routing
