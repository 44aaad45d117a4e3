// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// Encodes every byte that is not unreserved (RFC 3986, 2.3), so that the result is one segment of a path or one value
// of a query, whatever the bytes.
std::string percentEncode(std::string_view bytes);

// Decodes a value of a query, in which `+` stands for a blank as in forms. Returns nullopt if a `%` is not followed by
// two hexadecimal digits.
std::optional<std::string> decodeQueryValue(std::string_view text);

} // namespace Brassladder::Common
