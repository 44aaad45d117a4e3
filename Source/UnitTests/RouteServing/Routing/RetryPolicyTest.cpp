// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/ConnectionPolicy.h"
#include "RouteServing/Routing/RetryPolicy.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::ErrorKind;
using Common::Ran;

namespace {

constexpr std::array s_allOutcomes { AttemptOutcome::ConnectFailed, AttemptOutcome::CancelledBeforeSending,
    AttemptOutcome::NotExecuted, AttemptOutcome::Interrupted, AttemptOutcome::CancelledAfterSending,
    AttemptOutcome::ServerError, AttemptOutcome::Answered, AttemptOutcome::Withheld };

Route routeOf(RouteKind kind, bool isResumable = false)
{
    Route route;
    route.kind = kind;
    route.isResumable = isResumable;
    route.maxAttempts = 2;
    return route;
}

// The decision after these outcomes, before the deadline.
RetryDecision decideAfter(const Route& route, std::vector<AttemptOutcome> outcomes, bool hasRelayedEvents = false)
{
    AttemptHistory history;
    for (auto outcome : outcomes)
        history.record(outcome);
    return decideRetry(route, history, outcomes.back(), hasRelayedEvents, false);
}

} // namespace

TEST(AttemptOutcomeTest, TheLogFieldStatesWhetherTheRequestRan)
{
    std::vector<std::string_view> labels;
    labels.reserve(s_allOutcomes.size());
    for (auto outcome : s_allOutcomes)
        labels.push_back(fateLabel(outcome));
    EXPECT_EQ(labels,
        (std::vector<std::string_view> {
            "not_sent", "not_sent", "refused", "maybe_ran", "maybe_ran", "ran", "ran", "not_sent" }));
}

// Covers all pairs of outcomes.
TEST(RetryPolicyTest, ARequestThatMustRunOnceIsNotSentAgainOnceItMayHaveRun)
{
    for (const auto& route : { routeOf(RouteKind::OnceOnly), routeOf(RouteKind::Stream) }) {
        for (auto first : s_allOutcomes) {
            for (auto second : s_allOutcomes) {
                bool mayHaveRun = ranAfter(first) != Ran::No || ranAfter(second) != Ran::No;
                auto decision = decideAfter(route, { first, second });
                if (mayHaveRun) {
                    EXPECT_EQ(decision, RetryDecision::GiveUp) << fateLabel(first) << " " << fateLabel(second);
                }
            }
        }
    }
}

TEST(RetryPolicyTest, ARequestThatDidNotRunIsRetriedOnAnyKindOfRoute)
{
    for (const auto& route : { routeOf(RouteKind::OnceOnly), routeOf(RouteKind::Repeatable) }) {
        EXPECT_EQ(decideAfter(route, { AttemptOutcome::NotExecuted }), RetryDecision::RetryWithinBudget);
        EXPECT_EQ(decideAfter(route, { AttemptOutcome::ConnectFailed }), RetryDecision::Retry);
        EXPECT_EQ(decideAfter(route, { AttemptOutcome::Withheld }), RetryDecision::Retry) << "nothing was sent";
        EXPECT_EQ(
            decideAfter(route, { AttemptOutcome::NotExecuted, AttemptOutcome::NotExecuted }), RetryDecision::GiveUp)
            << "the route allows two attempts";
    }
}

TEST(RetryPolicyTest, ARepeatableRequestIsRetriedAfterAnyFailure)
{
    for (const auto& route : { routeOf(RouteKind::Repeatable), routeOf(RouteKind::Stream, true) }) {
        EXPECT_EQ(decideAfter(route, { AttemptOutcome::Interrupted }), RetryDecision::RetryWithinBudget);
        EXPECT_EQ(decideAfter(route, { AttemptOutcome::ServerError }), RetryDecision::RetryWithinBudget);
    }
}

TEST(RetryPolicyTest, ConnectionsThatFailDoNotUseUpTheAttemptsOfTheRoute)
{
    std::vector<AttemptOutcome> outcomes;
    for (int failures = 1; failures <= 4; ++failures) {
        outcomes.push_back(AttemptOutcome::ConnectFailed);
        EXPECT_EQ(decideAfter(routeOf(RouteKind::OnceOnly), outcomes), RetryDecision::Retry) << failures;
    }
    outcomes.push_back(AttemptOutcome::ConnectFailed);
    EXPECT_EQ(decideAfter(routeOf(RouteKind::OnceOnly), outcomes), RetryDecision::GiveUp);
    EXPECT_EQ(decideAfter(routeOf(RouteKind::OnceOnly), { AttemptOutcome::ConnectFailed, AttemptOutcome::NotExecuted }),
        RetryDecision::RetryWithinBudget);
}

// Before the first event there may be no replica, and an engine without one might run the request again.
TEST(RetryPolicyTest, ARunFailsOverOnlyAfterItsFirstEvent)
{
    auto route = routeOf(RouteKind::Stream);
    EXPECT_EQ(decideAfter(route, { AttemptOutcome::Interrupted }, false), RetryDecision::GiveUp);
    EXPECT_EQ(decideAfter(route, { AttemptOutcome::Interrupted }, true), RetryDecision::FailOver);
    EXPECT_EQ(
        decideAfter(route, { AttemptOutcome::Interrupted, AttemptOutcome::ConnectFailed }, true), RetryDecision::GiveUp)
        << "the engine with the replica cannot be reached";
}

TEST(RetryPolicyTest, NothingIsRetriedPastTheDeadline)
{
    AttemptHistory history;
    history.record(AttemptOutcome::ConnectFailed);
    EXPECT_EQ(decideRetry(routeOf(RouteKind::Repeatable), history, AttemptOutcome::ConnectFailed, false, true),
        RetryDecision::GiveUp);
}

TEST(RetryPolicyTest, NotRunErrorKindsAreUsedOnlyForRequestsThatDidNotRun)
{
    AttemptHistory notRun;
    notRun.record(AttemptOutcome::NotExecuted);
    EXPECT_EQ(refusalAfterFailure(notRun, AttemptOutcome::NotExecuted, false, "p").kind, ErrorKind::UpstreamRefused);
    EXPECT_EQ(refusalAfterFailure(notRun, AttemptOutcome::ConnectFailed, true, "p").kind, ErrorKind::NoUpstream);
    AttemptHistory mayHaveRun;
    mayHaveRun.record(AttemptOutcome::Interrupted);
    EXPECT_EQ(refusalAfterFailure(mayHaveRun, AttemptOutcome::NotExecuted, false, "p").kind, ErrorKind::UpstreamBroken);
    EXPECT_EQ(refusalAfterFailure(mayHaveRun, AttemptOutcome::Interrupted, true, "p").kind, ErrorKind::UpstreamTimeout);
    for (const auto& row : Common::errorTable()) {
        EXPECT_EQ(reportableKind(row.kind, false), row.kind);
        EXPECT_NE(Common::traits(reportableKind(row.kind, true)).ran, Ran::No) << row.name;
    }
}

TEST(ConnectionPolicyTest, TheConnectTimeoutFollowsTheObjectiveWithinItsBounds)
{
    Route route;
    for (auto [objective, timeout] : { std::pair(10ms, 50ms), std::pair(200ms, 100ms), std::pair(9000ms, 500ms) }) {
        route.objective = objective;
        EXPECT_EQ(connectTimeout(route), timeout);
    }
    EXPECT_EQ(maxIdleTime(routeOf(RouteKind::OnceOnly)), 1000ms);
    EXPECT_EQ(maxIdleTime(routeOf(RouteKind::Repeatable)), Common::Milliseconds::max());
}

// Guards against a delay of a second, which would miss shorter objectives although another upstream can take the
// request.
TEST(RetryPolicyTest, RetryAfterIsShorterWhileAnotherUpstreamIsHealthy)
{
    EXPECT_EQ(retryAfterRefusal(true), 50ms);
    EXPECT_EQ(retryAfterRefusal(false), 1000ms);
}

} // namespace Brassladder::RouteServing::Routing
