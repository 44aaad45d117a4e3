// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/KeyedHash.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

// When two requests are the same one, sent again: same caller, method, host, target with its query, and body. Not the
// request id, which is new each time; not the key, which a workspace may change; not other headers, so that a stream
// that its caller resumes stays the same request. Pure.
namespace Brassladder::RouteServing::Routing {

// What the identity follows from. Views into the request.
struct RequestTraits {
    std::string_view workspace; // Empty where no key is needed: all callers are one there.
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

struct RequestIdentity {
    uint64_t target { 0 }; // Of all but the body: cheap, so it is compared first.
    uint64_t bodyBytes { 0 };
    Common::KeyedHash::Value body {};

    auto operator<=>(const RequestIdentity&) const = default;
    // For logs and operators: 32 hexadecimal digits.
    std::string text() const;
};

// Hashes with the fleet's key, so that no caller can make another one's request look like its own.
//
// Takes 0.45 us for the target alone, 1.1 us with a body of 800 bytes, 72 us with one of 110 KB, measured on a whole
// core (Benchmarks/RequestHash); a quarter of a core takes four times as long.
class RequestHasher {
public:
    explicit RequestHasher(std::string_view fleetKey);

    uint64_t target(const RequestTraits&) const;
    RequestIdentity identity(const RequestTraits&) const;

private:
    Common::KeyedHash m_hash;
};

} // namespace Brassladder::RouteServing::Routing
