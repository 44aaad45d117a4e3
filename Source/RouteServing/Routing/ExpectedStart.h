// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/FirstEventEstimate.h"
#include "RouteServing/Routing/FleetQueues.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/RouteTable.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

// Estimates when a generation begins at the engines of a service, from the fleet's outstanding generations. Pure.
namespace Brassladder::RouteServing::Routing {

// The engines of one service.
struct EnginePool {
    unsigned engines { 0 };
    unsigned slots { 0 }; // Generations that one engine runs at once.
    uint64_t kvTokens { 0 }; // Memory of one engine; 0 if unknown.
    double millisecondsPerPrefillToken { 0 };
    double millisecondsPerDecodedToken { 0 }; // Of one generation in a batch.

    // Takes the pace of the service. While it is unknown, takes that of its first events, and the decoding time that
    // this router has observed; zero if there is none.
    static EnginePool of(unsigned engines, const EngineTraits&, const std::optional<ServicePace>&,
        const FirstEventEstimate&, std::optional<double> millisecondsPerDecodedToken);

    bool isKnown() const { return engines > 0 && slots > 0 && millisecondsPerPrefillToken > 0; }
    // Returns how many generations of that size run at once on all engines.
    double capacity(double tokensPerGeneration) const;
    // Returns the time that a generation takes on an engine with room.
    Common::Milliseconds prefillTime(double tokens) const;
    Common::Milliseconds decodeTime(double tokens) const;
};

// The generations of one service that go before a generation of some rank, or are served together with it.
struct Backlog {
    double waiting { 0 };
    double waitingPrefillTokens { 0 };
    double running { 0 };
    double remainingOutputTokens { 0 };
    double held { 0 };

    double total() const { return waiting + running + held; }
};

// Sums the generations of the rank and of all more urgent ones. `knownShare` is the share of the fleet's routers whose
// generations are included; the others are assumed to have as many.
Backlog backlogOf(const LoadsByQueue&, uint32_t service, size_t rank, double knownShare);
// Sums the generations of all ranks.
Backlog wholeBacklogOf(const LoadsByQueue&, uint32_t service, double knownShare);

// Returns the time until a generation begins that has the given backlog before it. Zero if an engine has room, or if
// the pool is unknown. Never shorter for a larger backlog.
Common::Milliseconds expectedStart(const EnginePool&, const Backlog&, double tokensPerGeneration);

// Estimates the output of generations from their callers' hints, and learns the error of the hints by route. Not
// thread-safe.
class OutputEstimates {
public:
    // Returns the hint, corrected by the error of the route, or half of the maximum without a hint. At most the
    // maximum, if there is one.
    double expectedTokens(std::string_view route, const Prompt&, Common::TimePoint now) const;
    // Records the output of a generation that ended normally. Does nothing without a hint.
    void record(std::string_view route, const Prompt&, double outputTokens, Common::TimePoint now);

private:
    // Sums that decay exponentially, as of `at`.
    struct Sums {
        double hinted { 0 };
        double actual { 0 };
        double count { 0 };
        Common::TimePoint at {};
    };
    static double weightAt(const Sums&, Common::TimePoint now);

    std::map<std::string, Sums, std::less<>> m_routes; // Bounded.
};

// The decoding time of the generations that this router has relayed, by service. Not thread-safe.
class DecodeTimes {
public:
    // `elapsed` is the time between the first and the last event, and `tokens` what was decoded meanwhile. Ignores
    // implausible values.
    void record(std::string_view service, double tokens, Common::Milliseconds elapsed, Common::TimePoint now);
    // Returns nullopt while there are no observations.
    std::optional<double> millisecondsPerToken(std::string_view service) const;

private:
    struct Sums {
        double tokens { 0 };
        double milliseconds { 0 };
        Common::TimePoint at {};
    };
    std::map<std::string, Sums, std::less<>> m_services; // Bounded.
};

} // namespace Brassladder::RouteServing::Routing
