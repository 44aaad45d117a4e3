// SPDX-License-Identifier: Apache-2.0
#include "Common/BodyFraming.h"

namespace Brassladder::Common {

std::string_view name(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        return "until_close";
    }
    return "length";
}

} // namespace Brassladder::Common
