// SPDX-License-Identifier: Apache-2.0
#include "Common/TargetBuilder.h"

#include "Common/PercentEncoding.h"

#include <utility>

namespace Brassladder::Common {

TargetBuilder& TargetBuilder::segment(std::string_view value)
{
    m_target += "/" + percentEncode(value);
    return *this;
}

TargetBuilder& TargetBuilder::parameter(std::string_view name, std::string_view value)
{
    m_target += std::exchange(m_hasParameters, true) ? "&" : "?";
    m_target.append(name).append("=").append(percentEncode(value));
    return *this;
}

TargetBuilder& TargetBuilder::parameter(std::string_view name, uint64_t value)
{
    return parameter(name, std::to_string(value));
}

} // namespace Brassladder::Common
