// SPDX-License-Identifier: Apache-2.0
#include "Common/PercentEncoding.h"

#include <absl/strings/ascii.h>
#include <charconv>

namespace Brassladder::Common {

static constexpr size_t escapedDigits = 2; // After each `%`.
static constexpr int hexadecimal = 16;

static bool isUnreserved(char byte)
{
    static constexpr std::string_view marks = "-._~";
    return absl::ascii_isalnum(static_cast<unsigned char>(byte)) || marks.find(byte) != std::string_view::npos;
}

std::string percentEncode(std::string_view bytes)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string text;
    for (char byte : bytes) {
        if (isUnreserved(byte)) {
            text += byte;
            continue;
        }
        auto value = static_cast<unsigned char>(byte);
        text += '%';
        text += digits[value / hexadecimal];
        text += digits[value % hexadecimal];
    }
    return text;
}

static std::optional<char> decodeEscape(std::string_view digits)
{
    unsigned char value = 0;
    auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    if (problem != std::errc() || digits.size() != escapedDigits || end != digits.data() + digits.size())
        return std::nullopt;
    return static_cast<char>(value);
}

std::optional<std::string> decodeQueryValue(std::string_view text)
{
    std::string bytes;
    while (!text.empty()) {
        char byte = text.front();
        text.remove_prefix(1);
        if (byte != '%') {
            bytes += byte == '+' ? ' ' : byte;
            continue;
        }
        auto decoded = decodeEscape(text.substr(0, escapedDigits));
        if (!decoded)
            return std::nullopt;
        bytes += *decoded;
        text.remove_prefix(escapedDigits);
    }
    return bytes;
}

} // namespace Brassladder::Common
