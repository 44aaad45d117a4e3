// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// IP address and port. Host names are not supported and never resolved.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    std::string text() const { return address + ":" + std::to_string(port); }
    bool operator==(const Endpoint&) const = default;
    auto operator<=>(const Endpoint&) const = default;
};

// Parses "127.0.0.1:8080". Returns BadRequest if the address is not an IP address or the port is 0 or out of range.
Result<Endpoint> parseEndpoint(std::string_view);
// Parses an address to listen on. Port 0 is allowed: the kernel chooses the port.
Result<Endpoint> parseListenEndpoint(std::string_view);

} // namespace Brassladder::Common
