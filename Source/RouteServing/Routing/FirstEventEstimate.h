// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

// Estimates how long a generation waits for its first event, from earlier generations. Pure.
namespace Brassladder::RouteServing::Routing {

// A linear model: a base delay for each generation (its own first engine steps and the network), plus a time for each
// prompt token that the engine prefills before the event, of this prompt and of those queued before it.
struct FirstEventEstimate {
    double baseMilliseconds { 0 };
    double millisecondsPerToken { 0 };

    // Zero while there are no observations.
    Common::Milliseconds delayFor(double tokens) const;
};

// Observations of one engine, or of all engines of a service. Their weights decay exponentially, because an engine's
// speed changes with its batch and with faults. Not thread-safe.
class FirstEventObservations {
public:
    // `tokens` is the number of tokens to prefill before the event, as known at placement. `elapsed` is the time from
    // placement to the first event.
    void record(double tokens, Common::Milliseconds elapsed, Common::TimePoint now);

    // Fits the line by least squares. `service` holds the observations of all engines of the service. Together they
    // have the weight of a few observations of this engine, so the estimate for a seldom used engine relies on the
    // others.
    FirstEventEstimate estimate(const FirstEventObservations& service, Common::TimePoint now) const;

private:
    struct Sums {
        double count { 0 };
        double tokens { 0 };
        double milliseconds { 0 };
        double tokensSquared { 0 };
        double tokensTimesMilliseconds { 0 };

        void add(const Sums&, double weight);
    };
    Sums sumsAt(Common::TimePoint) const;

    Sums m_sums; // With the weights as of `m_at`.
    Common::TimePoint m_at {};
};

} // namespace Brassladder::RouteServing::Routing
