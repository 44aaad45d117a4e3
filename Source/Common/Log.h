// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <string_view>

namespace Brassladder::Common {

enum class LogLevel { Debug, Info, Warning, Error };

// Writes log lines to standard output, one JSON object a line, from a thread of its own so that a slow pipe blocks no
// fiber. Each line has the field `instance`.
//
// The volume is bounded: beyond `maxLogLinesPerSecond`, and while the reader of standard output does not keep up, lines
// are left out. How many is logged in a line `log.left_out` once there is room again. Errors are left out last.
void startLogging(LogLevel minimumLevel, std::string_view instance);

// Log lines of one process in a second (docs/OPERATIONS.md). Chosen, not measured.
inline constexpr unsigned maxLogLinesPerSecond = 200;

// Writes one line, or leaves it out; never waits. It has time, level, package, event and the fields given. Events are
// named `subject.what`.
void log(LogLevel, std::string_view package, std::string_view event, Json fields = Json::object());

// Writes out what still waits; to be called before the process ends.
void stopLogging();

} // namespace Brassladder::Common
