// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Endpoint.h"

#include <charconv>

namespace Brassladder::Common {

Result<Endpoint> parseListenEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError(ErrorKind::BadRequest, "invalid endpoint, expected ADDRESS:PORT");
    Endpoint endpoint { std::string(text.substr(0, colon)), 0 };
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        return makeError(ErrorKind::BadRequest, "not an IP address: " + endpoint.address);
    auto digits = text.substr(colon + 1);
    auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (problem != std::errc {} || end != digits.data() + digits.size())
        return makeError(ErrorKind::BadRequest, "invalid port: " + std::string(digits));
    return endpoint;
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    auto endpoint = parseListenEndpoint(text);
    if (!isError(endpoint) && !valueOf(endpoint).port)
        return makeError(ErrorKind::BadRequest, "cannot connect to port 0");
    return endpoint;
}

} // namespace Brassladder::Common
