// SPDX-License-Identifier: Apache-2.0
// Compares policies for requests that arrive while upstreams are in cooldown, and for the return of traffic afterwards.
// The simulation runs on virtual time with the product's upstream registry. docs/design/upstream-rest.md lists the
// results.
#include "Common/Precompiled.h"

#include "RouteServing/Routing/NoUpstreamPolicy.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <cstdio>
#include <map>
#include <memory>
#include <random>

using namespace Brassladder;
using namespace Brassladder::RouteServing::Routing;
using namespace std::chrono_literals;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

enum class AllCoolingPolicy { Refuse, Hold };
enum class ReturnMode { AllAtOnce, Spread, OneFirst };
constexpr const char* allCoolingPolicyNames[] { "refuse", "hold" };
constexpr const char* returnModeNames[] { "all at once", "spread", "one first" };

struct Scenario {
    size_t routers { 6 };
    double coolingShare { 0.3 }; // Fraction of all upstreams.
    Milliseconds rest { 1000 };
    double load { 0.5 }; // Fraction of the total upstream capacity.
    AllCoolingPolicy allCoolingPolicy { AllCoolingPolicy::Refuse };
    ReturnMode returnMode { ReturnMode::OneFirst };
    Milliseconds serviceTime { 30 };
};

// Each upstream has `slots` slots and a queue of the same length. There are two upstreams per router. The comparison
// of return modes uses a longer service time, which limits the number of events in large fleets.
constexpr unsigned slots = 6;
constexpr unsigned upstreamCapacity = 2 * slots;
constexpr auto hop = 2ms;
// In multiples of the service time.
constexpr int objective = 10;
constexpr int deadline = 50;
constexpr auto exchangeInterval = 100ms;
constexpr TimePoint start(1h);
constexpr TimePoint cooldownStart = start + 2s;
constexpr auto length = 12s;
// Large fleets simulate a shorter time because each seed takes minutes.
constexpr size_t largeFleet = 60;
constexpr auto largeFleetLength = 4s;

struct Outcome {
    size_t requests { 0 };
    size_t inTime { 0 };
    size_t served { 0 };
    size_t refusedAtUpstreams { 0 };
    size_t refusedAfterReturn { 0 }; // Refused by upstreams after the end of the cooldown.
};

// Alternative policy that the product does not use: returns the time until which a router holds a request, or nullopt
// if the earliest cooldown ends later than half of the objective.
std::optional<TimePoint> holdUntil(
    TimePoint arrived, Milliseconds objectiveTime, std::optional<TimePoint> earliestCooldownEnd)
{
    constexpr int holdableParts = 2;
    if (!earliestCooldownEnd || *earliestCooldownEnd > arrived + objectiveTime / holdableParts)
        return std::nullopt;
    return earliestCooldownEnd;
}

class Simulation {
public:
    Simulation(const Scenario& scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_upstreams(2 * scenario.routers)
    {
        std::vector<UpstreamRecord> records;
        for (size_t index = 0; index < m_upstreams.size(); ++index)
            records.push_back({ std::to_string(index), "shop", { "127.0.0.1", 1 }, "north", slots, false });
        for (size_t router = 0; router < scenario.routers; ++router) {
            m_registries.push_back(std::make_unique<UpstreamRegistry>("north"));
            m_registries.back()->setUpstreams(records);
        }
    }

    Outcome run()
    {
        at(start, [this] { arrive(); });
        at(start, [this] { exchange(); });
        while (!m_events.empty() && m_events.begin()->first < start + end()) {
            m_now = m_events.begin()->first;
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        return m_outcome;
    }

private:
    struct Request {
        TimePoint first;
        TimePoint arrived; // At the current router.
        size_t router { 0 };
        bool isReturn { false };
        std::vector<std::string> attempted;
    };
    struct Upstream {
        unsigned running { 0 };
    };

    TimePoint deadlineOf(const Request& request) const { return request.first + deadline * m_scenario.serviceTime; }
    bool isLarge() const { return m_scenario.routers >= largeFleet; }
    Common::Duration end() const { return isLarge() ? largeFleetLength : length; }
    void at(TimePoint when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    size_t someRouter() { return m_random() % m_registries.size(); }
    bool isCoolingDown(size_t upstream) const
    {
        auto resting = m_scenario.coolingShare * static_cast<double>(m_upstreams.size());
        return static_cast<double>(upstream) < resting && m_now >= cooldownStart
            && m_now < cooldownStart + m_scenario.rest;
    }

    void arrive()
    {
        double perSecond = m_scenario.load * static_cast<double>(m_upstreams.size() * slots)
            / Common::toSeconds(Common::Duration(m_scenario.serviceTime));
        auto gap = std::exponential_distribution<double>(perSecond)(m_random);
        at(m_now + Common::Duration(static_cast<int64_t>(gap * 1e9)), [this] { arrive(); });
        ++m_outcome.requests;
        place(std::make_shared<Request>(Request { m_now, m_now, someRouter(), false, {} }));
    }

    void exchange()
    {
        LoadsByUpstream sum;
        for (auto& registry : m_registries)
            addLoads(sum, registry->ownLoads());
        for (auto& registry : m_registries) {
            auto others = sum;
            for (const auto& [upstream, load] : registry->ownLoads())
                others[upstream].requests -= load.requests;
            registry->setPeerLoads(std::move(others));
        }
        at(m_now + exchangeInterval, [this] { exchange(); });
    }

    static UpstreamRegistry::PlacementRequest placementOf(const Request& request)
    {
        UpstreamRegistry::PlacementRequest placement;
        placement.service = "shop";
        placement.attempted = request.attempted;
        return placement;
    }

    void place(const std::shared_ptr<Request>& request)
    {
        if (m_now >= deadlineOf(*request))
            return;
        auto& registry = *m_registries[request->router];
        auto placement = registry.choose(placementOf(*request), m_now);
        if (!placement)
            return withoutUpstream(request);
        registry.recordStart(*placement);
        request->attempted.push_back(placement->upstream.id);
        at(m_now + hop, [this, request, placement = *placement] { arriveAtUpstream(request, placement); });
    }

    void withoutUpstream(const std::shared_ptr<Request>& request)
    {
        auto& registry = *m_registries[request->router];
        auto earliestCooldownEnd = registry.earliestCooldownEnd(placementOf(*request), m_now);
        auto until = holdUntil(request->arrived, objective * m_scenario.serviceTime, earliestCooldownEnd);
        if (m_scenario.allCoolingPolicy == AllCoolingPolicy::Hold && until)
            return at(std::min<TimePoint>(*until, m_now + 20ms) + 1ms, [this, request] { place(request); });
        refuseRequest(request, noUpstreamRefusal({ earliestCooldownEnd, std::nullopt }, false, m_now).retryAfter);
    }

    // The caller retries once, at a random router. It waits for at most a third of its remaining time (PROTOCOL,
    // "Answers").
    void refuseRequest(const std::shared_ptr<Request>& request, Milliseconds retryAfter)
    {
        if (request->isReturn)
            return;
        auto left = Common::toMilliseconds(deadlineOf(*request) - m_now);
        auto wait = std::min(retryAfter.count() ? retryAfter : 1000ms, left / 3) + 2 * hop;
        at(m_now + wait, [this, request] {
            request->isReturn = true;
            request->arrived = m_now;
            request->router = someRouter();
            request->attempted.clear();
            place(request);
        });
    }

    void arriveAtUpstream(const std::shared_ptr<Request>& request, const UpstreamRegistry::Placement& placement)
    {
        auto index = std::stoul(placement.upstream.id);
        auto& upstream = m_upstreams[index];
        bool isFull = upstream.running >= upstreamCapacity;
        if (isCoolingDown(index) || isFull) {
            ++m_outcome.refusedAtUpstreams;
            m_outcome.refusedAfterReturn += m_now >= cooldownStart + m_scenario.rest;
            bool requestsCooldown = isCoolingDown(index);
            return at(m_now + hop,
                [this, request, placement, requestsCooldown] { refused(request, placement, requestsCooldown); });
        }
        auto wait = upstream.running < slots ? Milliseconds(0) : m_scenario.serviceTime;
        ++upstream.running;
        at(m_now + wait + m_scenario.serviceTime, [this, request, placement, index] {
            --m_upstreams[index].running;
            at(m_now + hop, [this, request, placement] { served(*request, placement); });
        });
    }

    void refused(
        const std::shared_ptr<Request>& request, const UpstreamRegistry::Placement& placement, bool requestsCooldown)
    {
        auto& registry = *m_registries[request->router];
        if (requestsCooldown) {
            auto rest = m_scenario.rest;
            if (m_scenario.returnMode == ReturnMode::Spread)
                rest += Milliseconds(static_cast<int64_t>(draw() * 0.25 * static_cast<double>(rest.count())));
            registry.recordStatement(placement.upstream, { false, rest }, m_now);
            // Recording a response disables the single trial request after the cooldown.
            if (m_scenario.returnMode != ReturnMode::OneFirst)
                registry.recordResponse(placement.upstream);
        }
        registry.recordEnd(placement, false, AttemptOutcome::NotExecuted, m_now);
        constexpr size_t maxAttempts = 2;
        if (request->attempted.size() < maxAttempts)
            return place(request);
        refuseRequest(request, 1000ms);
    }

    void served(const Request& request, const UpstreamRegistry::Placement& placement)
    {
        auto& registry = *m_registries[request.router];
        registry.recordResponse(placement.upstream);
        registry.recordEnd(placement, false, AttemptOutcome::Answered, m_now);
        m_outcome.served += m_now <= deadlineOf(request);
        m_outcome.inTime += m_now <= request.first + objective * m_scenario.serviceTime;
    }

    const Scenario m_scenario;
    std::mt19937 m_random;
    std::vector<Upstream> m_upstreams;
    std::vector<std::unique_ptr<UpstreamRegistry>> m_registries;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now {};
    Outcome m_outcome;
};

void print(const Scenario& scenario)
{
    Outcome sum;
    const unsigned seeds = scenario.routers < largeFleet ? 3 : 1;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        auto outcome = Simulation(scenario, seed).run();
        sum.requests += outcome.requests;
        sum.inTime += outcome.inTime;
        sum.served += outcome.served;
        sum.refusedAtUpstreams += outcome.refusedAtUpstreams;
        sum.refusedAfterReturn += outcome.refusedAfterReturn;
    }
    auto share = [&](size_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(sum.requests); };
    std::printf("%7zu %5.1f %8lld %5.2f  %-7s %-12s %8.2f %8.2f %10.2f %14.2f\n", scenario.routers,
        scenario.coolingShare, static_cast<long long>(scenario.rest.count()), scenario.load,
        allCoolingPolicyNames[static_cast<size_t>(scenario.allCoolingPolicy)],
        returnModeNames[static_cast<size_t>(scenario.returnMode)], share(sum.inTime), share(sum.served),
        share(sum.refusedAtUpstreams), share(sum.refusedAfterReturn));
}

} // namespace

int main()
{
    std::printf("routers share cooldown  load  policy  return       in time%%  served%%   refused%%  after return%%\n");
    for (double share : { 0.3, 0.6, 1.0 })
        for (auto rest : { 300ms, 1000ms, 3000ms })
            for (double load : { 0.3, 0.8 })
                for (auto policy : { AllCoolingPolicy::Refuse, AllCoolingPolicy::Hold })
                    print({ 6, share, rest, load, policy, ReturnMode::OneFirst });
    for (size_t routers : { 6, 88, 300 })
        for (double load : { 0.3 })
            for (auto mode : { ReturnMode::AllAtOnce, ReturnMode::Spread, ReturnMode::OneFirst })
                print({ routers, 1.0, 1000ms, load, AllCoolingPolicy::Refuse, mode, 300ms });
    return 0;
}
