// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/KeyedHash.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

// Identifies a request that is sent again. The identity covers the workspace, method, host, target with its query, and
// body. It does not cover the request id, which differs each time, the API key, which a workspace may change, or other
// headers, which differ when a caller resumes a stream. A part of a prompt, which requests that differ otherwise may
// share, has an identity of the same form. Does no I/O.
namespace Brassladder::RouteServing::Routing {

// Inputs of the identity, as views into the request.
struct RequestTraits {
    std::string_view workspace; // Empty for routes without keys, where all callers count as one.
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

struct RequestIdentity {
    uint64_t headHash { 0 }; // Hash of everything except the body. Cheap to compute, so it is compared first.
    uint64_t bodyBytes { 0 };
    Common::KeyedHash::Value body {};

    // Returns the identity of a part of a prompt at upstreams of one service and software version. The workspace is not
    // included, because workspaces share parts. Two versions may differ in whether they can run a part.
    static RequestIdentity ofPromptPart(std::string_view service, std::string_view softwareVersion, uint64_t part);
    bool isPromptPart() const { return bodyBytes == promptPartMarker; }
    // Returns whether both are the same part of a prompt at upstreams of the same service, of any software version.
    bool isSamePart(const RequestIdentity& other) const
    {
        return isPromptPart() && other.isPromptPart() && headHash == other.headHash && body[0] == other.body[0];
    }

    auto operator<=>(const RequestIdentity&) const = default;
    // Returns 32 hexadecimal digits, for logs and operators.
    std::string text() const;

private:
    // Takes the place of the body size of a request.
    static constexpr uint64_t promptPartMarker = std::numeric_limits<uint64_t>::max();
};

// Name of the kind of a suspect, for logs and operators.
std::string_view kindName(const RequestIdentity&);

// Computes request identities with the fleet's key, so that no caller can construct a request with another caller's
// identity. The cost grows with the body (Benchmarks/RequestHash).
class RequestHasher {
public:
    explicit RequestHasher(std::string_view fleetKey);

    uint64_t headHash(const RequestTraits&) const;
    RequestIdentity identity(const RequestTraits&) const;

private:
    Common::KeyedHash m_hash;
};

} // namespace Brassladder::RouteServing::Routing
