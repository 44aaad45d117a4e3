// SPDX-License-Identifier: Apache-2.0
#include "Common/MessageHead.h"

namespace Brassladder::Common {

namespace beast = boost::beast;
namespace http = beast::http;

static constexpr unsigned firstStatus = 100;
static constexpr unsigned switchingProtocols = 101;
static constexpr unsigned firstFinalStatus = 200;
static constexpr unsigned lastStatus = 599;
static constexpr unsigned http11 = 11;

std::string_view name(HeadFault fault)
{
    switch (fault) {
    case HeadFault::None:
        return "none";
    case HeadFault::Status:
        return "status";
    case HeadFault::ProtocolSwitch:
        return "protocol_switch";
    case HeadFault::InterimResponses:
        return "interim_responses";
    case HeadFault::TransferCoding:
        return "transfer_coding";
    }
    return "none";
}

HeadFault faultOf(const http::response_header<>& head)
{
    auto status = head.result_int();
    if (status < firstStatus || status > lastStatus)
        return HeadFault::Status;
    if (status == switchingProtocols)
        return HeadFault::ProtocolSwitch;
    return hasKnownTransferCoding(head, head.version()) ? HeadFault::None : HeadFault::TransferCoding;
}

bool isInterim(const http::response_header<>& head) { return head.result_int() < firstFinalStatus; }

bool hasKnownTransferCoding(const http::fields& fields, unsigned version)
{
    auto count = fields.count(http::field::transfer_encoding);
    if (!count)
        return true;
    return count == 1 && version >= http11 && beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

} // namespace Brassladder::Common
