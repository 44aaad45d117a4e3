// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ServiceHandler.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "ClassServing/Upstream/ServiceCall.h"

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Status;
using Scheduling::SlotOutcome;

static SlotOutcome outcomeOf(ErrorKind kind)
{
    if (kind == ErrorKind::UpstreamConnect)
        return SlotOutcome::ConnectFailed;
    return kind == ErrorKind::UpstreamRefused ? SlotOutcome::RefusedByUpstream : SlotOutcome::Broken;
}

static Common::HttpResponse responseOf(Common::HttpClientResponse answer, const std::string& requestId)
{
    // The content type stays empty, since it is among the service's headers.
    Common::HttpResponse response { answer.status, std::move(answer.body), {}, Upstream::headersForCaller(answer) };
    response.headers.push_back({ std::string(requestIdHeader), requestId });
    return response;
}

Status ServiceHandler::handle(RequestContext& context, std::string_view target)
{
    Common::HttpClientResponse answer;
    auto runAttempt = [&](const Membership::Upstream& upstream) -> AttemptResult {
        auto call = std::make_shared<Upstream::ServiceCall>(upstream.endpoint, context.requestId);
        call->setReserve([&, deadline = Common::now() + m_timeouts.response](
                             size_t bytes) { return context.exchange.reserveResponse(bytes, deadline); });
        context.exchange.watchCaller(
            [signal = context.signal, weak = std::weak_ptr(call), keep = context.requestClass->noRepeat] {
                signal->cancel();
                // Does not cancel a call that must not be repeated, as its outcome would then be unknown.
                if (auto live = weak.lock(); live && !keep)
                    live->cancel();
            });
        auto result = call->run(context.exchange.request(), target, !context.requestClass->noRepeat, m_timeouts);
        context.exchange.watchCaller([signal = context.signal] { signal->cancel(); });
        if (isError(result)) {
            const auto& error = errorOf(result);
            context.explanation->step(
                "try_failed", { { "reason", Common::name(error.kind) }, { "message", error.message } });
            if (context.signal->isCancelled())
                return { SlotOutcome::Cancelled, Common::makeError(ErrorKind::CallerGone, "the caller disconnected"), 0,
                    {} };
            return { outcomeOf(error.kind), error, 0, {} };
        }
        answer = std::move(valueOf(result));
        return {};
    };
    auto status = m_loop.run(context, runAttempt);
    if (isError(status)) {
        auto response = Common::errorResponse(errorOf(status));
        response.headers.push_back({ std::string(requestIdHeader), context.requestId });
        context.exchange.respond(response);
        return status;
    }
    RequestMetrics::answered(*context.requestClass, Common::now() - context.arrivedAt);
    RequestMetrics::completed(context.policy().name, 0);
    // The response must not state an end that the service did not state.
    auto framing = answer.framing;
    context.exchange.respond(responseOf(std::move(answer), context.requestId), framing);
    return status;
}

} // namespace Brassladder::ClassServing::Frontend
