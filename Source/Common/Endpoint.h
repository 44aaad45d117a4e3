// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// An IP number and a port. Names are never resolved: instances talk by IP numbers.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    std::string text() const { return address + ":" + std::to_string(port); }
    bool operator==(const Endpoint&) const = default;
    auto operator<=>(const Endpoint&) const = default;
};

// Reads "127.0.0.1:8080"; BadRequest when the address is not an IP number or the port is out of range.
Result<Endpoint> parseEndpoint(std::string_view);
// The same for an address to listen on, where port 0 lets the kernel choose.
Result<Endpoint> parseListenEndpoint(std::string_view);

} // namespace Brassladder::Common
