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

// Parses the command line (with --help and --version); the words that are no flags, without the program's name.
std::vector<std::string> parseCommandLine(int argc, char** argv, const std::string& usage);

// Reads --settings, lays the --set overrides over it and checks it against the table. Prints all faults, or with
// --check_settings the outcome, and ends the process with Usage or Success where the program should not go on.
Settings loadSettings(std::span<const SettingSpec>);

// Reads and checks the same settings once more, while the program runs.
std::variant<Settings, std::vector<Fault>> readSettings(std::span<const SettingSpec>);

// Reads ADDRESS:PORT off the command line; ends the process with Usage when it is none.
Endpoint endpointOrExit(const std::string&);

// Writes the file named by --ready_file in one step, for whoever waits for the program to listen.
void writeReadyFile(const Json&);

// Starts logging at the level of --log_level; fatal signals are logged as well (FatalSignal.h). To be called before the
// first thread starts.
void startProgramLogging(std::string_view instance);

// Waits for SIGTERM or SIGINT, and calls the hook at each SIGHUP: the settings file may have changed. Signals must be
// blocked by `blockSignals` before the first thread starts.
void blockSignals();
void waitForStopSignal(const std::function<void()>& onReload = nullptr);

// Ends the process at once, without waiting for fibers that wait for peers.
[[noreturn]] void exitProcess(ExitCode);

} // namespace Brassladder::Common
