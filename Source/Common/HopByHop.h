// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Common {

// The header fields of one message that concern a single connection and must not be passed on by a proxy (RFC
// 9110, 7.6.1): a fixed list, and those that the message's own `Connection` fields name. Fields that a proxy sets anew
// for each connection (Content-Length, Expect) count as well. Names are compared without regard to case.
class HopByHopFields {
public:
    // The value of one `Connection` field of the message.
    void addConnectionField(std::string_view value);
    bool contains(std::string_view name) const;

private:
    std::vector<std::string> m_connectionOptions; // By `Connection`, in lower case.
};

} // namespace Brassladder::Common
