// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/UpstreamLedger.h"
#include "Common/Endpoint.h"
#include "Common/Error.h"

namespace Brassladder::ClassServing::Upstream {

// Reads an upstream's load report: GET /load. What it says lags behind.
Common::Result<Scheduling::LoadReport> readLoad(const Common::Endpoint&);

} // namespace Brassladder::ClassServing::Upstream
