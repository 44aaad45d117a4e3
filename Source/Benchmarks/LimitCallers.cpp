// SPDX-License-Identifier: Apache-2.0
// Compares policies for requests that arrive while no rate-limited upstream has quota left, and reports the results for
// callers. The simulation runs on virtual time with the product's upstream registry and quota exchange.
// docs/design/upstream-limit.md lists the results.
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/QuotaExchange.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace Brassladder;
using namespace Brassladder::RouteServing;
using namespace std::chrono_literals;
using Common::Milliseconds;
using Common::TimePoint;
using Routing::UpstreamRegistry;

namespace {

enum class RefusalPolicy { RefuseUntilDue, RefuseForASecond, Hold };
constexpr const char* policyNames[] { "refuse, until due", "refuse, one second", "hold" };

struct Scenario {
    double limitedShare { 0.5 }; // Fraction of all upstreams.
    double limit { 0.2 }; // Fraction of the previous load of each limited upstream.
    double load { 0.5 }; // Fraction of the total upstream capacity.
    RefusalPolicy policy { RefusalPolicy::RefuseUntilDue };
};

constexpr size_t routers = 6;
constexpr size_t upstreams = 12;
constexpr unsigned slots = 6;
constexpr auto serviceTime = 30ms;
constexpr auto hop = 2ms;
constexpr auto objective = 10 * serviceTime;
constexpr auto deadline = 50 * serviceTime;
constexpr auto stepInterval = 100ms;
constexpr auto holdPoll = 20ms;
constexpr TimePoint start(1h);
constexpr TimePoint limitedFrom = start + 2s;
constexpr TimePoint countedFrom = start + 4s;
constexpr TimePoint playEnd = start + 14s;
// Half of all requests belong to the more urgent rank.
constexpr size_t ranks = 2;

struct Outcome {
    size_t requests { 0 };
    size_t inTime { 0 };
    size_t served { 0 };
};

class Simulation {
public:
    Simulation(const Scenario& scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_running(upstreams)
    {
        std::vector<Routing::UpstreamRecord> records;
        for (size_t index = 0; index < upstreams; ++index)
            records.push_back({ std::to_string(index), "shop", { "127.0.0.1", 1 }, "north", slots, false });
        for (size_t index = 0; index < routers; ++index) {
            auto& router = m_routers.emplace_back();
            router.id = "r" + std::to_string(index);
            router.registry = std::make_unique<UpstreamRegistry>("north");
            router.registry->setUpstreams(records);
            router.exchange = std::make_unique<Gateway::QuotaExchange>(router.registry->quotas(), router.id, index + 1);
            at(start + index * 15ms, [this, index] { step(index); });
        }
    }

    std::array<Outcome, ranks> run()
    {
        at(start, [this] { arrive(); });
        at(start, [this] { exchangeLoads(); });
        while (!m_events.empty() && m_events.begin()->first < playEnd) {
            m_now = m_events.begin()->first;
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        return m_outcomes;
    }

private:
    struct Router {
        std::string id;
        std::unique_ptr<UpstreamRegistry> registry;
        std::unique_ptr<Gateway::QuotaExchange> exchange;
    };
    struct Request {
        TimePoint first;
        TimePoint arrived; // At the current router.
        size_t router { 0 };
        size_t rank { 0 };
        bool isReturn { false };
        bool isHeld { false };
        std::vector<std::string> attempted;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void at(TimePoint when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }
    double rate() const
    {
        return m_scenario.load * upstreams * slots / Common::toSeconds(Common::Duration(serviceTime));
    }
    std::optional<double> limitOf(size_t upstream) const
    {
        bool isLimited = static_cast<double>(upstream) < m_scenario.limitedShare * upstreams && m_now >= limitedFrom;
        return isLimited ? std::optional(m_scenario.limit * rate() / upstreams) : std::nullopt;
    }
    Outcome* outcomeOf(const Request& request)
    {
        return request.first >= countedFrom ? &m_outcomes[request.rank] : nullptr;
    }

    void arrive()
    {
        auto gap = std::exponential_distribution<double>(rate())(m_random);
        at(m_now + Common::Duration(static_cast<int64_t>(gap * 1e9)), [this] { arrive(); });
        auto request = std::make_shared<Request>(
            Request { m_now, m_now, m_random() % routers, m_random() % ranks, false, false, {} });
        if (auto* outcome = outcomeOf(*request); outcome && m_now < playEnd - deadline)
            ++outcome->requests;
        place(request);
    }

    void exchangeLoads()
    {
        Routing::LoadsByUpstream sum;
        for (auto& router : m_routers)
            addLoads(sum, router.registry->ownLoads());
        for (auto& router : m_routers) {
            auto others = sum;
            for (const auto& [upstream, load] : router.registry->ownLoads())
                others[upstream].requests -= load.requests;
            router.registry->setPeerLoads(std::move(others));
        }
        at(m_now + stepInterval, [this] { exchangeLoads(); });
    }

    Routing::HubRanking rankingOf(size_t index) const
    {
        std::vector<Routing::HubRanking::Router> others;
        for (size_t other = 0; other < routers; ++other) {
            if (other != index)
                others.push_back({ m_routers[other].id });
        }
        return { others, { m_routers[index].id } };
    }

    // Runs one exchange step of a router. Messages are delivered without delay.
    void step(size_t index)
    {
        at(m_now + stepInterval, [this, index] { step(index); });
        auto& router = m_routers[index];
        Inner::Mesh::Sender self { router.id, index + 1 };
        auto ranking = rankingOf(index);
        if (ranking.isHub()) {
            router.exchange->stepAsHub(ranking.otherHubs(), 1, m_now);
            for (const auto& id : ranking.otherHubs()) {
                Inner::Wire::HubLoads loads;
                router.exchange->addTo(loads, id, m_now);
                m_routers[std::stoul(id.substr(1))].exchange->receive(self, loads, m_now);
            }
            return;
        }
        router.exchange->stepAsSubscriber(m_now);
        auto hub = std::stoul(ranking.source()->substr(1));
        Inner::Wire::KnowledgeAsk ask;
        Inner::Wire::Knowledge answer;
        router.exchange->addTo(ask, m_routers[hub].id, m_now);
        m_routers[hub].exchange->receive(self, ask, m_now);
        m_routers[hub].exchange->addTo(answer, self, m_now);
        router.exchange->receive({ m_routers[hub].id, hub + 1 }, answer, m_now);
    }

    void place(const RequestPtr& request)
    {
        if (m_now >= request->first + deadline)
            return;
        auto& registry = *m_routers[request->router].registry;
        UpstreamRegistry::PlacementRequest wanted;
        wanted.service = "shop";
        wanted.attempted = request->attempted;
        wanted.rank = request->rank;
        wanted.isWaitingForQuota = request->isHeld;
        auto placement = registry.choose(wanted, m_now);
        if (!placement) {
            wanted.attempted = {};
            return withoutUpstream(request, registry.quotaWait(wanted, m_now).value_or(1000ms));
        }
        if (!registry.permitSend(placement->upstream, m_now, request->rank)) {
            request->attempted.push_back(placement->upstream.id);
            return place(request);
        }
        registry.recordStart(*placement);
        at(m_now + hop,
            [this, request, placement = *placement, sent = m_now] { arriveAtUpstream(request, placement, sent); });
    }

    void withoutUpstream(const RequestPtr& request, Milliseconds wait)
    {
        bool mayHold = m_now < request->arrived + objective / 2;
        if (m_scenario.policy == RefusalPolicy::Hold && mayHold) {
            request->attempted.clear();
            request->isHeld = true;
            return at(m_now + holdPoll, [this, request] { place(request); });
        }
        refuseRequest(request, m_scenario.policy == RefusalPolicy::RefuseForASecond ? 1000ms : wait);
    }

    // The caller retries once, at a random router. It waits for at most a third of its remaining time (PROTOCOL,
    // "Answers").
    void refuseRequest(const RequestPtr& request, Milliseconds wait)
    {
        if (request->isReturn)
            return;
        auto left = Common::toMilliseconds(request->first + deadline - m_now);
        at(m_now + std::min(wait, left / 3) + 2 * hop, [this, request] {
            request->isReturn = true;
            request->isHeld = false;
            request->arrived = m_now;
            request->router = m_random() % routers;
            request->attempted.clear();
            place(request);
        });
    }

    void arriveAtUpstream(const RequestPtr& request, const UpstreamRegistry::Placement& placement, TimePoint sent)
    {
        auto index = std::stoul(placement.upstream.id);
        auto& running = m_running[index];
        bool isFull = running >= 2 * slots;
        auto wait = running < slots ? Milliseconds(0) : Milliseconds(serviceTime);
        running += !isFull;
        auto answered = m_now + (isFull ? Milliseconds(0) : wait + serviceTime) + hop;
        at(answered, [this, request, placement, sent, index, isFull] {
            m_running[index] -= !isFull;
            auto& registry = *m_routers[request->router].registry;
            registry.quotas().recordStatement(placement.upstream, { limitOf(index) }, sent, m_now);
            registry.recordEnd(placement, false,
                isFull ? Routing::AttemptOutcome::NotExecuted : Routing::AttemptOutcome::Answered, m_now);
            if (isFull)
                return refuseRequest(request, 1000ms);
            registry.recordResponse(placement.upstream);
            auto* outcome = outcomeOf(*request);
            if (!outcome || request->first >= playEnd - deadline)
                return;
            outcome->served += m_now <= request->first + deadline;
            outcome->inTime += m_now <= request->first + objective;
        });
    }

    const Scenario m_scenario;
    std::mt19937 m_random;
    std::vector<unsigned> m_running;
    std::vector<Router> m_routers;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now {};
    std::array<Outcome, ranks> m_outcomes {};
};

void print(const Scenario& scenario)
{
    std::array<Outcome, ranks> sum {};
    for (unsigned seed = 1; seed <= 3; ++seed) {
        auto outcomes = Simulation(scenario, seed).run();
        for (size_t rank = 0; rank < ranks; ++rank) {
            sum[rank].requests += outcomes[rank].requests;
            sum[rank].inTime += outcomes[rank].inTime;
            sum[rank].served += outcomes[rank].served;
        }
    }
    std::printf("%5.1f %5.1f %5.2f  %-18s", scenario.limitedShare, scenario.limit, scenario.load,
        policyNames[static_cast<size_t>(scenario.policy)]);
    for (const auto& outcome : sum) {
        auto share
            = [&](size_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(outcome.requests); };
        std::printf("  %6.2f %6.2f", share(outcome.inTime), share(outcome.served));
    }
    std::printf("\n");
}

} // namespace

int main()
{
    std::printf("share limit  load  policy              urgent: in time, served; others\n");
    for (double share : { 0.2, 0.5, 1.0 })
        for (double limit : { 0.2, 0.7 })
            for (double load : { 0.3, 0.7 })
                for (auto policy :
                    { RefusalPolicy::RefuseUntilDue, RefusalPolicy::RefuseForASecond, RefusalPolicy::Hold })
                    print({ share, limit, load, policy });
    return 0;
}
