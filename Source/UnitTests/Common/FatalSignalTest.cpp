// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FatalSignal.h"
#include "Common/FiberRuntime.h"
#include "Common/SignalSafeLine.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace Brassladder::Common {

namespace {

// Each test runs in a new process, since the test program has several threads.
class FatalSignalTest : public testing::Test {
protected:
    void SetUp() override
    {
#if defined(BRASSLADDER_SANITIZED)
        GTEST_SKIP() << "the sanitizer reports fatal signals";
#endif
        testing::GTEST_FLAG(death_test_style) = "threadsafe";
    }

    // The handler writes to standard output; a death test reads standard error.
    static void installHandler()
    {
        dup2(STDERR_FILENO, STDOUT_FILENO);
        installFatalSignalHandler("router-1");
    }

    static constexpr int frameBytes = 1024;
    static constexpr int fiberStackBytes = 64 * 1024;

    // Uses a little more than `frames` KB of stack, and returns.
    static int useStack(int frames)
    {
        volatile char frame[frameBytes];
        frame[0] = static_cast<char>(frames);
        int below = frames > 1 ? useStack(frames - 1) : 0;
        return below + frame[0];
    }

    static void readInvalidAddress()
    {
        // Address 16 is never mapped.
        volatile uintptr_t address = 16;
        static_cast<void>(*reinterpret_cast<volatile int*>(address));
    }

    static void abortWithAFullPipe()
    {
        std::array<int, 2> pipeEnds {};
        if (pipe2(pipeEnds.data(), O_NONBLOCK) || dup2(pipeEnds[1], STDOUT_FILENO) < 0)
            std::_Exit(1);
        std::array<char, 4096> bytes {};
        while (write(STDOUT_FILENO, bytes.data(), bytes.size()) > 0) { }
        fcntl(STDOUT_FILENO, F_SETFL, 0);
        installFatalSignalHandler("router-1");
        std::abort();
    }

    static void crashInTwoThreads()
    {
        installHandler();
        std::atomic<int> ready { 0 };
        auto crash = [&] {
            ++ready;
            while (ready < 2) { }
            readInvalidAddress();
        };
        std::thread other(crash);
        crash();
        other.join();
    }

    [[noreturn]] static void crashInAFiber()
    {
        auto& runtime = FiberRuntime::start(1);
        runtime.spawn(readInvalidAddress);
        while (true)
            pause();
    }
};

} // namespace

TEST_F(FatalSignalTest, AFaultInAFiberIsLoggedWithItsAddressAndEndsTheProcessByTheSameSignal)
{
    EXPECT_EXIT(
        {
            installHandler();
            crashInAFiber();
        },
        testing::KilledBySignal(SIGSEGV),
        "\"event\":\"process.fatal_signal\",\"instance\":\"router-1\",\"level\":\"FATAL\",.*\"signal\":\"SIGSEGV\","
        ".*\"fault_address\":\"0x10\",.*\"instruction\":\"unit-tests.0x");
}

TEST_F(FatalSignalTest, TheStackOfTheFiberIsLogged)
{
    EXPECT_EXIT(
        {
            installHandler();
            crashInAFiber();
        },
        testing::KilledBySignal(SIGSEGV),
        "\"event\":\"process.fatal_stack\".*\"frames\":\\[\"unit-tests.0x[^]]*\",\"unit-tests.0x[^]]*\"\\]\\}");
}

TEST_F(FatalSignalTest, FiberStackOverflowEndsTheProcess)
{
    EXPECT_EXIT(
        {
            installHandler();
            auto& runtime = FiberRuntime::start(1);
            // The stack of another fiber is likely to be adjacent.
            runtime.spawn([] { sleepFor(std::chrono::hours(1)); });
            runtime.call([] { return useStack(fiberStackBytes / frameBytes + 1); });
            std::_Exit(0);
        },
        testing::KilledBySignal(SIGSEGV), "\"event\":\"process.fatal_signal\".*\"signal\":\"SIGSEGV\"");
}

TEST_F(FatalSignalTest, FullPipeDoesNotBlockProcessExit)
{
    EXPECT_EXIT(abortWithAFullPipe(), testing::KilledBySignal(SIGABRT), "");
}

TEST_F(FatalSignalTest, ConcurrentFaultsInTwoThreadsAreLogged)
{
    EXPECT_EXIT(crashInTwoThreads(), testing::KilledBySignal(SIGSEGV), "process.fatal_stack.*\\]\\}");
}

TEST_F(FatalSignalTest, AnAbortIsLogged)
{
    EXPECT_EXIT(
        {
            installHandler();
            std::abort();
        },
        testing::KilledBySignal(SIGABRT), "\"signal\":\"SIGABRT\"");
}

TEST(SignalSafeLineTest, WritesNumbersAndTimesAsLogLinesDo)
{
    SignalSafeLine line;
    line.number(-42);
    line.text(" ");
    line.hex(0xdeadbeef);
    line.text(" ");
    line.time({ 1'764'698'709, 7'000'000 });
    EXPECT_EQ(line.view(), "-42 0xdeadbeef 2025-12-02T18:05:09.007Z");
}

TEST(SignalSafeLineTest, TruncatesAtItsCapacity)
{
    SignalSafeLine line;
    for (int i = 0; i < 1000; ++i)
        line.text("0123456789");
    EXPECT_EQ(line.view().size(), 3072U);
}

} // namespace Brassladder::Common
