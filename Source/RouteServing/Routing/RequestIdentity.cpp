// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RequestIdentity.h"

#include "Common/Digest.h"

#include <array>
#include <cstdio>

namespace Brassladder::RouteServing::Routing {

RequestHasher::RequestHasher(std::string_view fleetKey)
    : m_hash("request identity " + std::string(fleetKey))
{
}

uint64_t RequestHasher::headHash(const RequestTraits& request) const
{
    auto host = request.host.substr(0, request.host.find(':'));
    std::array<std::string_view, 4> parts { request.workspace, request.method, host, request.target };
    return m_hash.compute(parts)[0];
}

RequestIdentity RequestHasher::identity(const RequestTraits& request) const
{
    std::array<std::string_view, 1> parts { request.body };
    return { headHash(request), request.body.size(), m_hash.compute(parts) };
}

RequestIdentity RequestIdentity::ofPromptPart(std::string_view service, std::string_view softwareVersion, uint64_t part)
{
    return { Common::stableHash(service), promptPartMarker, { part, Common::stableHash(softwareVersion) } };
}

std::string_view kindName(const RequestIdentity& identity)
{
    return identity.isPromptPart() ? "prompt_part" : "request";
}

// Two 64-bit numbers as hexadecimal digits, and the terminating zero.
static constexpr size_t identityTextBytes = 2 * 16 + 1;

std::string RequestIdentity::text() const
{
    std::array<char, identityTextBytes> digits {};
    auto scope = isPromptPart() ? headHash ^ body[1] : headHash;
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx", static_cast<unsigned long long>(scope),
        static_cast<unsigned long long>(body[0]));
    return digits.data();
}

} // namespace Brassladder::RouteServing::Routing
