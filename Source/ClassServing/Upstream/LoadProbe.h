// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/UpstreamLedger.h"
#include "Common/Endpoint.h"
#include "Common/Error.h"

namespace Brassladder::ClassServing::Upstream {

// Reads an upstream's load report with GET /load. The report may be out of date.
Common::Result<Scheduling::LoadReport> readLoad(const Common::Endpoint&);

} // namespace Brassladder::ClassServing::Upstream
