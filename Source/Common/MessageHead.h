// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include <cstdint>
#include <string_view>

// What the head of a message must state so that the message can be used. The parser accepts more than that.
namespace Brassladder::Common {

enum class HeadFault : uint8_t {
    None,
    Status, // Not between 100 and 599 (RFC 9110, 15).
    ProtocolSwitch, // 101, which no request here asks for (RFC 9110, 15.2.2).
    InterimResponses, // More of them than any server sends before a final response.
    TransferCoding, // Any but `chunked` alone: the end of the body, or its content, would not be known (RFC 9112, 6).
};
// Value of the metrics label `reason`.
std::string_view name(HeadFault);

HeadFault faultOf(const boost::beast::http::response_header<>&);

// Whether the final response follows this one.
bool isInterim(const boost::beast::http::response_header<>&);

// Whether the fields state no transfer coding, or `chunked` alone in HTTP/1.1. `version`: 11 for HTTP/1.1.
bool hasKnownTransferCoding(const boost::beast::http::fields&, unsigned version);

} // namespace Brassladder::Common
