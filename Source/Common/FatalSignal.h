// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

// Logs the cause and the call stack when a signal ends the process.
//
// On SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT the handler writes two JSON lines to standard output. It then ends the
// process by the same signal, which preserves the exit status:
//   process.fatal_signal  signal, faulting address, stack pointer, interrupted instruction, thread
//   process.fatal_stack   the call stack; a separate line, since walking a damaged stack may fail
// Code addresses have the form MODULE+OFFSET, which `addr2line -Cfipe MODULE OFFSET` resolves (docs/OPERATIONS.md).
// Sanitizer builds keep the handler of the sanitizer.
namespace Brassladder::Common {

// Must be called once, before the first thread starts. The lines contain `instance`.
void installFatalSignalHandler(std::string_view instance);

// Sets an alternate signal stack for the calling thread, which is never freed. The handler needs it to report a fiber
// that overflowed its stack.
void installAlternateSignalStack();

} // namespace Brassladder::Common
