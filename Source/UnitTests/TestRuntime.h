// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/FiberRuntime.h"

namespace Brassladder {

// The fiber runtime that the tests of one process share.
Common::FiberRuntime& testRuntime();

} // namespace Brassladder
