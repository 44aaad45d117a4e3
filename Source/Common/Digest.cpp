// SPDX-License-Identifier: Apache-2.0
#include "Common/Digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <random>
#include <span>
#include <xxhash.h>

namespace Brassladder::Common {

static std::string toHex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    static constexpr unsigned lowNibble = 0xf;
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & lowNibble];
    }
    return text;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return toHex(digest);
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string randomId()
{
    std::array<unsigned char, 16> bytes {};
    RAND_bytes(bytes.data(), bytes.size());
    return toHex(bytes);
}

uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator { std::random_device {}() };
    return generator();
}

double randomUnitFraction()
{
    // A double represents integers of 53 bits exactly.
    static constexpr unsigned bits = 53;
    static constexpr auto steps = static_cast<double>(uint64_t { 1 } << bits);
    return static_cast<double>(randomNumber() >> (64 - bits)) / steps;
}

} // namespace Brassladder::Common
