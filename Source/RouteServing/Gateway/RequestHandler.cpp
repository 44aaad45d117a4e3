// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RequestHandler.h"

#include "Common/Digest.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/HeaderRules.h"

#include <algorithm>
#include <charconv>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::Json;
using Common::LogLevel;
using Common::Milliseconds;
using Routing::Fate;
using Routing::RouteKind;
using namespace std::chrono_literals;

// Largest answer that is held whole. Streams are passed on as they come.
static constexpr size_t maxResponseBytes = 16 * 1024 * 1024;
// A request that may not run twice takes a kept connection only when it has just been used.
static constexpr Milliseconds maxIdleForOnceOnly = 1000ms;
static constexpr Milliseconds minConnectTimeout = 50ms;
static constexpr Milliseconds maxConnectTimeout = 500ms;
// Connections that fail are tried elsewhere, as many times as there may be upstreams that just ended.
static constexpr size_t maxConnectFailures = 4;
static constexpr unsigned firstServerFailure = 500;

RequestHandler::RequestHandler(RequestServices parts, Common::HttpExchange& exchange)
    : m_parts(parts)
    , m_exchange(exchange)
    , m_arrived(Common::now())
    , m_configuration(parts.watcher.configuration())
    , m_table(m_configuration ? &m_configuration->table : nullptr)
    , m_requestId(exchange.header(parts.headerScheme.caller.requestIdHeader))
    , m_path(exchange.path())
    , m_backup(parts.headerScheme.upstream)
    , m_times(m_arrived)
{
}

void RequestHandler::run()
{
    if (admit())
        attemptUpstreams();
    logEnd();
}

// Admission

bool RequestHandler::admit()
{
    if (m_parts.isClosing)
        return refuse(ErrorKind::Draining, "this instance is stopping"), false;
    if (!m_table || !m_parts.watcher.knowsUpstreams())
        return refuse(ErrorKind::NotReady, "no configuration yet"), false;
    if (!findRoute() || !findWorkspace())
        return false;
    readDeadline();
    m_service = pickService();
    const auto* service = m_table->service(m_service);
    m_isGeneration = service && service->engine;
    if (m_isGeneration) {
        m_prompt = m_parts.headerScheme.caller.prompt(m_exchange.request());
        m_batch = service->engine->batch;
        m_replicatesKvCache = service->engine->replicatesKvCache;
    }
    m_parts.retries.of(m_service).countRequest(m_arrived);
    return true;
}

bool RequestHandler::findRoute()
{
    auto host = m_exchange.header("Host");
    host = host.substr(0, host.find(':'));
    m_route = m_table->find(host, m_path);
    if (!m_route)
        return refuse(ErrorKind::UnknownRoute, "no route for this host and path"), false;
    return true;
}

bool RequestHandler::findWorkspace()
{
    if (m_route->anonymous || !m_table->wantsKeys())
        return true;
    if (!keyIsUsable())
        return refuse(ErrorKind::PlatformUnavailable, "keys were not confirmed recently"), false;
    m_workspace = m_table->workspaceOfKey(m_parts.headerScheme.caller.key(m_exchange.request()));
    if (!m_workspace)
        return refuse(ErrorKind::Unauthenticated, "unknown key"), false;
    return true;
}

bool RequestHandler::keyIsUsable() const
{
    return m_route->anonymous || !m_table->wantsKeys() || m_parts.lease.isFresh(Common::now());
}

void RequestHandler::readDeadline()
{
    auto text = m_exchange.header(m_parts.headerScheme.caller.deadlineHeader);
    auto patience = m_route->timeout;
    int64_t told = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), told).ec == std::errc() && told > 0)
        patience = std::min(patience, Milliseconds(told));
    m_deadline = m_arrived + patience;
}

std::string_view RequestHandler::pickService() const
{
    const auto& shares = m_route->shares;
    uint64_t total = 0;
    for (const auto& share : shares)
        total += share.weight;
    if (!total)
        return shares.empty() ? std::string_view {} : shares.front().service;
    auto drawn = Common::randomNumber() % total;
    for (const auto& share : shares) {
        if (drawn < share.weight)
            return share.service;
        drawn -= share.weight;
    }
    return shares.back().service;
}

// Tries

void RequestHandler::attemptUpstreams()
{
    m_exchange.watchCaller([this] {
        // What may not be repeated runs on: its caller could not ask again.
        if (m_current && m_route->kind != RouteKind::OnceOnly)
            m_current->cancel();
    });
    while (true) {
        auto now = Common::now();
        if (now >= m_deadline)
            return refuse(m_mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::WaitExpired, "out of time");
        if (!keyIsUsable())
            return refuse(ErrorKind::PlatformUnavailable, "keys were not confirmed recently");
        auto choice = chooseUpstream(now);
        if (!choice)
            return refuse(m_mayHaveRun ? ErrorKind::UpstreamBroken : ErrorKind::NoUpstream, "no upstream is left");
        if (runAttempt(*choice) == Next::Done)
            return;
    }
}

std::optional<Routing::UpstreamRegistry::Placement> RequestHandler::chooseUpstream(Common::TimePoint now)
{
    const auto* prompt = m_isGeneration ? &m_prompt : nullptr;
    auto choice = m_failover ? std::exchange(m_failover, std::nullopt)
                             : m_parts.registry.choose({ m_service, prompt, m_batch, m_attempted }, now);
    if (!choice)
        return std::nullopt;
    m_attempted.push_back(choice->upstream.id);
    m_queuedPrefillTokens = choice->queuedPrefillTokens;
    m_prefillTokens = choice->prefillTokens;
    if (wantsReplica(now))
        m_backup.choose(m_parts.registry, { m_service, prompt, m_batch, m_attempted }, now);
    else
        m_backup.drop();
    return choice;
}

bool RequestHandler::wantsReplica(Common::TimePoint now) const
{
    return m_replicatesKvCache && m_route->kind == RouteKind::Stream && !m_route->mayRepeat()
        && Routing::EnginePlacement::isDecodeHeavy(m_prompt) && m_parts.registry.enginesFailMidStream(now);
}

RequestHandler::Next RequestHandler::runAttempt(const Routing::UpstreamRegistry::Placement& choice)
{
    UpstreamAttempt attempt(m_parts.headerScheme, m_parts.registry, choice);
    UpstreamAttempt::Terms terms;
    terms.requestId = m_requestId;
    terms.connectTimeout = std::clamp(m_route->objective / 2, minConnectTimeout, maxConnectTimeout);
    terms.maxIdleTime = m_route->mayRepeat() ? Milliseconds::max() : maxIdleForOnceOnly;
    m_current = &attempt;
    auto fate = attempt.start(callFor(choice.upstream), terms);
    auto next = Next::Done;
    if (m_exchange.callerGone() && m_route->kind != RouteKind::OnceOnly) {
        m_exchange.abandon();
        m_reason = "caller_gone";
    } else if (fate != Fate::Ran) {
        next = onFailedAttempt(fate, attempt);
    } else if (m_route->kind == RouteKind::Stream && attempt.head().status < 400) {
        next = relayStream(attempt);
    } else {
        next = relayWhole(attempt);
    }
    m_current = nullptr;
    return next;
}

bool RequestHandler::mayRetry(Fate fate)
{
    if (Common::now() >= m_deadline)
        return false;
    if (m_mayHaveRun && !m_route->mayRepeat())
        return mayFailOver(fate);
    if (fate == Fate::NotSent)
        return m_attempted.size() - m_sent <= maxConnectFailures;
    bool isSafe = fate == Fate::Refused || m_route->mayRepeat();
    if (!isSafe || m_sent >= std::max(1u, m_route->maxAttempts))
        return false;
    return m_parts.retries.of(m_service).takeRetry(Common::now());
}

// The run itself goes on, at the engine that keeps its copy. Before the first event there may be no copy, and an engine
// without one might run the request anew before it says so.
bool RequestHandler::mayFailOver(Fate fate)
{
    if (fate != Fate::MaybeRan || !m_events.lastId())
        return false;
    m_failover = m_backup.failOver(m_parts.registry);
    return m_failover && m_parts.retries.of(m_service).takeRetry(Common::now());
}

RequestHandler::Next RequestHandler::onFailedAttempt(Fate fate, UpstreamAttempt& attempt)
{
    if (fate != Fate::NotSent)
        ++m_sent;
    if (fate == Fate::MaybeRan)
        m_mayHaveRun = true;
    bool again = mayRetry(fate);
    GatewayMetrics::attemptFailed(fate, again);
    Common::log(LogLevel::Info, "gateway", "try.failed",
        { { "request", m_requestId }, { "upstream", attempt.upstream().id }, { "fate", Routing::name(fate) },
            { "problem", attempt.problem() }, { "again", again } });
    if (again) {
        m_events.discardPartialEvent();
        return Next::TryAnother;
    }
    if (m_streaming) {
        m_exchange.abandon();
        m_reason = "stream_not_resumed";
        return Next::Done;
    }
    if (!m_mayHaveRun) {
        refuse(fate == Fate::Refused ? ErrorKind::UpstreamRefused : ErrorKind::NoUpstream, attempt.problem());
        return Next::Done;
    }
    refuse(Common::now() >= m_deadline ? ErrorKind::UpstreamTimeout : ErrorKind::UpstreamBroken, attempt.problem());
    return Next::Done;
}

RequestHandler::Next RequestHandler::relayWhole(UpstreamAttempt& attempt)
{
    auto body = attempt.readBody(maxResponseBytes);
    if (isError(body))
        return onFailedAttempt(Fate::MaybeRan, attempt);
    attempt.finish();
    ++m_sent;
    bool failed = attempt.head().status >= firstServerFailure;
    if (failed && mayRetry(Fate::MaybeRan)) {
        m_mayHaveRun = true;
        return Next::TryAnother;
    }
    answerWith(attempt.head(), std::move(valueOf(body)));
    return Next::Done;
}

RequestHandler::Next RequestHandler::relayStream(UpstreamAttempt& attempt)
{
    while (true) {
        auto piece = attempt.readPiece();
        if (m_exchange.callerGone()) {
            m_exchange.abandon();
            m_reason = "caller_gone";
            return Next::Done;
        }
        if (isError(piece))
            return onFailedAttempt(Fate::MaybeRan, attempt);
        bool ended = valueOf(piece).empty();
        m_events.feed(valueOf(piece));
        auto events = m_events.takeEvents();
        if (ended)
            events += m_events.takeRemainder();
        if (!events.empty()) {
            attempt.recordPrefillDone();
            m_times.recordEvents(Common::now());
        }
        // The head waits for the first event: before it, another upstream may still take over.
        if (!m_streaming && (ended || !events.empty())) {
            m_streaming = true;
            m_status = attempt.head().status;
            m_exchange.beginStream({ m_status, {}, {}, headersForCaller(attempt.head()) });
            GatewayMetrics::firstByte(Common::now() - m_arrived);
        }
        if (!events.empty() && !m_exchange.write(events)) {
            m_exchange.abandon();
            m_reason = "caller_gone";
            attempt.cancel();
            return Next::Done;
        }
        if (!ended)
            continue;
        attempt.finish();
        m_exchange.endStream();
        return Next::Done;
    }
}

// What is sent

Common::HttpClientRequest RequestHandler::callFor(const Routing::UpstreamRecord& upstream) const
{
    const auto& words = m_parts.headerScheme.upstream;
    const auto& request = m_exchange.request();
    Common::HttpClientRequest call;
    call.method = std::string(request.method_string().data(), request.method_string().size());
    call.target = m_exchange.target();
    call.body = request.body();
    call.deadline = m_deadline;
    call.headers = headersForUpstream(request, words.withheldHeaders);
    auto left = std::max(Common::toMilliseconds(m_deadline - Common::now()), 1ms);
    call.headers.push_back({ m_parts.headerScheme.caller.deadlineHeader, std::to_string(left.count()) });
    call.headers.push_back({ words.expectedInstanceHeader, upstream.id });
    if (m_workspace)
        call.headers.push_back({ words.workspaceHeader, m_workspace->name });
    auto priority = m_workspace && m_workspace->priority ? *m_workspace->priority : m_route->priority;
    if (m_isGeneration)
        call.headers.push_back({ words.priorityHeader, std::to_string(std::min(priority, words.lowestPriority)) });
    m_backup.addHeaders(call, m_requestId);
    if (m_streaming && m_events.lastId())
        call.headers.push_back({ words.lastEventHeader, std::to_string(*m_events.lastId()) });
    return call;
}

void RequestHandler::answerWith(const Common::HttpClientResponse& answer, std::string body)
{
    m_status = answer.status;
    GatewayMetrics::firstByte(Common::now() - m_arrived);
    m_exchange.respond({ m_status, std::move(body), {}, headersForCaller(answer) });
}

void RequestHandler::refuse(ErrorKind kind, std::string_view why)
{
    // Most kinds promise that the request did not run.
    if (m_mayHaveRun && Common::traits(kind).ran == Common::Ran::No)
        kind = ErrorKind::UpstreamBroken;
    m_reason = Common::name(kind);
    if (m_streaming)
        return m_exchange.abandon();
    auto error = Common::makeError(kind, std::string(why));
    if (m_mayHaveRun)
        error.ran = Common::Ran::Maybe;
    auto response = Common::errorResponse(error);
    m_status = response.status;
    std::erase_if(response.headers, [](const auto& header) { return header.name == "Retry-After"; });
    if (error.retryAfter.count() > 0 && !m_mayHaveRun)
        response.headers.push_back({ "Retry-After", m_parts.headerScheme.caller.retryAfter(error.retryAfter) });
    if (!m_requestId.empty())
        response.headers.push_back({ m_parts.headerScheme.caller.requestIdHeader, m_requestId });
    m_exchange.respond(response);
}

void RequestHandler::logEnd() const
{
    auto now = Common::now();
    GatewayMetrics::requestEnded(m_status, m_reason, now - m_arrived);
    Json fields = { { "request", m_requestId }, { "status", m_status },
        { "ms", Common::toMilliseconds(now - m_arrived).count() } };
    if (!m_reason.empty())
        fields["reason"] = m_reason;
    if (m_route)
        fields["route"] = m_route->name;
    if (m_table) {
        fields["version"] = m_table->version();
        fields["version_age_ms"] = m_parts.lease.age(now).count();
        fields["upstreams_age_ms"] = m_parts.watcher.upstreamsAge(now).count();
    }
    if (!m_attempted.empty())
        fields["upstreams"] = m_attempted;
    if (m_times.hasEvents()) {
        fields["awaited_tokens"] = m_queuedPrefillTokens;
        fields["unread_tokens"] = m_prefillTokens;
        fields["first_event_ms"] = m_times.firstEvent().count();
        fields["longest_pause_ms"] = m_times.longestPause().count();
    }
    Common::log(LogLevel::Info, "gateway", "request.end", std::move(fields));
}

} // namespace Brassladder::RouteServing::Gateway
