// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view);

// Compares in a time that does not depend on the content. Strings of different lengths may compare faster.
bool constantTimeEquals(std::string_view, std::string_view);

// 64-bit hash (XXH3) that is the same in every process and build.
uint64_t stableHash(std::string_view, uint64_t seed = 0);

// 128 random bits from the operating system, as 32 hexadecimal digits.
std::string randomId();

// Returns a number from the calling thread's generator, which the operating system seeds. For jitter and choices that
// need not be reproducible.
uint64_t randomNumber();
// Uniformly distributed in [0, 1), from the same generator.
double randomUnitFraction();

} // namespace Brassladder::Common
