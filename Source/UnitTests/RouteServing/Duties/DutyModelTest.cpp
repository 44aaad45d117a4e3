// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Duties/Lease.h"

#include <deque>
#include <gtest/gtest.h>
#include <sstream>
#include <unordered_set>

// Explores all interleavings, up to a depth, of two routers that compete for the duties and report one usage window.
// The response to an append or call may be lost, or the append or call may be executed late. A router may stop. Time
// may pass between any two steps; a router that takes no step in the meantime models a paused process.
//
// Violations are detected in the tokens of both routers and in the calls that the platform receives. Further tests
// disable one of the `Guards` each; the search must then find the violation that it prevents.
namespace Brassladder::RouteServing::Duties {

using namespace std::chrono_literals;
using Step = Lease::Step;

namespace {

constexpr Common::TimePoint s_start(1h);
constexpr auto s_tick = 1500ms; // Half of a lease duration.
constexpr uint64_t s_window = 7;

struct Guards {
    bool appendsConditionally { true };
    bool readsAfterUncertainAppend { true };
    bool delaysReclaim { true };
    bool writesBeforeSending { true };
    bool tracksEras { true };
};

struct Limits {
    size_t depth { 0 };
    int ticks { 0 };
    size_t lostOrLate { 2 }; // Limit for appends and calls whose response is lost or that are executed late.
    uint64_t eras { 0 }; // Limit for restores of the store.
};

// Description of a violated invariant; empty if there is none.
using Violation = std::string;

class Model {
public:
    explicit Model(const Guards& guards)
        : m_guards(guards)
    {
        auto times = LeaseTimes::fromDurationAndMargin(3000ms, 300ms);
        if (!guards.delaysReclaim)
            times.reclaimDelay = 0ms;
        // Both routers started well before the test.
        m_routers.push_back({ Lease(times, "a", 1, s_start - 1min), false, std::nullopt });
        m_routers.push_back({ Lease(times, "b", 2, s_start - 1min), false, std::nullopt });
    }

    // Returns all states that one action leads to.
    std::vector<Model> next(const Limits& limits) const
    {
        std::vector<Model> states;
        auto add = [&](const auto& change) {
            Model state = *this;
            if (change(state))
                states.push_back(std::move(state));
        };
        if (m_ticks < limits.ticks)
            add([](Model& state) { return ++state.m_ticks; });
        for (size_t router = 0; router < m_routers.size(); ++router) {
            if (!m_routers[router].isStopping && m_stops == 0)
                add([&](Model& state) { return state.stop(router); });
            for (auto delivery : { Delivery::Answered, Delivery::ResponseLost, Delivery::Late }) {
                if (delivery != Delivery::Answered && m_lostOrLate >= limits.lostOrLate)
                    continue;
                add([&](Model& state) { return state.stepRouter(router, delivery); });
                add([&](Model& state) { return state.reportWindow(router, delivery); });
            }
        }
        for (size_t copyEnd = 0; m_era < limits.eras && copyEnd < m_log.size(); ++copyEnd)
            add([&](Model& state) { return state.restoreFromCopy(copyEnd); });
        for (size_t index = 0; index < m_lateAppends.size(); ++index)
            add([&](Model& state) { return state.performLateAppend(index); });
        for (size_t index = 0; index < m_lateCalls.size(); ++index)
            add([&](Model& state) { return state.performLateCall(index); });
        return states;
    }

    const Violation& violation() const { return m_violation; }

    // Equal for states with the same future behaviour.
    std::string key() const
    {
        std::ostringstream out;
        out << m_era << ' ' << m_ticks << ' ' << m_stops << ' ' << m_lostOrLate << ' ' << m_highestToken << '|';
        for (const auto& logged : m_log)
            out << describe(*logged.record) << ';';
        for (const auto& router : m_routers) {
            const auto& state = router.lease.state();
            out << '|' << router.isStopping << state.end.era << ' ' << state.end.offset << ' '
                << (state.eraFirstReadAt ? ticksOf(*state.eraFirstReadAt) : -1) << state.mustReclaim << ' '
                << state.mustRead << ticksOf(state.newestSeen) << ' ' << ticksOf(state.readStarted) << ' '
                << ticksOf(state.validFrom) << ' '
                << (state.unresolvedAppendAt ? ticksOf(*state.unresolvedAppendAt) : -1) << ' '
                << (state.lastHeld ? ticksOf(*state.lastHeld) : -1) << ' '
                << (state.newest ? describe(*state.newest) : "") << (router.written ? *router.written : 0);
        }
        for (const auto& late : m_lateAppends)
            out << '|' << late.router << late.expectedEnd << describe(late.record);
        for (const auto& late : m_lateCalls)
            out << '|' << late.router << ' ' << late.token << ' ' << late.count;
        out << '|' << (m_accepted ? *m_accepted : 0);
        for (const auto& call : m_acceptedCalls)
            out << '|' << call.router << ticksOf(call.at);
        for (const auto& [token, router] : m_tokens)
            out << '|' << token << ' ' << router;
        return out.str();
    }

private:
    enum class Delivery { Answered, ResponseLost, Late };
    struct Router {
        Lease lease;
        bool isStopping { false };
        std::optional<uint64_t> written; // The window's count in the log, as read by this router.
    };
    struct LateAppend {
        size_t router { 0 };
        DutyRecord record;
        uint64_t expectedEnd { 0 };
    };
    struct Call {
        size_t router { 0 };
        uint64_t token { 0 };
        uint64_t count { 0 };
    };
    struct AcceptedCall {
        size_t router { 0 };
        Common::TimePoint at;
    };

    static std::string describe(const DutyRecord& record) { return keyOf(record) + encode(record); }
    static int64_t ticksOf(Common::TimePoint at) { return (at - s_start) / s_tick; }
    Common::TimePoint now() const { return s_start + m_ticks * s_tick; }
    Lease::Situation situation(const Router& router) const { return { true, router.isStopping }; }

    bool stop(size_t router)
    {
        ++m_stops;
        return m_routers[router].isStopping = true;
    }

    bool stepRouter(size_t index, Delivery delivery)
    {
        auto& router = m_routers[index];
        auto step = router.lease.nextStep(situation(router), now());
        if (step == Step::Wait)
            return false;
        if (step == Step::Read)
            return delivery == Delivery::Answered && read(router);
        return append(index, router.lease.recordFor(step), delivery);
    }

    bool read(Router& router)
    {
        auto era = m_guards.tracksEras ? m_era : 0;
        bool isWhole = router.lease.state().end.era != era;
        auto from = isWhole ? 0 : std::min<size_t>(router.lease.end(), m_log.size());
        auto before = key();
        auto records = std::span(m_log).subspan(from);
        router.lease.recordRead(records, { era, m_log.size() }, now(), now());
        for (const auto& logged : records)
            recordWritten(router, *logged.record);
        return key() != before;
    }

    static void recordWritten(Router& router, const DutyRecord& record)
    {
        const auto* window = std::get_if<WindowRecord>(&record);
        if (window && !router.written)
            router.written = window->counts.at("blue");
    }

    bool append(size_t index, const DutyRecord& record, Delivery delivery)
    {
        auto& router = m_routers[index];
        router.lease.recordSent(now());
        auto expectedEnd = router.lease.end();
        bool isLost = delivery != Delivery::Answered;
        m_lostOrLate += isLost;
        if (delivery == Delivery::Late)
            m_lateAppends.push_back({ index, record, expectedEnd });
        bool isDone = delivery != Delivery::Late && store(record, expectedEnd);
        // The response contains the era, so the router detects that its append is lost.
        isLost |= m_guards.tracksEras && m_era != router.lease.state().end.era;
        if ((isDone && !isLost) || (isLost && !m_guards.readsAfterUncertainAppend)) {
            router.lease.recordAppended(record);
            recordWritten(router, record);
        } else {
            router.lease.recordAppendUncertain();
        }
        return true;
    }

    // Restores the store from a copy that ends at `copyEnd`. Pending appends are lost.
    bool restoreFromCopy(size_t copyEnd)
    {
        ++m_era;
        m_log.resize(copyEnd);
        m_lateAppends.clear();
        // The restore loses the logged count. A report of a different count afterwards is not a violation.
        m_accepted.reset();
        return true;
    }

    bool store(const DutyRecord& record, uint64_t expectedEnd)
    {
        if (m_guards.appendsConditionally && expectedEnd != m_log.size())
            return false;
        m_log.push_back({ m_log.size(), record });
        return true;
    }

    bool performLateAppend(size_t index)
    {
        auto late = m_lateAppends[index];
        m_lateAppends.erase(m_lateAppends.begin() + static_cast<ptrdiff_t>(index));
        store(late.record, late.expectedEnd);
        return true;
    }

    // If the router is the holder, appends or sends the count of the window.
    bool reportWindow(size_t index, Delivery delivery)
    {
        auto& router = m_routers[index];
        auto token = router.lease.token(now());
        if (!token || router.lease.nextStep(situation(router), now()) != Step::Wait)
            return false;
        for (size_t other = 0; other < m_routers.size(); ++other) {
            const auto& lease = m_routers[other].lease;
            bool mayAct = lease.token(now()) && lease.nextStep(situation(m_routers[other]), now()) == Step::Wait;
            if (m_era && other != index && mayAct)
                m_violation = "two routers may act as holder at the same time";
        }
        // The counts of the two routers differ.
        auto ownCount = 10 + index;
        if (m_guards.writesBeforeSending && !router.written)
            return append(index, WindowRecord { *token, s_window, { { "blue", ownCount } } }, delivery);
        Call call { index, *token, m_guards.writesBeforeSending ? *router.written : ownCount };
        m_lostOrLate += delivery != Delivery::Answered;
        if (delivery == Delivery::Late)
            m_lateCalls.push_back(call);
        else
            receive(call);
        return true;
    }

    bool performLateCall(size_t index)
    {
        auto late = m_lateCalls[index];
        m_lateCalls.erase(m_lateCalls.begin() + static_cast<ptrdiff_t>(index));
        receive(late);
        return true;
    }

    // Models a call that the platform executes: rejects tokens below the highest one and checks invariants.
    void receive(const Call& call)
    {
        auto [token, isNew] = m_tokens.emplace(call.token, call.router);
        if (!isNew && token->second != call.router) {
            m_violation = "two holders use the same token";
            return;
        }
        if (call.token < m_highestToken)
            return;
        m_highestToken = call.token;
        if (m_accepted && *m_accepted != call.count)
            m_violation = "two different reports of one window were accepted";
        m_accepted = call.count;
        m_acceptedCalls.push_back({ call.router, now() });
        if (m_acceptedCalls.size() > 3)
            m_acceptedCalls.pop_front();
        bool hasReturned = m_acceptedCalls.size() == 3 && m_acceptedCalls[0].router == m_acceptedCalls[2].router
            && m_acceptedCalls[0].router != m_acceptedCalls[1].router
            && m_acceptedCalls[2].at - m_acceptedCalls[0].at < 3000ms;
        if (hasReturned)
            m_violation = "the duties returned to a former holder within one lease duration";
    }

    Guards m_guards;
    std::vector<Router> m_routers;
    std::vector<LoggedRecord> m_log;
    uint64_t m_era { 0 };
    std::vector<LateAppend> m_lateAppends;
    std::vector<Call> m_lateCalls;
    std::deque<AcceptedCall>
        m_acceptedCalls; // The last three accepted calls, for the detection of alternating holders.
    std::map<uint64_t, size_t> m_tokens; // Sender of each token.
    uint64_t m_highestToken { 0 };
    std::optional<uint64_t> m_accepted;
    int m_ticks { 0 };
    size_t m_stops { 0 };
    size_t m_lostOrLate { 0 };
    Violation m_violation;
};

struct Outcome {
    Violation violation;
    size_t states { 0 };
    size_t depth { 0 };
};

Outcome explore(const Guards& guards, const Limits& limits)
{
    Outcome outcome;
    std::unordered_set<std::string> seen;
    std::vector<Model> level { Model(guards) };
    while (!level.empty() && outcome.depth < limits.depth) {
        ++outcome.depth;
        std::vector<Model> nextLevel;
        for (const auto& state : level) {
            for (auto& next : state.next(limits)) {
                if (!next.violation().empty()) {
                    outcome.violation = next.violation();
                    outcome.states = seen.size();
                    return outcome;
                }
                if (!seen.insert(next.key()).second)
                    continue;
                nextLevel.push_back(std::move(next));
            }
        }
        level = std::move(nextLevel);
    }
    outcome.states = seen.size();
    return outcome;
}

} // namespace

TEST(DutyModelTest, NoInterleavingViolatesAnInvariantWithOneLostOrLateResponse)
{
    auto outcome = explore({}, { 10, 3, 1 });
    EXPECT_EQ(outcome.violation, "");
    EXPECT_EQ(outcome.depth, 10U);
    RecordProperty("states", std::to_string(outcome.states));
    EXPECT_GT(outcome.states, 10'000U);
}

// The depth suffices for a takeover after which the new holder releases the lease.
TEST(DutyModelTest, NoInterleavingViolatesAnInvariantWhenAllResponsesArrive)
{
    auto outcome = explore({}, { 16, 3, 0 });
    EXPECT_EQ(outcome.violation, "");
    EXPECT_EQ(outcome.depth, 16U);
}

TEST(DutyModelTest, NoInterleavingViolatesAnInvariantWhenTheStoreIsRestored)
{
    auto outcome = explore({}, { 11, 3, 0, 1 });
    EXPECT_EQ(outcome.violation, "");
    EXPECT_GT(outcome.states, 10'000U);
}

TEST(DutyModelTest, WithoutErasTwoHoldersActAtOnceOrShareAToken)
{
    Guards guards;
    guards.tracksEras = false;
    auto violation = explore(guards, { 11, 3, 0, 1 }).violation;
    EXPECT_TRUE(
        violation == "two routers may act as holder at the same time" || violation == "two holders use the same token")
        << violation;
}

TEST(DutyModelTest, WithoutConditionalAppendsTwoHoldersShareAToken)
{
    Guards guards;
    guards.appendsConditionally = false;
    EXPECT_EQ(explore(guards, { 9, 1, 0 }).violation, "two holders use the same token");
}

TEST(DutyModelTest, WithoutAReadAfterAnUnansweredAppendTwoHoldersShareAToken)
{
    Guards guards;
    guards.readsAfterUncertainAppend = false;
    EXPECT_EQ(explore(guards, { 9, 1, 1 }).violation, "two holders use the same token");
}

TEST(DutyModelTest, WithoutAReclaimDelayTheLeaseAlternatesBetweenHolders)
{
    Guards guards;
    guards.delaysReclaim = false;
    EXPECT_EQ(
        explore(guards, { 16, 3, 0 }).violation, "the duties returned to a former holder within one lease duration");
}

TEST(DutyModelTest, WithoutLoggingCountsFirstReportsOfOneWindowDiffer)
{
    Guards guards;
    guards.writesBeforeSending = false;
    EXPECT_EQ(explore(guards, { 10, 2, 1 }).violation, "two different reports of one window were accepted");
}

} // namespace Brassladder::RouteServing::Duties
