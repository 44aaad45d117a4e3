// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <string_view>

namespace Brassladder::Common {

enum class LogLevel { Debug, Info, Warning, Error };

// Starts logging to standard output, one JSON object per line, each with the field `instance`. A separate thread writes
// the lines, so a slow pipe does not block fibers.
//
// Lines are suppressed beyond `maxLogLinesPerSecond` and while too many lines are queued. The next line written is
// preceded by a line `log.left_out` with their number. Lines of level Error are exempt from the rate limit.
void startLogging(LogLevel minimumLevel, std::string_view instance);

// Rate limit of one process (docs/OPERATIONS.md).
inline constexpr unsigned maxLogLinesPerSecond = 200;

// Writes or suppresses one line; never blocks. A line has time, level, package, event and the given fields. Most
// events are named `subject.what`.
void log(LogLevel, std::string_view package, std::string_view event, Json fields = Json::object());

// Writes the queued lines. Must be called before the process ends.
void stopLogging();

} // namespace Brassladder::Common
