// SPDX-License-Identifier: Apache-2.0
#include "Common/SignalSafeLine.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace Brassladder::Common {

// Digits of a 64-bit number with its sign.
static constexpr size_t maxDigits = 21;
static constexpr int hexBase = 16;
static constexpr int decimalBase = 10;
static constexpr long nanosecondsInMillisecond = 1'000'000;
// Maximum time to wait for a blocked reader before each write, so that it cannot block the end of the process.
static constexpr int maxWriteWaitMs = 100;

void SignalSafeLine::text(std::string_view text)
{
    auto length = std::min(text.size(), capacity - m_length);
    std::copy_n(text.data(), length, m_bytes.data() + m_length);
    m_length += length;
}

void SignalSafeLine::number(int64_t value)
{
    std::array<char, maxDigits> digits {};
    auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    text({ digits.data(), end });
}

void SignalSafeLine::hex(uint64_t value)
{
    std::array<char, maxDigits> digits {};
    auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase).ptr;
    text("0x");
    text({ digits.data(), end });
}

void SignalSafeLine::paddedNumber(uint64_t value, int digits)
{
    uint64_t divisor = 1;
    for (int i = 1; i < digits; ++i)
        divisor *= decimalBase;
    for (; divisor; divisor /= decimalBase) {
        char digit = static_cast<char>('0' + value / divisor % decimalBase);
        text({ &digit, 1 });
    }
}

void SignalSafeLine::time(const timespec& time)
{
    using namespace std::chrono;
    sys_seconds moment { seconds(time.tv_sec) };
    auto day = floor<days>(moment);
    year_month_day date(day);
    hh_mm_ss clock(moment - day);
    paddedNumber(static_cast<uint64_t>(static_cast<int>(date.year())), 4);
    text("-");
    paddedNumber(static_cast<unsigned>(date.month()), 2);
    text("-");
    paddedNumber(static_cast<unsigned>(date.day()), 2);
    text("T");
    paddedNumber(static_cast<uint64_t>(clock.hours().count()), 2);
    text(":");
    paddedNumber(static_cast<uint64_t>(clock.minutes().count()), 2);
    text(":");
    paddedNumber(static_cast<uint64_t>(clock.seconds().count()), 2);
    text(".");
    paddedNumber(static_cast<uint64_t>(time.tv_nsec / nanosecondsInMillisecond), 3);
    text("Z");
}

void SignalSafeLine::writeTo(int descriptor) const
{
    auto rest = view();
    while (!rest.empty()) {
        pollfd target { descriptor, POLLOUT, 0 };
        if (poll(&target, 1, maxWriteWaitMs) <= 0)
            return;
        auto written = write(descriptor, rest.data(), rest.size());
        if (written <= 0)
            return;
        rest.remove_prefix(static_cast<size_t>(written));
    }
}

} // namespace Brassladder::Common
