// SPDX-License-Identifier: Apache-2.0
#pragma once

// First codes of the classes of HTTP status codes (RFC 9110, 15), and codes that may carry Retry-After.
namespace Brassladder::Common {

inline constexpr unsigned ok = 200;
inline constexpr unsigned firstClientError = 400;
inline constexpr unsigned notFound = 404;
inline constexpr unsigned firstServerError = 500;
inline constexpr unsigned tooManyRequests = 429; // RFC 6585, 4.
inline constexpr unsigned badGateway = 502;
inline constexpr unsigned serviceUnavailable = 503;

} // namespace Brassladder::Common
