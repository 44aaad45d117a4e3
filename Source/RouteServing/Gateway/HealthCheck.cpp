// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/HealthCheck.h"

namespace Brassladder::RouteServing::Gateway {

bool isAnsweredByOtherUpstream(Common::HttpConnection& connection, const Routing::UpstreamRecord& expected,
    const std::string& healthPath, const UpstreamHeaders& headers, Common::Milliseconds timeout)
{
    Common::HttpClientRequest request;
    request.target = healthPath;
    request.headers.push_back({ "Host", expected.endpoint.text() });
    request.headers.push_back({ headers.expectedInstanceHeader, expected.id });
    request.deadline = Common::now() + timeout;
    auto response = connection.start(request);
    if (isError(response))
        return false;
    auto id = valueOf(response).header(headers.instanceIdHeader);
    return headers.isFromOtherUpstream(valueOf(response)) || (!id.empty() && id != expected.id);
}

} // namespace Brassladder::RouteServing::Gateway
