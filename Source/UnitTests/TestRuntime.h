// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/FiberRuntime.h"

namespace Brassladder {

// The fiber runtime shared by all tests of the process.
Common::FiberRuntime& testRuntime();

} // namespace Brassladder
