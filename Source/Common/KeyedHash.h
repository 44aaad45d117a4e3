// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace Brassladder::Common {

// SipHash-2-4 with 128-bit output, from OpenSSL. An attacker who does not have the key cannot construct collisions,
// which is possible for `stableHash` (Digest.h). Thread-safe.
class KeyedHash {
public:
    using Value = std::array<uint64_t, 2>;

    // The same secret results in the same hashes in every process.
    explicit KeyedHash(std::string_view secret);

    // Returns the hash of the parts in this order. Their boundaries are part of the input.
    Value compute(std::span<const std::string_view> parts) const;

private:
    std::array<unsigned char, 16> m_key {};
};

} // namespace Brassladder::Common
