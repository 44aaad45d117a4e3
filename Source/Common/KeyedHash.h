// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace Brassladder::Common {

// SipHash-2-4 with 128 bits, from OpenSSL. Without the key nobody can make two inputs meet, which a caller could with
// an unkeyed hash (Digest.h's `stableHash`); about as fast. Safe to use from several threads.
class KeyedHash {
public:
    using Value = std::array<uint64_t, 2>;

    // The same secret gives the same hashes in every process.
    explicit KeyedHash(std::string_view secret);

    // Of the parts in their order; where one ends and the next begins counts.
    Value of(std::span<const std::string_view> parts) const;

private:
    std::array<unsigned char, 16> m_key {};
};

} // namespace Brassladder::Common
