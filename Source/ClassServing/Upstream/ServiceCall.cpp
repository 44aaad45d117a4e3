// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Upstream/ServiceCall.h"

#include "Common/HttpConnectionPool.h"

#include <absl/strings/ascii.h>

namespace Brassladder::ClassServing::Upstream {

namespace beast = boost::beast;
using Common::HttpClientRequest;
using Common::HttpClientResponse;
using Common::Result;

// Headers that are not forwarded: the caller's key, the host, and the router's own headers.
static bool isStrippedHeader(std::string_view header)
{
    auto lower = absl::AsciiStrToLower(absl::string_view(header.data(), header.size()));
    return lower.starts_with("brassladder-") || lower == "host" || lower == "authorization";
}

static std::vector<Common::HttpHeader> headersForService(const Common::HttpRequest& request)
{
    auto hopByHop = Common::hopByHopFieldsOf(request);
    std::vector<Common::HttpHeader> headers;
    for (const auto& field : request) {
        std::string name(field.name_string().data(), field.name_string().size());
        if (!hopByHop.contains(name) && !isStrippedHeader(name))
            headers.push_back({ std::move(name), std::string(field.value().data(), field.value().size()) });
    }
    return headers;
}

std::vector<Common::HttpHeader> headersForCaller(const HttpClientResponse& response)
{
    auto hopByHop = Common::hopByHopFieldsOf(response);
    std::vector<Common::HttpHeader> headers;
    for (const auto& header : response.headers) {
        if (!hopByHop.contains(header.name) && !isStrippedHeader(header.name))
            headers.push_back(header);
    }
    return headers;
}

Result<HttpClientResponse> ServiceCall::run(
    const Common::HttpRequest& request, std::string_view target, bool mayRepeat, const UpstreamTimeouts& timeouts)
{
    HttpClientRequest call;
    call.method = std::string(request.method_string().data(), request.method_string().size());
    call.target = target;
    call.borrowedBody = request.body();
    call.responseTimeout = timeouts.response;
    call.headers = headersForService(request);
    call.headers.push_back({ std::string(requestIdHeader), m_requestId });

    if (mayRepeat) {
        auto taken = Common::HttpConnectionPool::forCurrentThread().acquire(m_service, timeouts.connect);
        if (isError(taken))
            return errorOf(taken);
        m_connection = std::move(valueOf(taken));
    } else {
        m_connection = std::make_unique<Common::HttpConnection>();
        if (auto status = m_connection->connect(m_service, timeouts.connect); isError(status))
            return errorOf(status);
    }
    if (m_cancelled)
        return Common::makeError(Common::ErrorKind::CallerGone, "the caller disconnected during the connect");
    auto answer = m_connection->start(call);
    if (isError(answer))
        return answer;
    auto body = m_connection->readRemainingBody(Common::maxBufferedResponseBytes, m_reserve);
    if (isError(body))
        return errorOf(body);
    if (valueOf(answer).header(ranHeader) == "no")
        return statusError(valueOf(answer));
    valueOf(answer).body = std::move(valueOf(body));
    if (mayRepeat)
        Common::HttpConnectionPool::forCurrentThread().release(m_service, std::move(m_connection));
    return answer;
}

void ServiceCall::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->close();
}

} // namespace Brassladder::ClassServing::Upstream
