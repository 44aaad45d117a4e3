// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UpstreamConnector.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/HttpStatus.h"
#include "Common/Log.h"
#include "Inner/TunnelServer.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Routing/RelayTimes.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>

namespace Brassladder::RouteServing::Gateway {

using Common::Endpoint;
using Common::HttpConnection;
using Common::Milliseconds;
using Common::TimePoint;

// The attempts to open one connection. Shared by the fiber of the request and those of the attempts, all of one thread.
// Attempts may outlive the request.
struct UpstreamConnector::Race {
    enum class State : uint8_t { Waiting, Pending, Failed, Established };
    struct Attempt {
        std::optional<Endpoint> relay; // nullopt for a direct attempt.
        TimePoint startAt;
        State state { State::Waiting };
        std::unique_ptr<HttpConnection> connection {};
    };

    bool isDirectTried() const
    {
        return std::any_of(attempts.begin(), attempts.end(), [](const auto& attempt) { return !attempt.relay; });
    }
    // Whether attempts have not ended yet, or are not due yet.
    bool isRunning() const
    {
        return std::any_of(attempts.begin(), attempts.end(),
            [](const auto& attempt) { return attempt.state == State::Pending || attempt.state == State::Waiting; });
    }
    // Returns the index of the next attempt, or nullopt if all were started.
    std::optional<size_t> nextAttempt() const
    {
        auto found = std::find_if(
            attempts.begin(), attempts.end(), [](const auto& attempt) { return attempt.state == State::Waiting; });
        if (found == attempts.end())
            return std::nullopt;
        return static_cast<size_t>(found - attempts.begin());
    }
    // Returns the index of the attempt to start now: at its time, or at once if no router is being asked.
    std::optional<size_t> dueAttempt(TimePoint now) const
    {
        auto next = nextAttempt();
        bool isAskingRouter = std::any_of(attempts.begin(), attempts.end(),
            [](const auto& attempt) { return attempt.relay && attempt.state == State::Pending; });
        return next && (now >= attempts[*next].startAt || !isAskingRouter) ? next : std::nullopt;
    }
    // Suspends the fiber until an attempt ends or the next one is due.
    void awaitChange(std::unique_lock<boost::fibers::mutex>& lock)
    {
        auto next = nextAttempt();
        if (next || !hasRelays)
            hasChanged.wait_until(lock, next ? attempts[*next].startAt : relaysFrom);
        else
            hasChanged.wait(lock);
    }

    Race(Routing::UpstreamRecord record, Milliseconds time)
        : upstream(std::move(record))
        , timeout(time)
    {
    }

    const Routing::UpstreamRecord upstream;
    const Milliseconds timeout;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable hasChanged;
    std::deque<Attempt> attempts; // References to the attempts stay valid.
    TimePoint relaysFrom; // When attempts through other routers begin.
    bool hasRelays { false }; // These attempts were added.
    std::optional<size_t> winner; // The first established attempt.
    bool isOver { false };
    Common::ConnectionEnd directEnd { Common::ConnectionEnd::None };
    std::string problem;
};

UpstreamConnector::UpstreamConnector(std::string authorization)
    : m_authorization(std::move(authorization))
    , m_openDirect([](HttpConnection& connection, const Endpoint& endpoint, Milliseconds timeout) {
        return connection.connect(endpoint, timeout);
    })
{
}

bool UpstreamConnector::mayReuse(const Endpoint& upstream) const
{
    return !m_reachability.isLinkLost(upstream, Common::now());
}

UpstreamConnector::Result UpstreamConnector::connect(
    const Routing::UpstreamRecord& upstream, Milliseconds timeout, Refusal refusal)
{
    auto started = Common::now();
    auto race = std::make_shared<Race>(upstream, timeout);
    bool isLinkLost = m_reachability.isLinkLost(upstream.endpoint, started);
    race->relaysFrom = isLinkLost ? started : started + Routing::relayDelay(timeout);
    if (!isLinkLost || m_reachability.takeProbe(upstream.endpoint, started))
        race->attempts.push_back({ std::nullopt, started });
    std::unique_lock lock(race->mutex);
    while (!race->winner) {
        auto now = Common::now();
        if (auto due = race->dueAttempt(now))
            startAttempt(race, *due);
        else if (!race->hasRelays && now >= race->relaysFrom)
            addRelays(*race, now);
        else if (race->isRunning())
            race->awaitChange(lock);
        else if (!extend(*race, refusal, now))
            break;
    }
    return finish(*race);
}

// All attempts have failed. Returns whether others follow.
bool UpstreamConnector::extend(Race& race, Refusal refusal, TimePoint now) const
{
    if (!race.hasRelays && (refusal == Refusal::AskOthers || m_reachability.areLinksSuspect(now))) {
        race.relaysFrom = now;
        return true;
    }
    if (!race.hasRelays || race.isDirectTried())
        return false;
    race.attempts.push_back({ std::nullopt, now });
    return true;
}

std::optional<boost::asio::ip::tcp::socket> UpstreamConnector::connectForTunnel(
    const Endpoint& upstream, Milliseconds timeout)
{
    HttpConnection connection;
    auto status = m_openDirect(connection, upstream, timeout);
    if (isError(status)) {
        m_reachability.recordDirectFailure(upstream, Common::now());
        return std::nullopt;
    }
    m_reachability.recordDirect(upstream, Common::now());
    return connection.releaseSocket();
}

void UpstreamConnector::addRelays(Race& race, TimePoint from) const
{
    race.hasRelays = true;
    auto routers = m_routers();
    auto random = [](size_t limit) { return static_cast<size_t>(Common::randomNumber() % limit); };
    for (auto& relay : m_relays.choose(routers, Routing::maxRelays, from, random)) {
        race.attempts.push_back({ std::move(relay), from });
        from += Routing::relayInterval;
    }
}

void UpstreamConnector::startAttempt(const std::shared_ptr<Race>& race, size_t index)
{
    auto& attempt = race->attempts[index];
    attempt.state = Race::State::Pending;
    attempt.connection = std::make_unique<HttpConnection>();
    Common::FiberRuntime::spawnOnCurrentThread([this, race, index] {
        auto status = open(*race, index);
        std::lock_guard lock(race->mutex);
        auto& ended = race->attempts[index];
        ended.state = isError(status) ? Race::State::Failed : Race::State::Established;
        if (!ended.relay)
            recordDirect(*race, status);
        if (isError(status))
            race->problem = errorOf(status).message;
        else if (race->winner || race->isOver)
            ended.connection->close();
        else
            race->winner = index;
        race->hasChanged.notify_all();
    });
}

Common::Status UpstreamConnector::open(Race& race, size_t index) const
{
    auto& attempt = race.attempts[index];
    if (!attempt.relay)
        return m_openDirect(*attempt.connection, race.upstream.endpoint, race.timeout);
    Common::HttpConnection::TunnelRequest request { race.upstream.endpoint, m_authorization,
        { { std::string(Inner::tunnelUpstreamField), race.upstream.id } } };
    return attempt.connection->connectThrough(
        *attempt.relay, request, std::max(race.timeout, Routing::minRelayTimeout));
}

// Also called after the end of the race: a direct connection that comes up late shows that the link works.
void UpstreamConnector::recordDirect(Race& race, const Common::Status& status)
{
    auto now = Common::now();
    if (!isError(status))
        return m_reachability.recordDirect(race.upstream.endpoint, now);
    m_reachability.recordDirectFailure(race.upstream.endpoint, now);
    for (const auto& attempt : race.attempts) {
        if (!attempt.relay)
            race.directEnd = attempt.connection->end();
    }
}

UpstreamConnector::Result UpstreamConnector::finish(Race& race)
{
    race.isOver = true;
    recordRelays(race);
    reportLinks();
    for (size_t index = 0; index < race.attempts.size(); ++index) {
        auto& attempt = race.attempts[index];
        if (index != race.winner && attempt.relay && attempt.state == Race::State::Pending)
            attempt.connection->close();
    }
    if (!race.winner) {
        GatewayMetrics::upstreamConnection(GatewayMetrics::ConnectionPath::None);
        return { nullptr, std::nullopt, race.directEnd, race.problem };
    }
    auto& winner = race.attempts[*race.winner];
    GatewayMetrics::upstreamConnection(
        winner.relay ? GatewayMetrics::ConnectionPath::Relay : GatewayMetrics::ConnectionPath::Direct);
    return { std::move(winner.connection), winner.relay, Common::ConnectionEnd::None, {} };
}

void UpstreamConnector::recordRelays(Race& race)
{
    auto now = Common::now();
    bool wasRelayed = race.winner && race.attempts[*race.winner].relay;
    size_t relays = 0;
    size_t withoutUpstream = 0;
    for (const auto& attempt : race.attempts) {
        if (!attempt.relay || attempt.state == Race::State::Waiting)
            continue;
        if (attempt.state == Race::State::Established) {
            m_relays.recordSuccess(*attempt.relay);
            continue;
        }
        // A router that did not reach the upstream, or not in time, has failed only if another router did reach it.
        bool reachedNoUpstream = attempt.connection->relayStatus() == Common::badGateway;
        bool hasFailed = attempt.state == Race::State::Failed && !reachedNoUpstream;
        if (wasRelayed || hasFailed)
            m_relays.recordFailure(*attempt.relay, now);
        ++relays;
        withoutUpstream += reachedNoUpstream;
    }
    if (wasRelayed)
        m_reachability.recordRelayed(race.upstream.endpoint, race.isDirectTried(), now);
    else if (!race.winner && relays && withoutUpstream == relays)
        m_reachability.recordUnreachable(race.upstream.endpoint);
}

void UpstreamConnector::reportLinks()
{
    bool areLost = areAllLinksLost();
    if (m_wereAllLinksLost.exchange(areLost) == areLost)
        return;
    Common::log(
        Common::LogLevel::Warning, "gateway", areLost ? "links.lost" : "links.restored", Common::Json::object());
}

} // namespace Brassladder::RouteServing::Gateway
