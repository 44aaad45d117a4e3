// SPDX-License-Identifier: Apache-2.0
#pragma once

// Limits between the classes of HTTP status codes (RFC 9110, 15).
namespace Brassladder::Common {

inline constexpr unsigned firstClientError = 400;
inline constexpr unsigned firstServerError = 500;

} // namespace Brassladder::Common
