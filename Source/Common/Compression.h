// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// Compresses to the zlib format (RFC 1950) at the fastest level.
std::string deflate(std::string_view);
// Decompresses data in the zlib format. Returns BadRequest if the data is truncated or invalid, or if the output would
// exceed `maxBytes`.
Result<std::string> inflate(std::string_view, size_t maxBytes);

} // namespace Brassladder::Common
