// SPDX-License-Identifier: Apache-2.0
#include "Operator/RouterCall.h"

#include "Common/HttpClient.h"

namespace Brassladder::Operator {

static constexpr unsigned statusOk = 200;

Common::Result<Common::Json> callRouter(
    const Common::Endpoint& router, const std::string& fleetKey, std::string method, std::string target)
{
    Common::HttpClientRequest call;
    call.method = std::move(method);
    call.target = std::move(target);
    call.headers = { { "Authorization", "Bearer " + fleetKey } };
    auto answer = Common::callOnce(router, call);
    if (isError(answer))
        return errorOf(answer);
    if (valueOf(answer).status != statusOk)
        return Common::makeError(Common::ErrorKind::PlatformUnavailable,
            router.text() + " responded with status " + std::to_string(valueOf(answer).status));
    return Common::parseJson(valueOf(answer).body);
}

} // namespace Brassladder::Operator
