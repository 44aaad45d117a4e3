// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/Settings.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::Common {

// Exit codes of all programs.
enum class ExitCode : int { Success = 0, Failure = 1, Usage = 2 };

// Parses the command line (with --help and --version). Returns the positional arguments without the program name.
std::vector<std::string> parseCommandLine(int argc, char** argv, const std::string& usage);

// Reads the settings file, applies the --set overrides and validates the result against the table. Prints all faults
// and ends the process with Usage if there are any. Ends it with Success after --check_settings or --describe_settings.
Settings loadSettings(std::span<const SettingSpec>);

// Reads and validates the settings without ending the process. May be called while the program runs.
std::variant<Settings, std::vector<Fault>> readSettings(std::span<const SettingSpec>);

// Parses an argument ADDRESS:PORT; ends the process with Usage if it is invalid.
Endpoint endpointOrExit(const std::string&);

// Atomically writes the file named by --ready_file, which signals that the program listens.
void writeReadyFile(const Json&);

// Starts logging at the level of --log_level and installs the handler for fatal signals (FatalSignal.h). Must be called
// before the first thread starts.
void startProgramLogging(std::string_view instance);

// `waitForStopSignal` blocks until SIGTERM or SIGINT, and calls the hook at each SIGHUP, which requests a reload of the
// settings. `blockSignals` also ignores SIGPIPE. It must be called before the first thread starts.
void blockSignals();
void waitForStopSignal(const std::function<void()>& onReload = nullptr);

// Ends the process at once, without waiting for fibers that are blocked on a peer.
[[noreturn]] void exitProcess(ExitCode);

} // namespace Brassladder::Common
