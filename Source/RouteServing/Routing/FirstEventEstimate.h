// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

// How long a generation waits for its first event, learned from those before it. Pure.
namespace Brassladder::RouteServing::Routing {

// A straight line through observations: a base that every generation waits (its own first steps, the network), and the
// time for each prompt token that the engine prefills before the event, its own and those ahead of it.
struct FirstEventEstimate {
    double baseMilliseconds { 0 };
    double millisecondsPerToken { 0 };

    // Zero while nothing is known.
    Common::Milliseconds delayFor(double tokens) const;
};

// The observations of one engine, or of all engines of a service. Old ones are forgotten by halves, because an engine's
// speed changes with its batch and with its faults. Not safe for several threads.
class FirstEventObservations {
public:
    // `tokens` to be prefilled were known when the generation was placed; its first event came after `elapsed`.
    void record(double tokens, Common::Milliseconds elapsed, Common::TimePoint now);

    // The line by least squares. `service`: the observations of all engines of its kind; they count as a few of its
    // own, so that an engine that this router seldom uses is judged by the others.
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

    Sums m_sums; // As of `m_at`.
    Common::TimePoint m_at {};
};

} // namespace Brassladder::RouteServing::Routing
