// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// Builds the target of an HTTP request from a path and values of any bytes.
class TargetBuilder {
public:
    // `path` is sent as it is.
    explicit TargetBuilder(std::string_view path)
        : m_target(path)
    {
    }

    // Appends one segment to the path. Must be called before the first parameter.
    TargetBuilder& segment(std::string_view value);
    TargetBuilder& parameter(std::string_view name, std::string_view value);
    TargetBuilder& parameter(std::string_view name, uint64_t value);
    const std::string& build() const { return m_target; }

private:
    std::string m_target;
    bool m_hasParameters { false };
};

} // namespace Brassladder::Common
