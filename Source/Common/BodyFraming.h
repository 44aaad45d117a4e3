// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string_view>

namespace Brassladder::Common {

// How a response delimits its body (RFC 9112, 6.3).
enum class BodyFraming : uint8_t {
    Length, // By its length; also a response without a body.
    Chunked, // By the last chunk.
    UntilClose, // By the end of the connection. A body that was cut short by a close looks whole.
};

// Value of the log field and metrics label `framing`.
std::string_view name(BodyFraming);

} // namespace Brassladder::Common
