// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

// Says what a process was doing when a signal ended it.
//
// On SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT the process writes two JSON lines to standard output and then ends by
// the same signal, so that its exit status stays what it was:
//   process.fatal_signal  signal, faulting address, stack pointer, interrupted instruction, thread
//   process.fatal_stack   the call stack; a separate line, since walking a damaged stack may fail
// Code addresses are given as MODULE+OFFSET, which `addr2line -Cfipe MODULE OFFSET` translates (docs/OPERATIONS.md).
// Nothing is done until a signal arrives. Sanitizer builds keep the sanitizer's own handler.
namespace Brassladder::Common {

// To be called once, before the first thread starts. `instance` is written into the lines.
void installFatalSignalHandler(std::string_view instance);

// Gives the calling thread a stack of its own for signal handlers, so that a fiber that overflowed its stack is
// reported as well. Lives until the process ends.
void installAlternateSignalStack();

} // namespace Brassladder::Common
