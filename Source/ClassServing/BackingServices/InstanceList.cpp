// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/BackingServices/InstanceList.h"

#include "Common/HttpClient.h"

namespace Brassladder::ClassServing::BackingServices {

using Common::ErrorKind;
using Common::Json;
using Common::member;

static constexpr Common::Milliseconds connectTimeout { 500 };
static constexpr Common::Milliseconds responseTimeout { 2000 };

static Common::Endpoint endpointMember(const Json& entry, std::string_view key)
{
    auto endpoint = Common::parseEndpoint(member<std::string>(entry, key, ""));
    return isError(endpoint) ? Common::Endpoint {} : valueOf(endpoint);
}

static Common::Result<std::vector<Instance>> read(const Common::Endpoint& endpoint)
{
    Common::HttpClientRequest call;
    call.target = "/instances";
    call.connectTimeout = connectTimeout;
    call.responseTimeout = responseTimeout;
    auto answer = Common::callOnce(endpoint, call);
    if (isError(answer))
        return Common::makeError(ErrorKind::PlatformUnavailable, "instance list: " + errorOf(answer).message);
    Json body = Common::parseJson(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !body.is_object() || !body.contains("instances")
        || !body["instances"].is_array())
        return Common::makeError(
            ErrorKind::PlatformUnavailable, "instance list: response is not a list of instances with status 200");
    std::vector<Instance> instances;
    for (const auto& entry : body["instances"]) {
        Instance instance;
        instance.id = member<std::string>(entry, "id", "");
        instance.role = member<std::string>(entry, "role", "");
        instance.endpoint = endpointMember(entry, "endpoint");
        instance.inner = endpointMember(entry, "inner");
        instance.failureDomain = member<std::string>(entry, "failure_domain", "");
        instance.leaving = member<std::string>(entry, "state", "live") != "live";
        if (!instance.id.empty() && !instance.role.empty() && instance.endpoint.port)
            instances.push_back(std::move(instance));
    }
    return instances;
}

InstanceList httpInstanceList(const Common::Endpoint& endpoint)
{
    return { [endpoint] { return read(endpoint); } };
}

} // namespace Brassladder::ClassServing::BackingServices
