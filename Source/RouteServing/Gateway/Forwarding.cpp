// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/Forwarding.h"

#include "RouteServing/Gateway/HeaderRules.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

// Replaces the caller's header of that name: with both present, an upstream might use the caller's value.
static void setHeader(std::vector<Common::HttpHeader>& headers, const std::string& name, std::string value)
{
    std::erase_if(headers, [&](const auto& header) { return absl::EqualsIgnoreCase(header.name, name); });
    headers.push_back({ name, std::move(value) });
}

Common::HttpClientRequest requestForUpstream(
    const HeaderScheme& scheme, const ForwardedRequest& forwarded, Common::TimePoint now)
{
    const auto& headers = scheme.upstream;
    const auto& received = forwarded.exchange.request();
    Common::HttpClientRequest request;
    request.method = std::string(received.method_string().data(), received.method_string().size());
    request.target = forwarded.exchange.target();
    request.borrowedBody = received.body();
    request.deadline = forwarded.deadline;
    request.headers = headersForUpstream(received, headers.withheldHeaders);
    auto remaining = std::max(Common::toMilliseconds(forwarded.deadline - now), 1ms);
    request.headers.push_back({ scheme.caller.deadlineHeader, std::to_string(remaining.count()) });
    request.headers.push_back({ headers.expectedInstanceHeader, std::string(forwarded.expectedUpstream) });
    if (forwarded.workspace)
        request.headers.push_back({ headers.workspaceHeader, forwarded.workspace->name });
    if (forwarded.priority)
        request.headers.push_back({ headers.priorityHeader, std::to_string(*forwarded.priority) });
    if (forwarded.prefixSource)
        request.headers.push_back({ headers.prefixSourceHeader, forwarded.prefixSource->text() });
    forwarded.replica.addHeaders(request);
    if (forwarded.resumeAfterEvent)
        setHeader(request.headers, headers.lastEventIdHeader, std::to_string(*forwarded.resumeAfterEvent));
    return request;
}

Common::HttpResponse refusalResponse(
    const HeaderScheme& scheme, const Routing::Refusal& refusal, bool mayHaveRun, const std::string& requestId)
{
    auto error = Common::makeError(refusal.kind, refusal.reason);
    if (refusal.retryAfter.count() > 0)
        error.retryAfter = refusal.retryAfter;
    if (mayHaveRun)
        error.ran = Common::Ran::Maybe;
    auto response = Common::errorResponse(error);
    // The platform's callers accept fractions of a second, so the header in whole seconds is replaced.
    std::erase_if(response.headers, [](const auto& header) { return header.name == "Retry-After"; });
    if (error.retryAfter.count() > 0 && !mayHaveRun)
        response.headers.push_back({ "Retry-After", scheme.caller.retryAfter(error.retryAfter) });
    if (!requestId.empty())
        response.headers.push_back({ scheme.caller.requestIdHeader, requestId });
    return response;
}

} // namespace Brassladder::RouteServing::Gateway
