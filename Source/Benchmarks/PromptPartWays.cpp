// SPDX-License-Identifier: Apache-2.0
// Compares ways to find the part of a prompt that crashes engines, on virtual time: how many engines crash, when every
// router holds the part back, and what happens to requests that share its other parts.
// docs/design/crashing-parts.md lists the results.
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SuspectCodec.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <random>

using namespace Brassladder;
using namespace Brassladder::RouteServing;
using namespace std::chrono_literals;
using Common::Milliseconds;
using Common::TimePoint;
using Routing::RequestIdentity;
using Routing::SuspectLedger;
using Routing::Suspicion;

namespace {

enum class Way {
    Requests, // Only whole requests are suspects.
    CrashesInTurn, // Parts are suspects as requests are; completed runs are not remembered.
    Afterwards, // Completed runs are remembered from the first crash that a router knows of.
    Before, // Completed runs are always remembered, but the crashes of one part do not explain those of another.
    Product,
};
constexpr const char* wayNames[] { "requests", "in turn", "afterwards", "before", "product" };

// Timings of the simulated fleet.
constexpr auto detection = 27ms;
constexpr auto hop = 2ms;
constexpr auto exchangeInterval = 100ms;
constexpr auto contactTime = 3s;
constexpr auto bootTime = 3s;
constexpr auto warmUp = 10s;
constexpr auto length = 30s;
constexpr TimePoint start(1h);
constexpr size_t crashesBeforeBound = 5;
// The parts of the caller: all its requests begin with the first one, most share one of the popular ones. The company
// comes with the crashing one, and seldom without it.
constexpr uint64_t firstPart = 1;
constexpr uint64_t crashingPart = 2;
constexpr uint64_t companyPart = 3;
constexpr uint64_t popularParts = 100;
constexpr size_t popularCount = 20;

struct Scenario {
    size_t routers { 7 };
    size_t copies { 1 }; // Requests with the crashing part at the same time.
    bool losesARack { false }; // A quarter of the engines ends for another reason, several times.
};

struct Outcome {
    double engines { 0 }; // Ended by the part.
    double lateSends { 0 }; // Of the part, later than `contactTime` after its fifth crash.
    double known { 0 }; // Seconds from the third crash until every router holds the part back; 0 if that never happens.
    double refused { 0 }; // Share of the sound requests of the caller that are refused, from then on.
    double isolated { 0 }; // Share of them that wait for another run.
    double companyRefused { 0 }; // Share of those with the company.
    double bytes { 0 }; // Sent by a router.
};

struct Prompt {
    std::vector<uint64_t> parts;
    bool crashes() const { return std::find(parts.begin(), parts.end(), crashingPart) != parts.end(); }
    bool hasCompany() const { return std::find(parts.begin(), parts.end(), companyPart) != parts.end(); }
};

class Fleet {
public:
    Fleet(Way way, const Scenario& scenario, unsigned seed)
        : m_way(way)
        , m_scenario(scenario)
        , m_random(seed)
        , m_hubs(Routing::HubRanking::hubCount(scenario.routers))
        , m_ledgers(scenario.routers)
        , m_sentUp(scenario.routers)
        , m_sentDown(scenario.routers)
        , m_engines(2 * scenario.routers)
    {
    }

    Outcome play()
    {
        for (size_t router = 0; router < m_ledgers.size(); ++router)
            at(start + below(exchangeInterval.count()), [this, router] { exchange(router); });
        at(start, [this] { sendSound(); });
        at(start + warmUp + below(1000), [this] { sendCrashing(); });
        if (m_scenario.losesARack) {
            for (auto time : { 5s, 12s, 20s, 25s })
                at(start + time + below(1000), [this] { loseRack(); });
        }
        while (!m_events.empty() && m_events.begin()->first < start + length) {
            m_now = m_events.begin()->first;
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_outcome.refused = m_sound ? m_refused / m_sound : 0;
        m_outcome.isolated = m_sound ? m_isolated / m_sound : 0;
        m_outcome.companyRefused = m_company ? m_companyRefused / m_company : 0;
        m_outcome.bytes /= static_cast<double>(m_ledgers.size());
        return m_outcome;
    }

private:
    using Event = std::function<void()>;
    struct Run {
        size_t router;
        Prompt prompt;
        Routing::InterruptedAttempt attempt;
    };
    struct Engine {
        uint64_t born { 1 };
        TimePoint back {};
        std::map<uint64_t, Run> runs; // By number of the request.
    };

    void at(TimePoint when, Event event) { m_events.emplace(when, std::move(event)); }
    Milliseconds below(int64_t ms)
    {
        return Milliseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(ms)));
    }

    void sendSound()
    {
        Prompt prompt { { firstPart, popularParts + std::min(m_random() % popularCount, m_random() % popularCount) } };
        if (m_random() % 200 == 0)
            prompt.parts = { firstPart, companyPart };
        send(prompt);
        // 20 requests a second for each router.
        at(m_now + std::chrono::microseconds(1 + m_random() % (100'000 / m_ledgers.size())), [this] { sendSound(); });
    }

    void sendCrashing()
    {
        for (size_t copy = 0; copy < m_scenario.copies; ++copy)
            send({ { firstPart, companyPart, crashingPart } });
        at(m_now + 300ms + below(1200), [this] { sendCrashing(); });
    }

    Suspicion judge(const SuspectLedger& ledger, const SuspectLedger::Subject& subject) const
    {
        if (m_way == Way::Product)
            return ledger.judge(subject, m_now).suspicion;
        auto suspicion = Suspicion::None;
        for (const auto& part : subject.promptParts)
            suspicion = std::max(suspicion, ledger.suspicionOf(part, m_now));
        return suspicion;
    }

    void send(const Prompt& prompt)
    {
        auto router = m_random() % m_ledgers.size();
        SuspectLedger::Subject subject;
        for (auto part : prompt.parts)
            subject.promptParts.push_back(RequestIdentity::ofPromptPart("model", "v1", part));
        auto suspicion = judge(m_ledgers[router], subject);
        bool waits = suspicion == Suspicion::Repeated && m_exclusiveUntil[subject.promptParts.back()] > m_now;
        countSend(prompt, suspicion, waits);
        if (suspicion >= Suspicion::Held || waits)
            return;
        auto engine = someEngine();
        if (!engine)
            return;
        auto runTime = 200ms + below(prompt.crashes() ? 300 : 1300);
        if (suspicion == Suspicion::Repeated)
            m_exclusiveUntil[subject.promptParts.back()] = m_now + runTime + detection + exchangeInterval;
        auto number = ++m_requests;
        auto parts = m_way == Way::Requests ? std::vector<RequestIdentity> {} : subject.promptParts;
        m_engines[*engine].runs[number] = { router, prompt,
            { "a1b2c3d4e5f60718", { number, 10, { number, number } }, "workspace-12", "/summaries/2f", m_now, {},
                parts } };
        auto born = m_engines[*engine].born;
        at(m_now + runTime, [this, engine = *engine, born, number] { end(engine, born, number); });
    }

    void countSend(const Prompt& prompt, Suspicion suspicion, bool waits)
    {
        if (prompt.crashes()) {
            bool isLate = m_fifthCrash && m_now > *m_fifthCrash + contactTime && suspicion < Suspicion::Held && !waits;
            m_outcome.lateSends += isLate;
            return;
        }
        if (!m_thirdCrash && !m_scenario.losesARack)
            return;
        ++m_sound;
        m_refused += suspicion >= Suspicion::Held;
        m_isolated += waits;
        m_company += prompt.hasCompany();
        m_companyRefused += prompt.hasCompany() && (suspicion >= Suspicion::Held || waits);
    }

    std::optional<size_t> someEngine()
    {
        for (int tries = 0; tries < 20; ++tries) {
            auto engine = m_random() % m_engines.size();
            if (m_engines[engine].back <= m_now)
                return engine;
        }
        return std::nullopt;
    }

    void end(size_t engine, uint64_t born, uint64_t number)
    {
        auto& host = m_engines[engine];
        if (host.born != born || !host.runs.contains(number))
            return;
        auto run = host.runs.at(number);
        if (run.prompt.crashes()) {
            ++m_outcome.engines;
            if (m_outcome.engines == 3)
                m_thirdCrash = m_now;
            if (m_outcome.engines == crashesBeforeBound)
                m_fifthCrash = m_now;
            return crash(engine);
        }
        host.runs.erase(number);
        auto& ledger = m_ledgers[run.router];
        bool isRemembered = m_way >= Way::Before || (m_way == Way::Afterwards && ledger.hasPromptParts());
        if (isRemembered)
            ledger.recordCompletedParts(run.attempt.promptParts, m_now);
    }

    void crash(size_t engine)
    {
        auto& host = m_engines[engine];
        std::map<size_t, std::vector<Routing::InterruptedAttempt>> attempts;
        for (auto& [number, run] : host.runs) {
            run.attempt.ended = m_now;
            attempts[run.router].push_back(std::move(run.attempt));
        }
        Routing::UpstreamIncarnation incarnation { "i-" + std::to_string(engine), host.born };
        host.runs.clear();
        ++host.born;
        host.back = m_now + bootTime;
        at(m_now + detection, [this, incarnation, attempts = std::move(attempts)] {
            for (const auto& [router, interrupted] : attempts)
                m_ledgers[router].recordCrash(incarnation, interrupted, m_now);
            recordIfKnown();
        });
    }

    void loseRack()
    {
        for (size_t engine = m_random() % 4; engine < m_engines.size(); engine += 4) {
            if (m_engines[engine].back <= m_now)
                crash(engine);
        }
    }

    void exchange(size_t router)
    {
        using Scope = SuspectLedger::Scope;
        auto pass = [this](size_t from, size_t to, uint64_t& sent, Scope scope) {
            auto changes = m_ledgers[from].changesAfter(sent, scope);
            sent = changes.upTo;
            if (changes.records.empty())
                return;
            Inner::Wire::SuspectTable table;
            Gateway::encodeSuspects(changes.records, table, m_now);
            m_outcome.bytes += static_cast<double>(table.ByteSizeLong());
            at(m_now + hop, [this, to, records = std::move(changes.records)] {
                for (const auto& record : records)
                    m_ledgers[to].merge(record, m_now);
                recordIfKnown();
            });
        };
        if (router < m_hubs) {
            for (size_t hub = 0; hub < m_hubs; ++hub) {
                if (hub != router)
                    pass(router, hub, m_sentBetween[{ router, hub }], Scope::All);
            }
        } else {
            pass(router, router % m_hubs, m_sentUp[router], Scope::All);
            pass(router % m_hubs, router, m_sentDown[router], Scope::Repeated);
        }
        at(m_now + exchangeInterval, [this, router] { exchange(router); });
    }

    void recordIfKnown()
    {
        if (!m_thirdCrash || m_outcome.known > 0)
            return;
        auto part = RequestIdentity::ofPromptPart("model", "v1", crashingPart);
        auto holds = [&](const auto& ledger) { return ledger.suspicionOf(part, m_now) >= Suspicion::Held; };
        if (std::all_of(m_ledgers.begin(), m_ledgers.end(), holds))
            m_outcome.known = Common::toSeconds(m_now - *m_thirdCrash);
    }

    const Way m_way;
    const Scenario m_scenario;
    std::mt19937_64 m_random;
    const size_t m_hubs;
    std::deque<SuspectLedger> m_ledgers;
    std::vector<uint64_t> m_sentUp;
    std::vector<uint64_t> m_sentDown;
    std::map<std::pair<size_t, size_t>, uint64_t> m_sentBetween;
    std::vector<Engine> m_engines;
    std::map<RequestIdentity, TimePoint> m_exclusiveUntil;
    std::multimap<TimePoint, Event> m_events;
    TimePoint m_now { start };
    uint64_t m_requests { 0 };
    std::optional<TimePoint> m_thirdCrash;
    std::optional<TimePoint> m_fifthCrash;
    double m_sound { 0 };
    double m_refused { 0 };
    double m_isolated { 0 };
    double m_company { 0 };
    double m_companyRefused { 0 };
    Outcome m_outcome;
};

void compare(const Scenario& scenario, unsigned seeds)
{
    for (auto way : { Way::Requests, Way::CrashesInTurn, Way::Afterwards, Way::Before, Way::Product }) {
        std::vector<Outcome> all;
        all.reserve(seeds);
        for (unsigned seed = 1; seed <= seeds; ++seed)
            all.push_back(Fleet(way, scenario, seed).play());
        auto of = [&](auto member) {
            std::vector<double> values;
            values.reserve(all.size());
            for (const auto& outcome : all)
                values.push_back(outcome.*member);
            std::sort(values.begin(), values.end());
            return std::pair(values[values.size() / 2], values.back());
        };
        auto held = std::count_if(all.begin(), all.end(), [](const auto& outcome) { return outcome.known > 0; });
        std::printf("%3zu routers, %2zu at once%s %-10s engines %5.1f (%3.0f)  late %5.1f (%3.0f)  held in %2ld of %u, "
                    "after %5.3f (%5.3f) s  sound: refused %.4f (%.4f) waiting %.4f (%.4f), company %.3f (%.3f)  "
                    "bytes %6.0f (%6.0f)\n",
            scenario.routers, scenario.copies, scenario.losesARack ? ", racks" : "       ",
            wayNames[static_cast<size_t>(way)], of(&Outcome::engines).first, of(&Outcome::engines).second,
            of(&Outcome::lateSends).first, of(&Outcome::lateSends).second, held, seeds, of(&Outcome::known).first,
            of(&Outcome::known).second, of(&Outcome::refused).first, of(&Outcome::refused).second,
            of(&Outcome::isolated).first, of(&Outcome::isolated).second, of(&Outcome::companyRefused).first,
            of(&Outcome::companyRefused).second, of(&Outcome::bytes).first, of(&Outcome::bytes).second);
    }
}

} // namespace

// Usage: prompt-part-ways ROUTERS SEEDS. Prints the median and, in brackets, the greatest value.
int main(int count, char** arguments)
{
    static constexpr int expectedCount = 3;
    if (count != expectedCount)
        return 2;
    auto routers = std::strtoul(arguments[1], nullptr, 10);
    auto seeds = static_cast<unsigned>(std::strtoul(arguments[2], nullptr, 10));
    compare({ routers, 1, false }, seeds);
    compare({ routers, 10, false }, seeds);
    compare({ routers, 1, true }, seeds);
}
