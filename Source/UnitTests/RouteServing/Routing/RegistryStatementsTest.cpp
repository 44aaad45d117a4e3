// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamRegistry.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

// Statements of upstreams take precedence over the other state of the registry.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

UpstreamRecord upstream(const std::string& id, uint64_t born = 0)
{
    UpstreamRecord record { id, "shop", { "127.0.0.1", 1 }, "north", 6, false };
    record.born = born;
    return record;
}

UpstreamRegistry::PlacementRequest request()
{
    UpstreamRegistry::PlacementRequest placementRequest;
    placementRequest.service = "shop";
    return placementRequest;
}

constexpr UpstreamStatement cooldownOfThreeSeconds { false, 3s };
constexpr UpstreamStatement leaving { true, std::nullopt };

} // namespace

TEST(RegistryStatementsTest, AnUpstreamInCooldownIsNeverChosen)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1"), upstream("u2") });
    registry.recordStatement(upstream("u1"), cooldownOfThreeSeconds, s_now);
    for (int draw = 0; draw < 50; ++draw)
        EXPECT_EQ(registry.choose(request(), s_now)->upstream.id, "u2");
    registry.recordStatement(upstream("u2"), { false, 1s }, s_now);
    EXPECT_FALSE(registry.choose(request(), s_now + 999ms));
    EXPECT_EQ(registry.earliestCooldownEnd(request(), s_now), s_now + 1s);
    EXPECT_EQ(registry.cooldownCount(s_now), 2U);
    EXPECT_EQ(registry.choose(request(), s_now + 1s)->upstream.id, "u2");
}

// An ejection is a heuristic and may be ignored; a cooldown may not.
TEST(RegistryStatementsTest, AnEjectedUpstreamIsPreferredToOneInCooldown)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1"), upstream("u2") });
    auto placement = *registry.choose(request(), s_now);
    registry.recordStart(placement);
    registry.recordEnd(placement, false, AttemptOutcome::ConnectFailed, s_now);
    auto ejected = placement.upstream.id;
    auto other = upstream(ejected == "u1" ? "u2" : "u1");
    EXPECT_EQ(registry.choose(request(), s_now)->upstream.id, other.id);
    registry.recordStatement(other, cooldownOfThreeSeconds, s_now);
    EXPECT_EQ(registry.choose(request(), s_now)->upstream.id, ejected);
}

// Statements of a process still apply if it is removed from the list and listed again as not leaving.
TEST(RegistryStatementsTest, NoListOverridesAStatement)
{
    for (const auto& statement : { cooldownOfThreeSeconds, leaving }) {
        UpstreamRegistry registry("north");
        registry.setUpstreams({ upstream("u1", 1000) });
        registry.recordStatement(upstream("u1", 1000), statement, s_now);
        registry.setUpstreams({});
        registry.setUpstreams({ upstream("u1", 1000) });
        EXPECT_FALSE(registry.choose(request(), s_now + 2s));
        EXPECT_FALSE(registry.permitSend(upstream("u1", 1000), s_now + 2s));
        EXPECT_EQ(registry.isServing("u1"), !statement.isLeaving);
        registry.setUpstreams({ upstream("u1", 2000) });
        EXPECT_TRUE(registry.choose(request(), s_now + 2s)) << "another incarnation has made no statement";
        EXPECT_TRUE(registry.isServing("u1"));
    }
}

// An upstream may start a cooldown after it was chosen, while the router connects or waits for another attempt.
TEST(RegistryStatementsTest, ACooldownThatStartsAfterTheChoicePreventsThePermit)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    auto placement = *registry.choose(request(), s_now);
    EXPECT_TRUE(registry.permitSend(placement.upstream, s_now));
    registry.recordStatement(upstream("u1"), cooldownOfThreeSeconds, s_now);
    EXPECT_FALSE(registry.permitSend(placement.upstream, s_now + 2999ms));
    EXPECT_TRUE(registry.permitSend(placement.upstream, s_now + 3s));
}

// Routers compare lists by digest. If a statement changed the digest of the router that received it, that router would
// exchange its list with the others repeatedly.
TEST(RegistryStatementsTest, AStatementDoesNotChangeTheDigest)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    auto digest = registry.digest();
    registry.recordStatement(upstream("u1"), leaving, s_now);
    EXPECT_EQ(registry.digest(), digest);
    EXPECT_FALSE(registry.upstreams().front().leaving);
}

// Random histories of lists, failures, refusals and cooldowns: no upstream that is leaving or in a cooldown is chosen
// or gets a permit.
TEST(RegistryStatementsTest, NothingOverridesAStatementInRandomHistories)
{
    bool holds = rc::check("statements hold", [] {
        UpstreamRegistry registry("north");
        std::map<std::string, Common::TimePoint> cooldownEnds;
        std::map<std::string, bool> leaves;
        std::vector<std::string> ids { "u1", "u2", "u3" };
        std::set<std::string> listed;
        auto list = [&](const std::vector<std::string>& next) {
            std::vector<UpstreamRecord> records;
            records.reserve(next.size());
            for (const auto& id : next)
                records.push_back(upstream(id));
            registry.setUpstreams(std::move(records));
            listed = { next.begin(), next.end() };
        };
        list(ids);
        auto now = s_now;
        for (int step = 0; step < 100; ++step) {
            now += Common::Milliseconds(*rc::gen::inRange(0, 400));
            auto id = *rc::gen::elementOf(ids);
            switch (*rc::gen::inRange(0, 6)) {
            case 0: {
                auto time = Common::Milliseconds(*rc::gen::inRange(0, 2000));
                registry.recordStatement(upstream(id), { false, time }, now);
                cooldownEnds[id] = std::max(cooldownEnds[id], now + time);
                break;
            }
            case 1:
                if (*rc::gen::inRange(0, 10) == 0) {
                    registry.recordStatement(upstream(id), leaving, now);
                    leaves[id] = true;
                }
                break;
            case 2:
                list({ id });
                break;
            case 3:
                list(ids);
                break;
            default:
                if (auto placement = registry.choose(request(), now)) {
                    RC_ASSERT(now >= cooldownEnds[placement->upstream.id]);
                    RC_ASSERT(!leaves[placement->upstream.id]);
                    registry.recordStart(*placement);
                    auto outcome = *rc::gen::element(AttemptOutcome::Answered, AttemptOutcome::NotExecuted,
                        AttemptOutcome::Interrupted, AttemptOutcome::ConnectFailed, AttemptOutcome::Withheld);
                    registry.recordEnd(*placement, false, outcome, now);
                }
            }
            for (const auto& each : ids)
                RC_ASSERT(registry.permitSend(upstream(each), now).has_value()
                    == (now >= cooldownEnds[each] && !leaves[each] && listed.contains(each)));
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace Brassladder::RouteServing::Routing
