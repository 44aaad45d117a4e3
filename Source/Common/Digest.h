// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Brassladder::Common {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view);

// Compares without a branch on the content; the lengths may differ in time.
bool constantTimeEquals(std::string_view, std::string_view);

// A well-mixed 64-bit hash that is the same in every process and build (xxHash 3).
uint64_t stableHash(std::string_view, uint64_t seed = 0);

// 128 random bits from the operating system as 32 hexadecimal digits.
std::string randomId();

// A thread's own generator, seeded by the operating system: for jitter and choices that need no repetition.
uint64_t randomNumber();
// From it, evenly distributed in [0, 1).
double randomUnitFraction();

} // namespace Brassladder::Common
