// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/PauseSampler.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

static constexpr Common::TimePoint s_start(1h);

static UpstreamRecord engineRecord(const std::string& id, uint64_t born = 1)
{
    UpstreamRecord record;
    record.id = id;
    record.service = "model";
    record.born = born;
    return record;
}

// Three engines of one service; each observation is ten tokens of decoding.
class EnginePacesTest : public testing::Test {
protected:
    EnginePacesTest()
    {
        for (uint32_t engine = 1; engine <= 3; ++engine)
            m_paces.setEngine(engine, engineRecord("e" + std::to_string(engine)));
    }

    // Records ten observations a second of each engine with the given times, and updates the estimates.
    void observe(std::vector<Common::Milliseconds> times, Common::Milliseconds length)
    {
        for (auto end = m_now + length; m_now < end; m_now += 100ms) {
            for (uint32_t engine = 1; engine <= times.size(); ++engine)
                m_paces.recordDecode(engine, 10, times[engine - 1], m_now);
            m_paces.update({}, m_now);
        }
    }
    double slowdown(uint32_t engine) const { return m_paces.slowdownOf(engine, m_now); }

    EnginePaces m_paces;
    Common::TimePoint m_now { s_start };
};

// Guards against a placement that avoids or prefers engines about which nothing is known.
TEST_F(EnginePacesTest, AnEngineWithoutObservationsCountsAsAverage)
{
    EXPECT_EQ(slowdown(1), 1);
    EXPECT_FALSE(m_paces.servicePace("model", m_now));
    m_paces.recordDecode(99, 10, 100ms, m_now);
    m_paces.update({}, m_now);
    EXPECT_EQ(slowdown(99), 1) << "the engine is not registered";
    observe({ 50ms }, 1000ms);
    EXPECT_EQ(slowdown(2), 1);
    EXPECT_NEAR(m_paces.servicePace("model", m_now)->millisecondsPerDecodedToken, 5, 0.1);
    EXPECT_FALSE(m_paces.servicePace("other", m_now));
}

// Guards against an estimate that depends on how much work an engine did.
TEST_F(EnginePacesTest, SlowdownsAreRelativeToTheAverageEngine)
{
    observe({ 50ms, 100ms, 150ms }, 5000ms);
    EXPECT_NEAR(slowdown(1), 0.5, 0.02);
    EXPECT_NEAR(slowdown(2), 1, 0.02);
    EXPECT_NEAR(slowdown(3), 1.5, 0.03);
    auto range = m_paces.ranges(m_now).at("model");
    EXPECT_EQ(range.engines, 3U);
    EXPECT_LT(range.least, range.median);
    EXPECT_LT(range.median, range.greatest);
}

// Guards against a decision by a single observation.
TEST_F(EnginePacesTest, FewObservationsPullTheEstimateTowardsOne)
{
    observe({ 100ms, 100ms, 100ms }, 3000ms);
    m_paces.setEngine(4, engineRecord("e4"));
    m_paces.recordDecode(4, 10, 600ms, m_now);
    m_now += 1s;
    m_paces.update({}, m_now);
    EXPECT_GT(slowdown(4), 1.5);
    EXPECT_LT(slowdown(4), 5) << "the tokens took six times the average";
}

// Guards against an engine that receives full load for seconds after it slowed down.
TEST_F(EnginePacesTest, AnAbruptChangeReplacesEarlierObservations)
{
    observe({ 100ms, 100ms, 100ms }, 20000ms);
    observe({ 100ms, 100ms, 400ms }, 1500ms);
    EXPECT_GT(slowdown(3) / slowdown(1), 2);
    observe({ 100ms, 100ms, 400ms }, 2000ms);
    EXPECT_NEAR(slowdown(3) / slowdown(1), 4, 0.5);
}

// Guards against an estimate that outlives its observations.
TEST_F(EnginePacesTest, EstimatesReturnToOneWithoutObservations)
{
    observe({ 100ms, 100ms, 400ms }, 5000ms);
    EXPECT_GT(slowdown(3), 1.5);
    m_now += 120s;
    m_paces.update({}, m_now);
    EXPECT_EQ(slowdown(3), 1);
}

// Guards against a restarted engine that is avoided because its earlier process was slow, also if the reports of
// routers that do not know about the restart arrive afterwards.
TEST_F(EnginePacesTest, ARestartedEngineStartsAtOne)
{
    observe({ 100ms, 100ms, 400ms }, 5000ms);
    auto reported = m_paces.ownSums(m_now);
    m_paces.setEngine(3, engineRecord("e3", 2));
    EXPECT_EQ(slowdown(3), 1);
    for (int step = 0; step < 10; ++step) {
        m_now += 100ms;
        m_paces.update(reported, m_now);
        EXPECT_EQ(slowdown(3), 1);
    }
    m_paces.setEngine(3, engineRecord("e3", 2));
    observe({ 100ms, 100ms, 100ms }, 5000ms);
    EXPECT_NEAR(slowdown(3), 1, 0.05);
}

// Guards against an engine with implausible times that changes the estimates of all others.
TEST_F(EnginePacesTest, ImplausibleTimesAreBounded)
{
    observe({ 100ms, 100ms, 100ms }, 2000ms);
    observe({ 100ms, 100ms, 100000ms }, 5000ms);
    EXPECT_LE(slowdown(3), maxSlowdown);
    EXPECT_GE(slowdown(1), minSlowdown);
    EXPECT_NEAR(slowdown(1), slowdown(2), 0.05);
    observe({ 100ms, 100ms, 0ms }, 20000ms);
    EXPECT_GE(slowdown(3), minSlowdown);
    EXPECT_NEAR(slowdown(1), 1.4, 0.15) << "the average includes the implausible engine, bounded";
}

// Guards against a log line for each fluctuation, and against a change that is never logged.
TEST_F(EnginePacesTest, AChangeByAFactorOfTwoIsReturnedOnce)
{
    observe({ 100ms, 100ms, 100ms }, 5000ms);
    EXPECT_TRUE(m_paces.takeChanges(10, m_now).empty());
    observe({ 100ms, 100ms, 600ms }, 5000ms);
    auto changes = m_paces.takeChanges(10, m_now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].upstream, "e3");
    EXPECT_GE(changes[0].slowdown, 2 * changes[0].before);
    EXPECT_TRUE(m_paces.takeChanges(10, m_now).empty());
}

// Guards against pauses beside the prefill of another prompt, which describe the prompt and not the engine.
TEST(PauseSamplerTest, PausesBesideAPrefillDoNotCount)
{
    PauseSampler pauses;
    auto now = s_start;
    std::optional<PauseSampler::Sample> sample;
    for (auto pause : { 0ms, 80ms, 20ms, 80ms, 20ms, 80ms, 80ms, 80ms }) {
        EXPECT_FALSE(sample);
        sample = pauses.recordEvents(1, now += pause);
    }
    ASSERT_TRUE(sample);
    EXPECT_EQ(sample->events, 6U);
    EXPECT_EQ(sample->perEvent, 20ms);
}

// Guards against an engine that appears to be fast because the router was slow to read its events.
TEST(PauseSamplerTest, EventsThatArriveTogetherShareThePauseBeforeThem)
{
    PauseSampler pauses;
    auto now = s_start;
    pauses.recordEvents(1, now);
    for (int read = 0; read < 3; ++read) {
        pauses.recordEvents(1, now += 100ms);
        pauses.recordEvents(4, now);
    }
    auto sample = pauses.finish();
    ASSERT_TRUE(sample);
    EXPECT_EQ(sample->perEvent, 20ms);
    EXPECT_FALSE(pauses.finish());
}

} // namespace Brassladder::RouteServing::Routing
