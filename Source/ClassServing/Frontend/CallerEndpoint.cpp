// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/CallerEndpoint.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "Common/Log.h"

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Json;
using Common::LogLevel;

static constexpr std::string_view chatPath = "/v1/chat/completions";
static constexpr std::string_view servicesPrefix = "/services/";

namespace {

// The destination that a request's path names.
struct Target {
    bool isChat { false };
    std::string_view service; // Name of the plain service; empty for a chat request.
    std::string_view path; // The rest of the target after the service's name, with the query.
};

} // namespace

// Returns nullopt if the request is neither a chat request nor a call of a service.
static std::optional<Target> targetOf(const Common::HttpExchange& exchange)
{
    if (exchange.path() == chatPath && exchange.request().method() == boost::beast::http::verb::post)
        return Target { true, {}, {} };
    if (!exchange.path().starts_with(servicesPrefix))
        return std::nullopt;
    auto rest = exchange.target().substr(servicesPrefix.size());
    auto end = std::min(rest.find_first_of("/?"), rest.size());
    auto path = rest.substr(end);
    return Target { false, rest.substr(0, end), path.empty() ? "/" : path };
}

// Returns whether the request's class belongs to the pool that the path names.
static bool isForPool(const RequestContext& context, const Target& target)
{
    const auto* pool = context.table->pool(context.requestClass->pool);
    if (!pool || (pool->kind == Config::PoolKind::Engine) != target.isChat)
        return false;
    return target.isChat || target.service == context.requestClass->pool;
}

static void refuse(Common::HttpExchange& exchange, const Common::Error& error)
{
    RequestMetrics::refused("", error.kind);
    exchange.respond(Common::errorResponse(error));
}

static void recordOutcome(const RequestContext& context, const Common::Status& status)
{
    Json line = { { "request_id", context.requestId }, { "workspace", context.workspace->name },
        { "class", context.policy().name },
        { "ms", Common::toMilliseconds(Common::now() - context.arrivedAt).count() } };
    if (!isError(status)) {
        context.explanation->step("answered");
        Common::log(LogLevel::Debug, "router", "request.answered", std::move(line));
        return;
    }
    const auto& error = errorOf(status);
    RequestMetrics::refused(context.policy().name, error.kind);
    Json details
        = { { "kind", Common::name(error.kind) }, { "ran", Common::name(error.ran) }, { "message", error.message } };
    context.explanation->step("failed", details);
    line.update(details);
    Common::log(LogLevel::Info, "router", "request.failed", std::move(line));
}

void CallerEndpoint::handle(Common::HttpExchange& exchange, bool isDraining)
{
    auto target = targetOf(exchange);
    if (!target)
        return refuse(exchange,
            Common::makeError(ErrorKind::UnknownRoute,
                "unknown path or method; use POST /v1/chat/completions or /services/NAME/..."));
    if (!m_parts.config.isReady())
        return refuse(
            exchange, Common::makeError(ErrorKind::NotReady, "the router has not loaded a configuration yet"));
    auto classified = classify(exchange, m_parts.config.table(), m_parts.explanations);
    if (isError(classified))
        return refuse(exchange, errorOf(classified));
    auto& context = valueOf(classified);
    if (isDraining)
        exchange.closeAfterResponse();
    if (!isForPool(context, *target))
        return refuse(exchange, Common::makeError(ErrorKind::ForbiddenClass, "the class belongs to another pool"));
    RequestMetrics::arrived(*context.requestClass);
    exchange.watchCaller([signal = context.signal] { signal->cancel(); });
    auto status = target->isChat ? m_parts.chat.handle(context) : m_parts.services.handle(context, target->path);
    recordOutcome(context, status);
}

} // namespace Brassladder::ClassServing::Frontend
