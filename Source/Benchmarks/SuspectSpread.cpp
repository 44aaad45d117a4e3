// SPDX-License-Identifier: Apache-2.0
// Compares ways to share crash records of a request across the fleet, on virtual time: how many engines crash and how
// much traffic is sent until every router holds the request back. docs/design/crashing-requests.md lists the results.
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SuspectCodec.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <cstdio>
#include <deque>
#include <map>
#include <random>

using namespace Brassladder;
using namespace Brassladder::RouteServing;
using namespace std::chrono_literals;
using Common::TimePoint;
using Routing::Suspicion;

namespace {

enum class SpreadStrategy {
    Alone, // Each router counts only the crashes that it observed.
    Exchange, // The product's exchange: from routers to hubs, among hubs, and from hubs to routers.
    Home, // Each request has a home router, which counts its crashes and notifies all others from the second crash on.
    Store, // Each crash is appended to the platform's log. Store readers forward it as they forward the configuration.
};
constexpr const char* strategyNames[] { "alone", "exchange", "home", "store" };

// Timings of the simulated incident (docs/incidents/crashing-request.md) and product settings.
constexpr auto runTime = 300ms;
constexpr auto detection = 27ms;
constexpr auto hop = 2ms;
constexpr auto storeCall = 8ms;
constexpr auto interval = 100ms;
constexpr auto contactTime = 3s;
constexpr auto length = 30s;
constexpr TimePoint start(1h);

struct Outcome {
    size_t engines { 0 };
    size_t lateSends { 0 }; // Sent later than `contactTime` after the third crash.
    size_t bytes { 0 };
    Common::Duration known {}; // Time from the third crash until every router holds the request back.
};

class Fleet {
public:
    Fleet(SpreadStrategy strategy, size_t routers, size_t copies, bool losesARouter, unsigned seed)
        : m_strategy(strategy)
        , m_copies(copies)
        , m_losesARouter(losesARouter)
        , m_random(seed)
        , m_hubs(Routing::HubRanking::hubCount(routers))
        , m_ledgers(routers)
        , m_tick(routers)
        , m_sentUp(routers)
        , m_sentDown(routers)
    {
        for (auto& tick : m_tick)
            tick = Common::Milliseconds(m_random() % interval.count());
    }

    Outcome play()
    {
        at(start + below(1000), [this] { sendCopies(); });
        for (size_t router = 0; m_strategy == SpreadStrategy::Exchange && router < m_ledgers.size(); ++router)
            at(start + m_tick[router], [this, router] { exchange(router); });
        while (!m_events.empty() && m_events.begin()->first < start + length) {
            m_now = m_events.begin()->first;
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        return m_outcome;
    }

private:
    using Event = std::function<void()>;
    const Routing::RequestIdentity m_request { 1, 10, { 1, 1 } };

    void at(TimePoint when, Event event) { m_events.emplace(when, std::move(event)); }
    Common::Milliseconds below(unsigned ms) { return Common::Milliseconds(m_random() % ms); }
    size_t someRouter() { return m_random() % m_ledgers.size(); }
    size_t home() const { return m_lost ? 1 : 0; }

    void sendCopies()
    {
        for (size_t copy = 0; copy < m_copies; ++copy)
            send(someRouter());
        at(m_now + 400ms + below(1100), [this] { sendCopies(); });
    }

    void send(size_t router)
    {
        auto suspicion = m_ledgers[router].suspicionOf(m_request, m_now);
        if (suspicion >= Suspicion::Held || (suspicion == Suspicion::Repeated && m_exclusiveUntil > m_now))
            return;
        if (suspicion == Suspicion::Repeated)
            m_exclusiveUntil = m_now + runTime + detection + interval;
        m_outcome.lateSends += m_thirdCrash && m_now > *m_thirdCrash + contactTime;
        auto sent = m_now;
        at(m_now + runTime, [this, router, sent] { crash(router, sent); });
    }

    void crash(size_t router, TimePoint sent)
    {
        if (++m_outcome.engines == 3)
            m_thirdCrash = m_now;
        if (m_outcome.engines == 2 && m_losesARouter)
            loseARouter();
        auto ended = m_now;
        auto born = m_outcome.engines;
        at(m_now + detection, [this, router, sent, ended, born] {
            std::vector<Routing::InterruptedAttempt> attempts { { "a1b2c3d4e5f60718", m_request, "workspace-12",
                "/summaries/2f", sent, ended } };
            m_ledgers[router].recordCrash({ "i-0123456789", born }, attempts, m_now);
            spread(router);
            recordIfKnown();
        });
    }

    // Removes router 0, which is the home of the request or a hub. Its local records are lost.
    void loseARouter()
    {
        m_lost = true;
        m_ledgers[0].~SuspectLedger();
        new (&m_ledgers[0]) Routing::SuspectLedger;
        m_sentUp.assign(m_sentUp.size(), 0);
        m_sentDown[0] = 0;
    }

    size_t sizeOf(const std::vector<Routing::SuspectRecord>& records)
    {
        Inner::Wire::SuspectTable table;
        Gateway::encodeSuspects(records, table, m_now);
        return table.ByteSizeLong();
    }

    void deliver(size_t to, const std::vector<Routing::SuspectRecord>& records, Common::Milliseconds after)
    {
        m_outcome.bytes += sizeOf(records);
        at(m_now + after, [this, to, records] {
            auto before = m_ledgers[to].revision();
            for (const auto& record : records)
                m_ledgers[to].merge(record, m_now);
            recordIfKnown();
            bool isNews = m_ledgers[to].revision() != before;
            if (m_strategy == SpreadStrategy::Home && isNews && to == home())
                broadcast(to, hop);
        });
    }

    void broadcast(size_t from, Common::Milliseconds after)
    {
        auto records = m_ledgers[from].changesAfter(0, Routing::SuspectLedger::Scope::Repeated).records;
        for (size_t router = 0; !records.empty() && router < m_ledgers.size(); ++router) {
            if (router != from)
                deliver(router, records, after);
        }
    }

    void spread(size_t router)
    {
        auto records = m_ledgers[router].changesAfter(0, Routing::SuspectLedger::Scope::All).records;
        if (m_strategy == SpreadStrategy::Home) {
            if (router == home())
                return broadcast(router, hop);
            return deliver(home(), records, hop);
        }
        // The record is appended, then read by three store readers. They forward it to the hubs, and the hubs to all
        // other routers, each after half an exchange interval on average.
        for (size_t other = 0; m_strategy == SpreadStrategy::Store && other < m_ledgers.size(); ++other) {
            auto ticks = other < 3 ? 0ms : other < m_hubs ? interval / 2 : interval;
            deliver(other, records, std::chrono::duration_cast<Common::Milliseconds>(2 * storeCall + ticks));
        }
    }

    void exchange(size_t router)
    {
        using Scope = Routing::SuspectLedger::Scope;
        auto pass = [this](size_t from, size_t to, uint64_t& sent, Scope scope) {
            auto changes = m_ledgers[from].changesAfter(sent, scope);
            sent = changes.upTo;
            if (!changes.records.empty())
                deliver(to, changes.records, hop);
        };
        if (router < m_hubs) {
            for (size_t hub = 0; hub < m_hubs; ++hub) {
                if (hub != router)
                    pass(router, hub, m_sentBetween[{ router, hub }], Scope::All);
            }
        } else {
            auto hub = router % m_hubs;
            pass(router, hub, m_sentUp[router], Scope::All);
            pass(hub, router, m_sentDown[router], Scope::Repeated);
        }
        at(m_now + interval, [this, router] { exchange(router); });
    }

    void recordIfKnown()
    {
        if (!m_thirdCrash || m_outcome.known.count())
            return;
        for (auto& ledger : m_ledgers) {
            if (ledger.suspicionOf(m_request, m_now) < Suspicion::Held)
                return;
        }
        m_outcome.known = m_now - *m_thirdCrash;
    }

    SpreadStrategy m_strategy;
    size_t m_copies;
    bool m_losesARouter;
    bool m_lost { false };
    std::mt19937 m_random;
    size_t m_hubs;
    std::deque<Routing::SuspectLedger> m_ledgers;
    std::vector<Common::Milliseconds> m_tick;
    std::vector<uint64_t> m_sentUp;
    std::vector<uint64_t> m_sentDown;
    std::map<std::pair<size_t, size_t>, uint64_t> m_sentBetween;
    std::multimap<TimePoint, Event> m_events;
    TimePoint m_now { start };
    TimePoint m_exclusiveUntil {};
    std::optional<TimePoint> m_thirdCrash;
    Outcome m_outcome;
};

void compare(size_t routers, size_t copies, bool losesARouter)
{
    static constexpr unsigned seeds = 40;
    for (auto strategy :
        { SpreadStrategy::Alone, SpreadStrategy::Exchange, SpreadStrategy::Home, SpreadStrategy::Store }) {
        Outcome sum;
        size_t mostLate = 0;
        size_t everKnown = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            auto outcome = Fleet(strategy, routers, copies, losesARouter, seed).play();
            sum.engines += outcome.engines;
            sum.lateSends += outcome.lateSends;
            sum.bytes += outcome.bytes;
            sum.known += outcome.known;
            everKnown += outcome.known.count() > 0;
            mostLate = std::max(mostLate, outcome.lateSends);
        }
        auto known = everKnown ? Common::toSeconds(sum.known) / static_cast<double>(everKnown) : 0;
        std::printf("%4zu routers, %zu copies%s  %-8s  crashed engines %5.1f  late sends %5.1f, %2zu at most  held "
                    "after %6.3f s (%zu of %u)  bytes per router %6.0f\n",
            routers, copies, losesARouter ? ", one lost" : "          ", strategyNames[static_cast<size_t>(strategy)],
            static_cast<double>(sum.engines) / seeds, static_cast<double>(sum.lateSends) / seeds, mostLate, known,
            everKnown, seeds, static_cast<double>(sum.bytes) / seeds / static_cast<double>(routers));
    }
}

} // namespace

int main()
{
    for (size_t routers : { 6, 88, 300 }) {
        compare(routers, 1, false);
        compare(routers, 4, false);
        compare(routers, 1, true);
    }
}
