// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Model.h"
#include "Common/Error.h"

namespace Brassladder::ClassServing::Frontend {

// Why generated tokens were discarded.
enum class Waste { CallerGone, UpstreamBroken, LostState };

// Counters and histograms of class serving (docs/OPERATIONS.md). Labels: class, tier and reason.
namespace RequestMetrics {
void arrived(const Config::RequestClass&);
void refused(std::string_view requestClass, Common::ErrorKind);
void retried(std::string_view requestClass, Common::ErrorKind reason);
void preempted(std::string_view requestClass);
// Records the time to the first token of a generation, or to the response of a plain service.
void answered(const Config::RequestClass&, Common::Duration afterArrival);
void completed(std::string_view requestClass, uint32_t tokens);
void wasted(std::string_view requestClass, Waste, uint32_t tokens);
void waited(const Config::RequestClass&, Common::Duration);
} // namespace RequestMetrics

} // namespace Brassladder::ClassServing::Frontend
