// SPDX-License-Identifier: Apache-2.0
// Compares ways by which a router learns where a stream began that its caller takes up again: how many of the streams
// that a failure breaks are known when their callers return, and what it costs. docs/design/stream-versions.md lists
// the results. Delays, failures and cuts are the same for all ways.
#include "Common/Precompiled.h"

#include "RouteServing/Routing/ExchangeInterval.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/StreamHomes.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <random>
#include <set>

using namespace Brassladder::RouteServing;
using Brassladder::Common::Milliseconds;

namespace {

constexpr size_t streams = 2000;
constexpr double streamsPerRouter = 15; // Per second; 5,300 on 350 routers.
constexpr double recordBytes = 85; // With the overhead of its frame.
constexpr double rowBytes = 36; // In a table with other rows.
constexpr std::array returnsAfter { 5.0, 20.0, 100.0 }; // Milliseconds from the break to the question.

enum class Way { Homes, AllHomes, OwnHub, Everyone };
constexpr std::array wayNames { "homes (64)", "homes (all)", "own hub", "everyone" };

// `Relay`: the router that relays the stream is killed, right after its first event.
enum class Cut { Relay, RelayLater, Third, OneWay, Frozen, Views };
constexpr std::array cutNames { "relay killed at first event", "relay killed later", "a third killed later",
    "1 in 10 directions cut", "1 in 10 frozen", "1 in 10 unknown to each" };

class Fleet {
public:
    Fleet(size_t routers, Cut cut, unsigned seed)
        : m_routers(routers)
        , m_cut(cut)
        , m_random(seed)
        , m_interval(static_cast<double>(Routing::exchangeInterval(routers, Milliseconds(1000)).count()))
        , m_hubs(Routing::HubRanking::hubCount(routers))
    {
        for (size_t router = 0; router < routers; ++router)
            m_ids.push_back("router" + std::to_string(router));
    }

    // Returns the number of streams that are known at each of `returnsAfter`.
    std::array<size_t, 3> known(Way way)
    {
        std::array<size_t, 3> counts {};
        for (size_t stream = 0; stream < streams; ++stream) {
            drawFailure();
            double knownAt = learnsAt(way, m_random());
            for (size_t index = 0; index < returnsAfter.size(); ++index)
                counts[index] += knownAt <= m_breakAt + returnsAfter[index] + answerTime;
        }
        return counts;
    }

private:
    static constexpr double never = 1e18;
    // Within which a question has to be answered; a router waits no longer.
    static constexpr double answerTime = 20;

    double fraction() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    size_t someRouter() { return m_random() % m_routers; }
    double hop() { return 0.5 + 2 * fraction(); }
    bool isCut() { return m_cut == Cut::OneWay && fraction() < 0.1; }
    bool isUnknown() { return m_cut == Cut::Views && fraction() < 0.1; }

    void drawFailure()
    {
        m_relay = someRouter();
        m_dead.assign(m_routers, false);
        m_frozen.assign(m_routers, false);
        m_breakAt = m_cut == Cut::Relay ? 0.1 : 3000 * fraction() + 1;
        m_dead[m_relay] = true;
        for (size_t router = 0; router < m_routers; ++router) {
            m_dead[router] = m_dead[router] || (m_cut == Cut::Third && fraction() < 1.0 / 3);
            m_frozen[router] = m_cut == Cut::Frozen && fraction() < 0.1;
        }
        // The asker lives.
        m_asker = (m_relay + 1 + m_random() % (m_routers - 1)) % m_routers;
        m_dead[m_asker] = false;
        m_frozen[m_asker] = false;
    }

    // Returns when a router has a record that is sent to it, or `never`.
    double receivedAt(double sentAt)
    {
        if (sentAt >= m_breakAt || isCut() || isUnknown())
            return never;
        return sentAt + hop();
    }
    // Returns when the asker has the answer of a router, if it asks at the break.
    double answeredAt(size_t router, double has)
    {
        if (has == never || m_dead[router] || m_frozen[router])
            return never;
        if (router == m_asker)
            return has;
        if (isCut() || isCut() || isUnknown())
            return never;
        return std::max(has, m_breakAt + hop()) + hop();
    }

    double learnsAt(Way way, uint64_t hash)
    {
        switch (way) {
        case Way::Homes:
        case Way::AllHomes:
            return homesKnow(hash, way == Way::Homes);
        case Way::OwnHub:
            return hubKnows(m_relay % m_hubs);
        case Way::Everyone:
            return everyoneKnows();
        }
        return never;
    }
    double homesKnow(uint64_t hash, bool isLimited)
    {
        Routing::StreamHomes homes;
        std::vector<std::string> ids;
        for (size_t router = 0; router < m_routers; ++router) {
            if (!isLimited || router < Routing::StreamHomes::maxCandidates)
                ids.push_back(m_ids[router]);
        }
        homes.setRouters(ids);
        double earliest = never;
        for (const auto& home :
            homes.homesOf(hash, Routing::StreamHomes::copies, [&](const auto& id) { return id != m_ids[m_relay]; })) {
            auto router = std::stoul(home.substr(6));
            earliest = std::min(earliest, answeredAt(router, receivedAt(0)));
        }
        return earliest;
    }
    double hubKnows(size_t hub) { return answeredAt(hub, hub == m_relay ? 0 : receivedAt(0)); }
    // A table at each exchange: relay to hub, hub to hub, hub to asker.
    double everyoneKnows()
    {
        auto ownHub = m_relay % m_hubs;
        auto askersHub = m_asker % m_hubs;
        double at = 0;
        auto pass = [&](size_t from, size_t to) {
            if (from == to || at == never)
                return;
            at += m_interval * fraction();
            bool isLost = (m_dead[from] && at >= m_breakAt) || m_frozen[from] || m_frozen[to] || m_dead[to] || isCut();
            at = isLost ? never : at + hop();
        };
        pass(m_relay, ownHub);
        pass(ownHub, askersHub);
        pass(askersHub, m_asker);
        return at;
    }

    size_t m_routers;
    Cut m_cut;
    std::mt19937_64 m_random;
    double m_interval;
    size_t m_hubs;
    std::vector<std::string> m_ids;
    size_t m_relay { 0 };
    size_t m_asker { 0 };
    double m_breakAt { 0 };
    std::vector<bool> m_dead;
    std::vector<bool> m_frozen;
};

// Bytes per second that the busiest router sends and receives for it, and its connections to other routers.
void printCost(Way way, size_t routers)
{
    auto fleet = static_cast<double>(routers);
    auto hubs = static_cast<double>(Routing::HubRanking::hubCount(routers));
    auto all = fleet * streamsPerRouter;
    double candidates = std::min<double>(fleet, way == Way::Homes ? Routing::StreamHomes::maxCandidates : fleet);
    double copies = std::min<double>(Routing::StreamHomes::copies, fleet - 1);
    double bytes = 0;
    double connections = 0;
    switch (way) {
    case Way::Homes:
    case Way::AllHomes:
        bytes = (streamsPerRouter + all / candidates) * copies * recordBytes;
        connections = fleet - 1 + candidates - 1;
        break;
    case Way::OwnHub:
        bytes = all / hubs * recordBytes;
        connections = fleet / hubs + 2 * (hubs - 1);
        break;
    case Way::Everyone:
        bytes = (all / hubs + all * 2 * (1 - 1 / hubs) + fleet / hubs * all) * rowBytes;
        connections = fleet / hubs + 2 * (hubs - 1);
        break;
    }
    std::printf("%4zu routers  %-12s busiest router %9.1f KB/s, %5.0f connections\n", routers,
        wayNames[static_cast<size_t>(way)], bytes / 1000, connections);
}

} // namespace

int main()
{
    constexpr std::array ways { Way::Homes, Way::AllHomes, Way::OwnHub, Way::Everyone };
    for (size_t routers : { 7U, 88U, 300U, 985U }) {
        for (auto way : ways)
            printCost(way, routers);
        for (auto cut : { Cut::Relay, Cut::RelayLater, Cut::Third, Cut::OneWay, Cut::Frozen, Cut::Views }) {
            for (auto way : ways) {
                auto known = Fleet(routers, cut, 1).known(way);
                std::printf("%4zu routers  %-28s %-12s known of 1000 after 5, 20, 100 ms: %4zu %4zu %4zu\n", routers,
                    cutNames[static_cast<size_t>(cut)], wayNames[static_cast<size_t>(way)], known[0] * 1000 / streams,
                    known[1] * 1000 / streams, known[2] * 1000 / streams);
            }
        }
    }
}
