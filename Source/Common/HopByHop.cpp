// SPDX-License-Identifier: Apache-2.0
#include "Common/HopByHop.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace Brassladder::Common {

// RFC 9110, 7.6.1, the older Keep-Alive and Proxy-Connection, and the fields that a proxy sets itself.
static constexpr std::array<std::string_view, 11> s_fixedFields { "connection", "content-length", "expect",
    "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding",
    "upgrade" };

void HopByHopFields::addConnectionField(std::string_view value)
{
    for (absl::string_view option : absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
        auto name = absl::AsciiStrToLower(absl::StripAsciiWhitespace(option));
        if (!name.empty())
            m_connectionOptions.push_back(std::move(name));
    }
}

bool HopByHopFields::contains(std::string_view name) const
{
    auto lower = absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
    return std::find(s_fixedFields.begin(), s_fixedFields.end(), lower) != s_fixedFields.end()
        || std::find(m_connectionOptions.begin(), m_connectionOptions.end(), lower) != m_connectionOptions.end();
}

} // namespace Brassladder::Common
