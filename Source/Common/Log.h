// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <string_view>

namespace Brassladder::Common {

enum class LogLevel { Debug, Info, Warning, Error };

// Sends log lines to standard error as one JSON object a line, from a thread of its own so that a slow pipe stops no
// fiber. `instance` stands in each line.
void startLogging(LogLevel least, std::string_view instance);

// Writes one line: time, level, package, event and the fields given. Events are named `subject.what`.
void log(LogLevel, std::string_view package, std::string_view event, Json fields = Json::object());

// Writes out what still waits; to be called before the process ends.
void stopLogging();

} // namespace Brassladder::Common
