// SPDX-License-Identifier: Apache-2.0
#include "Common/FatalSignal.h"

#include "Common/SignalSafeLine.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstring>
#include <ctime>
#include <execinfo.h>
#include <link.h>
#include <sys/mman.h>
#include <ucontext.h>
#include <unistd.h>

namespace Brassladder::Common {

// Maximum number of logged frames of a call stack.
// The path of a request is about 20 frames deep.
static constexpr int maxFrames = 40;
// Maximum number of recorded modules. Addresses in other modules are logged without a module name.
static constexpr size_t maxModules = 64;
// Including the terminating zero.
static constexpr size_t maxNameBytes = 48;
// Holds the frames of the unwinder and the largest register state (AMX of x86-64, about 11 KB; SVE of arm64, about 9
// KB). Memory is committed only when it is used.
static constexpr size_t signalStackBytes = 64 * 1024;

namespace {

// Address range of one loaded module.
struct Module {
    std::array<char, maxNameBytes> name {};
    uintptr_t loadAddress { 0 };
    uintptr_t begin { 0 };
    uintptr_t end { 0 };
};

// Written once by `installFatalSignalHandler` and read by the signal handler.
struct FatalSignalState {
    std::array<char, maxNameBytes> instance {};
    std::array<Module, maxModules> modules {};
    size_t moduleCount { 0 };
};

} // namespace

static FatalSignalState s_state;

static void copyName(std::array<char, maxNameBytes>& target, std::string_view name)
{
    auto length = std::min(name.size(), maxNameBytes - 1);
    std::copy_n(name.data(), length, target.data());
    target[length] = '\0';
}

// Returns the address range of the module's loadable segments.
static Module describeModule(const dl_phdr_info& info)
{
    Module module;
    std::string_view path = *info.dlpi_name ? info.dlpi_name : program_invocation_name;
    copyName(module.name, path.substr(path.rfind('/') + 1));
    module.loadAddress = info.dlpi_addr;
    module.begin = UINTPTR_MAX;
    for (int i = 0; i < info.dlpi_phnum; ++i) {
        const auto& segment = info.dlpi_phdr[i];
        if (segment.p_type != PT_LOAD)
            continue;
        uintptr_t start = info.dlpi_addr + segment.p_vaddr;
        module.begin = std::min(module.begin, start);
        module.end = std::max(module.end, start + segment.p_memsz);
    }
    return module;
}

// Callback of dl_iterate_phdr for each loaded module. A return value other than 0 ends the iteration.
static int recordModule(dl_phdr_info* info, size_t, void*)
{
    if (s_state.moduleCount == maxModules)
        return 1;
    s_state.modules[s_state.moduleCount++] = describeModule(*info);
    return 0;
}

static void appendCodeAddress(SignalSafeLine& line, uintptr_t address)
{
    for (size_t i = 0; i < s_state.moduleCount; ++i) {
        const auto& module = s_state.modules[i];
        if (address < module.begin || address >= module.end)
            continue;
        line.text(module.name.data());
        line.text("+");
        line.hex(address - module.loadAddress);
        return;
    }
    line.hex(address);
}

static std::string_view signalName(int signal)
{
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    case SIGABRT:
        return "SIGABRT";
    default:
        return "other";
    }
}

// Writes the fields that all log lines have.
static void beginLine(SignalSafeLine& line, std::string_view event)
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    line.text(R"({"event":")");
    line.text(event);
    line.text(R"(","instance":")");
    line.text(s_state.instance.data());
    line.text(R"(","level":"FATAL","package":"process","time":")");
    line.time(now);
    line.text("\"");
}

// Registers of the interrupted thread.
struct InterruptedRegisters {
    uintptr_t stackPointer { 0 };
    uintptr_t instruction { 0 };
};

static InterruptedRegisters interruptedRegisters(const ucontext_t& context)
{
#if defined(__x86_64__)
    const auto& registers = context.uc_mcontext.gregs;
    return { static_cast<uintptr_t>(registers[REG_RSP]), static_cast<uintptr_t>(registers[REG_RIP]) };
#elif defined(__aarch64__)
    return { static_cast<uintptr_t>(context.uc_mcontext.sp), static_cast<uintptr_t>(context.uc_mcontext.pc) };
#else
#error "The names of the registers are known only for x86-64 and arm64"
#endif
}

static void writeSignalLine(int signal, const siginfo_t& info, const ucontext_t& context)
{
    auto registers = interruptedRegisters(context);
    SignalSafeLine line;
    beginLine(line, "process.fatal_signal");
    line.text(R"(,"signal":")");
    line.text(signalName(signal));
    line.text(R"(","code":)");
    line.number(info.si_code);
    line.text(R"(,"thread":)");
    line.number(gettid());
    line.text(R"(,"fault_address":")");
    line.hex(reinterpret_cast<uintptr_t>(info.si_addr));
    line.text(R"(","stack_pointer":")");
    line.hex(registers.stackPointer);
    line.text(R"(","instruction":")");
    appendCodeAddress(line, registers.instruction);
    line.text("\"}\n");
    line.writeTo(STDOUT_FILENO);
}

static void writeStackLine()
{
    std::array<void*, maxFrames> frames {};
    int count = backtrace(frames.data(), maxFrames);
    SignalSafeLine line;
    beginLine(line, "process.fatal_stack");
    line.text(R"(,"frames":[)");
    for (int i = 0; i < count; ++i) {
        line.text(i ? ",\"" : "\"");
        appendCodeAddress(line, reinterpret_cast<uintptr_t>(frames[static_cast<size_t>(i)]));
        line.text("\"");
    }
    line.text("]}\n");
    line.writeTo(STDOUT_FILENO);
}

// The raised signal stays pending while the handler runs, since it is blocked, and ends the process when the handler
// returns.
static void raiseWithDefaultAction(int signal)
{
    std::signal(signal, SIG_DFL);
    raise(signal);
}

// Several threads may fault at once: the first one logs, and the others wait for the process to end. If the handler
// itself raises the same signal, the kernel ends the process at once because the signal is blocked.
static void reportFatalSignal(int signal, siginfo_t* info, void* context)
{
    static std::atomic<pid_t> s_reporter { 0 };
    pid_t reporter = 0;
    if (s_reporter.compare_exchange_strong(reporter, gettid())) {
        writeSignalLine(signal, *info, *static_cast<const ucontext_t*>(context));
        writeStackLine();
    } else if (reporter != gettid()) {
        while (true)
            pause();
    }
    raiseWithDefaultAction(signal);
}

void installFatalSignalHandler(std::string_view instance)
{
#if !defined(BRASSLADDER_SANITIZED)
    copyName(s_state.instance, instance);
    s_state.moduleCount = 0;
    dl_iterate_phdr(recordModule, nullptr);
    // The first call of backtrace loads the unwinder, which is not async-signal-safe.
    std::array<void*, 1> unusedFrames {};
    backtrace(unusedFrames.data(), static_cast<int>(unusedFrames.size()));
    struct sigaction action { };
    action.sa_sigaction = reportFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigemptyset(&action.sa_mask);
    for (int signal : { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT })
        sigaction(signal, &action, nullptr);
    installAlternateSignalStack();
#else
    static_cast<void>(instance);
#endif
}

void installAlternateSignalStack()
{
#if !defined(BRASSLADDER_SANITIZED)
    void* memory = mmap(nullptr, signalStackBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    // Without an alternate stack the handler runs on the interrupted stack, which works for all faults except stack
    // overflows.
    if (memory == MAP_FAILED)
        return;
    stack_t stack {};
    stack.ss_sp = memory;
    stack.ss_size = signalStackBytes;
    sigaltstack(&stack, nullptr);
#endif
}

} // namespace Brassladder::Common
