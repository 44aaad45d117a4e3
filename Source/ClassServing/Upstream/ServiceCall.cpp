// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Upstream/ServiceCall.h"

#include <array>

namespace Brassladder::ClassServing::Upstream {

namespace beast = boost::beast;
using Common::HttpClientRequest;
using Common::HttpClientResponse;
using Common::Result;

static constexpr size_t maxAnswerBytes = 16 * 1024 * 1024;

bool isForwarded(std::string_view header)
{
    // RFC 9110 section 7.6.1, the caller's key, and our own headers.
    static constexpr std::array<std::string_view, 11> s_dropped { "connection", "keep-alive", "proxy-connection", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length", "host", "authorization", "expect" };
    std::string lower;
    for (char letter : header)
        lower += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return !lower.starts_with("brassladder-")
        && std::find(s_dropped.begin(), s_dropped.end(), lower) == s_dropped.end();
}

Result<HttpClientResponse> ServiceCall::run(
    const Common::HttpRequest& request, std::string_view target, bool mayRepeat, const UpstreamTimeouts& timeouts)
{
    HttpClientRequest call;
    call.method = std::string(request.method_string().data(), request.method_string().size());
    call.target = target;
    call.body = request.body();
    call.responseTimeout = timeouts.answer;
    for (const auto& field : request) {
        std::string name(field.name_string().data(), field.name_string().size());
        if (isForwarded(name))
            call.headers.push_back({ std::move(name), std::string(field.value().data(), field.value().size()) });
    }
    call.headers.push_back({ std::string(requestIdHeader), m_requestId });

    if (mayRepeat) {
        auto taken = Common::HttpConnectionPool::here().take(m_service, timeouts.connect);
        if (isError(taken))
            return errorOf(taken);
        m_connection = std::move(valueOf(taken));
    } else {
        m_connection = std::make_unique<Common::HttpConnection>();
        if (auto status = m_connection->connect(m_service, timeouts.connect); isError(status))
            return errorOf(status);
    }
    auto answer = m_connection->start(call);
    if (isError(answer))
        return answer;
    auto body = m_connection->readRest(maxAnswerBytes);
    if (isError(body))
        return errorOf(body);
    if (valueOf(answer).header(ranHeader) == "no")
        return statusError(valueOf(answer));
    valueOf(answer).body = std::move(valueOf(body));
    if (mayRepeat)
        Common::HttpConnectionPool::here().release(m_service, std::move(m_connection));
    return answer;
}

void ServiceCall::cancel()
{
    if (m_connection)
        m_connection->close();
}

} // namespace Brassladder::ClassServing::Upstream
