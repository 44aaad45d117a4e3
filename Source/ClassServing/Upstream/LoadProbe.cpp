// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Upstream/LoadProbe.h"

#include "Common/HttpClient.h"

namespace Brassladder::ClassServing::Upstream {

using Common::ErrorKind;
using Common::member;

static constexpr Common::Milliseconds connectTimeout { 300 };
static constexpr Common::Milliseconds responseTimeout { 500 };

Common::Result<Scheduling::LoadReport> readLoad(const Common::Endpoint& endpoint)
{
    Common::HttpClientRequest call;
    call.target = "/load";
    call.connectTimeout = connectTimeout;
    call.responseTimeout = responseTimeout;
    auto answer = Common::callOnce(endpoint, call);
    if (isError(answer))
        return errorOf(answer);
    auto body = Common::parseJson(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !body.is_object())
        return Common::makeError(
            ErrorKind::UpstreamBroken, "load report: response is not a JSON object with status 200");
    return Scheduling::LoadReport { member<uint32_t>(body, "running", 0), member<uint32_t>(body, "waiting", 0),
        member<bool>(body, "leaving", false) };
}

} // namespace Brassladder::ClassServing::Upstream
