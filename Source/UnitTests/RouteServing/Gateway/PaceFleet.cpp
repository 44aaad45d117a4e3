// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/PaceFleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

// The work of the full records of docs/design/uneven-load.md.
static constexpr size_t eventsPerStream = 48;
static constexpr double tokensPerEvent = 8;
static constexpr double promptTokens = 6000;
static constexpr double millisecondsPerPrefillToken = 1.0 / 100;
static constexpr double millisecondsPerDecodedToken = 2.5;
// Share of pauses during which the engine prefills a chunk of another prompt, and the time that this takes.
static constexpr double disturbedPauses = 0.3;
static constexpr double prefillChunkMilliseconds = 60;
static constexpr double maxJitterMilliseconds = 3;
static constexpr auto hubTimeout = 600ms;

static Common::Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

PaceFleet::PaceFleet(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_routers(options.routers)
    , m_born(options.engines, 1)
{
    for (size_t engine = 0; engine < options.engines; ++engine)
        m_timeFactors.push_back(engine % 3 == 0 ? 1 : engine % 3 == 1 ? 1.55 : 2.4);
    for (size_t router = 0; router < m_routers.size(); ++router) {
        m_routers[router].id = "r" + std::to_string(router);
        startRouter(router);
        schedule(Common::Duration(m_options.exchangeInterval) * m_random() / std::mt19937::max(),
            [this, router] { step(router); });
        schedule(0ms, [this, router] { generateRequests(router); });
    }
}

Routing::UpstreamRecord PaceFleet::record(size_t engine) const
{
    Routing::UpstreamRecord record;
    record.id = "e" + std::to_string(engine);
    record.service = "model";
    record.born = m_born[engine];
    return record;
}

void PaceFleet::startRouter(size_t index)
{
    auto& router = m_routers[index];
    router.exchange.reset();
    router.paces = std::make_unique<Routing::EnginePaces>();
    router.exchange = std::make_unique<PaceExchange>(*router.paces);
    for (size_t engine = 0; engine < m_options.engines; ++engine)
        router.paces->setEngine(hashOf(engine), record(engine));
}

void PaceFleet::stopRouter(size_t router)
{
    m_routers[router].stoppedAt = m_now;
    schedule(hubTimeout, [this, router] {
        m_rankings.clear();
        for (auto& other : m_routers)
            other.exchange->forgetHub(m_routers[router].id);
    });
}

void PaceFleet::restartEngine(size_t engine)
{
    ++m_born[engine];
    for (auto& router : m_routers)
        router.paces->setEngine(hashOf(engine), record(engine));
}

void PaceFleet::runFor(Common::Milliseconds time)
{
    auto end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

// Streams

void PaceFleet::generateRequests(size_t router)
{
    auto wait = std::exponential_distribution<double>(m_options.requestsPerSecond)(m_random);
    schedule(fromMilliseconds(wait * 1000), [this, router] {
        if (!isRunning(router))
            return;
        auto stream = std::make_shared<Stream>();
        stream->router = router;
        stream->engine = m_random() % m_options.engines;
        stream->born = m_born[stream->engine];
        stream->eventsLeft = eventsPerStream;
        auto prefill = fromMilliseconds(
            promptTokens * millisecondsPerPrefillToken * m_timeFactors[stream->engine] * (1 + uniformRandom() / 5));
        schedule(prefill, [this, stream, prefill] {
            m_routers[stream->router].paces->recordPrefill(hashOf(stream->engine), promptTokens, prefill, m_now);
            continueStream(stream);
        });
        generateRequests(router);
    });
}

Common::Duration PaceFleet::pauseOf(size_t engine)
{
    double milliseconds = tokensPerEvent * millisecondsPerDecodedToken;
    if (uniformRandom() < disturbedPauses)
        milliseconds += prefillChunkMilliseconds;
    return fromMilliseconds(milliseconds * m_timeFactors[engine] + maxJitterMilliseconds * uniformRandom());
}

void PaceFleet::continueStream(const std::shared_ptr<Stream>& stream)
{
    if (!isRunning(stream->router) || stream->born != m_born[stream->engine])
        return;
    auto sample = stream->pauses.recordEvents(1, m_now);
    if (!--stream->eventsLeft && !sample)
        sample = stream->pauses.finish();
    if (sample) {
        auto events = static_cast<Common::Duration::rep>(sample->events);
        m_routers[stream->router].paces->recordDecode(hashOf(stream->engine),
            static_cast<double>(sample->events) * tokensPerEvent, sample->perEvent * events, m_now);
    }
    if (stream->eventsLeft)
        schedule(pauseOf(stream->engine), [this, stream] { continueStream(stream); });
}

// Exchange

Routing::HubRanking PaceFleet::rankingOf(size_t router) const
{
    if (auto found = m_rankings.find(router); found != m_rankings.end())
        return found->second;
    std::vector<Routing::HubRanking::Router> others;
    for (const auto& other : m_routers) {
        bool isKnownToBeStopped = other.stoppedAt && m_now - *other.stoppedAt >= hubTimeout;
        if (&other != &m_routers[router] && !isKnownToBeStopped)
            others.push_back({ other.id });
    }
    return m_rankings.try_emplace(router, others, Routing::HubRanking::Router { m_routers[router].id }).first->second;
}

size_t PaceFleet::indexOf(const std::string& id) const { return std::stoul(id.substr(1)); }

size_t PaceFleet::firstHub() const
{
    size_t router = 0;
    while (!isHub(router))
        ++router;
    return router;
}

void PaceFleet::step(size_t index)
{
    auto& router = m_routers[index];
    if (!isRunning(index))
        return;
    schedule(m_options.exchangeInterval, [this, index] { step(index); });
    if (router.isEarlierVersion)
        return;
    router.exchange->step(m_now);
    auto ranking = rankingOf(index);
    if (ranking.isHub()) {
        for (const auto& id : ranking.otherHubs()) {
            Inner::Wire::HubLoads loads;
            router.exchange->addTo(loads, id, m_now);
            auto hub = indexOf(id);
            schedule(latency(), [this, hub, loads, from = router.id] {
                m_routers[hub].receivedBytes += loads.ByteSizeLong();
                if (isRunning(hub) && !m_routers[hub].isEarlierVersion)
                    m_routers[hub].exchange->receive(from, loads, m_now);
            });
        }
        return;
    }
    auto hub = indexOf(*ranking.source());
    Inner::Wire::KnowledgeAsk request;
    router.exchange->addTo(request, m_routers[hub].id, m_now);
    schedule(latency(), [this, index, hub, request] {
        m_routers[hub].receivedBytes += request.ByteSizeLong();
        if (!isRunning(hub) || m_routers[hub].isEarlierVersion)
            return;
        Inner::Wire::Knowledge response;
        m_routers[hub].exchange->exchange(m_routers[index].id, request, response, m_now);
        schedule(latency(), [this, index, hub, response] {
            m_routers[index].receivedBytes += response.ByteSizeLong();
            if (isRunning(index))
                m_routers[index].exchange->receive(m_routers[hub].id, response, m_now);
        });
    });
}

// Results

double PaceFleet::slowdown(size_t router, size_t engine) const
{
    return m_routers[router].paces->slowdownOf(hashOf(engine), m_now);
}

double PaceFleet::trueSlowdown(size_t engine) const
{
    auto sum = std::accumulate(m_timeFactors.begin(), m_timeFactors.end(), 0.0);
    return m_timeFactors[engine] * static_cast<double>(m_timeFactors.size()) / sum;
}

double PaceFleet::accuracy(size_t router, size_t engine) const
{
    return slowdown(router, engine) / trueSlowdown(engine);
}

double PaceFleet::worstError() const
{
    double worst = 0;
    for (size_t router = 0; router < m_routers.size(); ++router) {
        if (!isRunning(router) || m_routers[router].isEarlierVersion)
            continue;
        for (size_t engine = 0; engine < m_options.engines; ++engine)
            worst = std::max(worst, std::abs(accuracy(router, engine) - 1));
    }
    return worst;
}

double PaceFleet::shareWithin(double error) const
{
    size_t all = 0;
    size_t close = 0;
    for (size_t router = 0; router < m_routers.size(); ++router) {
        if (!isRunning(router) || m_routers[router].isEarlierVersion)
            continue;
        for (size_t engine = 0; engine < m_options.engines; ++engine) {
            ++all;
            close += std::abs(accuracy(router, engine) - 1) <= error;
        }
    }
    return static_cast<double>(close) / static_cast<double>(all);
}

PaceFleet::Traffic PaceFleet::traffic() const
{
    Traffic traffic;
    for (size_t router = 0; router < m_routers.size(); ++router) {
        auto& greatest = isHub(router) ? traffic.greatestOfHubs : traffic.greatestOfSubscribers;
        greatest = std::max(greatest, sent(router).bytes + received(router));
    }
    return traffic;
}

double PaceFleet::leastEstimate(size_t engine) const
{
    double least = Routing::maxSlowdown;
    for (size_t router = 0; router < m_routers.size(); ++router) {
        if (isRunning(router) && !m_routers[router].isEarlierVersion)
            least = std::min(least, slowdown(router, engine));
    }
    return least;
}

} // namespace Brassladder::RouteServing::Gateway
