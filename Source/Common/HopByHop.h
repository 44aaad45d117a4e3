// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Common {

// Hop-by-hop header fields of one message, which a proxy must not forward (RFC 9110, 7.6.1): a fixed list and those
// that the `Connection` fields of the message list. Includes the fields that a proxy sets for each connection
// (Content-Length, Expect). Names are case-insensitive.
class HopByHopFields {
public:
    // Adds the options of one `Connection` field of the message.
    void addConnectionField(std::string_view value);
    bool contains(std::string_view name) const;

private:
    std::vector<std::string> m_connectionOptions; // In lower case.
};

} // namespace Brassladder::Common
