// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UpstreamConnector.h"

#include "RouteServing/Gateway/GatewayMetrics.h"

namespace Brassladder::RouteServing::Gateway {

using GatewayMetrics::ConnectionPath;

UpstreamConnector::UpstreamConnector()
    : m_openDirect([](Common::HttpConnection& connection, const Common::Endpoint& endpoint,
                       Common::Milliseconds timeout) { return connection.connect(endpoint, timeout); })
{
}

UpstreamConnector::Result UpstreamConnector::connect(
    const Routing::UpstreamRecord& upstream, Common::Milliseconds timeout)
{
    Result result;
    auto connection = std::make_unique<Common::HttpConnection>();
    auto status = m_openDirect(*connection, upstream.endpoint, timeout);
    GatewayMetrics::upstreamConnection(isError(status) ? ConnectionPath::None : ConnectionPath::Direct);
    if (isError(status))
        return { nullptr, connection->end(), errorOf(status).message };
    result.connection = std::move(connection);
    return result;
}

} // namespace Brassladder::RouteServing::Gateway
