// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstdint>
#include <ctime>
#include <string_view>

namespace Brassladder::Common {

// Builds a line of text in a signal handler: without memory allocation, locks or locale. Text beyond its capacity is
// truncated.
class SignalSafeLine {
public:
    void text(std::string_view);
    void number(int64_t);
    // Hexadecimal with the prefix 0x.
    void hex(uint64_t);
    // UTC with milliseconds, in the format of all log lines.
    void time(const timespec&);

    std::string_view view() const { return { m_bytes.data(), m_length }; }
    // Writes the line. Returns silently after an error, or when the descriptor stays unwritable. Lines below PIPE_BUF
    // are written atomically.
    void writeTo(int descriptor) const;

private:
    void paddedNumber(uint64_t, int digits);

    // Holds a stack of 40 frames of at most 61 bytes each and the common fields of a log line. Below 4 KB, which a pipe
    // writes atomically (PIPE_BUF).
    static constexpr size_t capacity = 3072;
    std::array<char, capacity> m_bytes {};
    size_t m_length { 0 };
};

} // namespace Brassladder::Common
